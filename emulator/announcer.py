"""Announce a target, and later its drain, to the local daemon."""

import json
import sys
import threading

import urllib3

from corianderhold.log import format_event

ANNOUNCE_PATH = "/_corianderhold/announce"
DRAIN_PATH = "/_corianderhold/drain"
ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
NO_CONTENT = 204


class Announcer:
    """Send the announcement every second until drained or stopped."""

    def __init__(
        self, daemon_outgoing: str, service: str, address: str, target_id: str = ""
    ) -> None:
        self._base = f"http://{daemon_outgoing}"
        self._announcement = {"service": service, "address": address}
        if target_id:
            self._announcement["id"] = target_id
        self._pool = urllib3.PoolManager(retries=False, timeout=ANNOUNCE_TIMEOUT_S)
        self._stopped = threading.Event()
        self._accepted = False
        self._restarted = True
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending announcements."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending announcements without notifying the daemon."""
        self._stopped.set()

    def drain(self) -> bool:
        """Ask the daemon to drain the target; return whether it accepted."""
        self.stop()
        return self._post(DRAIN_PATH) == NO_CONTENT

    def announce(self) -> bool:
        """Send one announcement, also after a drain; return whether it was accepted."""
        return self._post(ANNOUNCE_PATH) == NO_CONTENT

    def _run(self) -> None:
        while not self._stopped.is_set():
            status = self._post(ANNOUNCE_PATH)
            self._log_change(status)
            self._stopped.wait(ANNOUNCE_INTERVAL_S)

    def _log_change(self, status: int | None) -> None:
        accepted = status == NO_CONTENT
        self._restarted = self._restarted and not accepted
        if accepted == self._accepted:
            return
        self._accepted = accepted
        line = format_event("announcement", {"accepted": accepted, "status": status})
        print(line, file=sys.stderr, flush=True)

    def _post(self, path: str) -> int | None:
        headers = {"Content-Type": "application/json"}
        url = self._base + path
        body = json.dumps({**self._announcement, "restarted": self._restarted})
        try:
            response = self._pool.request("POST", url, body=body, headers=headers)
        except urllib3.exceptions.HTTPError:
            return None
        return response.status
