"""Load the administration API on its first request."""

import threading
from collections.abc import Iterable

from corianderhold.admin.model import AdminParts
from corianderhold.transport.web.server import Environ, StartResponse, WSGIApplication


class AdminApplication:
    """
    Serve the administration API as a WSGI application, loaded on the first request.

    CherryPy takes 7 MB of memory; a daemon that gets no such request does without.
    """

    def __init__(self, parts: AdminParts, token: str) -> None:
        self._parts = parts
        self._token = token
        self._lock = threading.Lock()
        self._application: WSGIApplication | None = None

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request; raise ImportError if CherryPy is not installed."""
        with self._lock:
            application = self._application or self._load()
            self._application = application
        return application(environ, start_response)

    def _load(self) -> WSGIApplication:
        from corianderhold.admin.api import AdminApi

        application: WSGIApplication = AdminApi(self._parts, self._token).mount()
        return application
