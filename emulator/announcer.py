"""Announce a target to the daemon beside it, and its drain."""

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
    """Repeat the announcement every second until the drain or the stop."""

    def __init__(self, daemon_outgoing: str, service: str, address: str) -> None:
        self._base = f"http://{daemon_outgoing}"
        self._announcement = {"service": service, "address": address}
        self._pool = urllib3.PoolManager(retries=False, timeout=ANNOUNCE_TIMEOUT_S)
        self._stopped = threading.Event()
        self._accepted = False
        self._restarted = True
        self._thread = threading.Thread(target=self._repeat, daemon=True)

    def start(self) -> None:
        """Begin to announce."""
        self._thread.start()

    def stop(self) -> None:
        """End the announcements without telling the daemon."""
        self._stopped.set()

    def drain(self) -> bool:
        """Tell the daemon that the target leaves; return whether it agreed."""
        self.stop()
        return self._post(DRAIN_PATH) == NO_CONTENT

    def _repeat(self) -> None:
        while not self._stopped.is_set():
            status = self._post(ANNOUNCE_PATH)
            self._note_outcome(status)
            self._stopped.wait(ANNOUNCE_INTERVAL_S)

    def _note_outcome(self, status: int | None) -> None:
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
            answer = self._pool.request("POST", url, body=body, headers=headers)
        except urllib3.exceptions.HTTPError:
            return None
        return answer.status
