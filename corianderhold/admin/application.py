"""Load the administration API when an operator first asks."""

import threading
from collections.abc import Iterable

from corianderhold.admin.model import AdminParts
from corianderhold.transport.web.server import Environ, StartResponse, WSGIApplication


class AdminApplication:
    """
    Serve the administration API as a WSGI application, loaded by the first request.

    CherryPy takes 7 MB of memory, which a daemon that nobody asks does not pay.
    """

    def __init__(self, parts: AdminParts, token: str) -> None:
        self._parts = parts
        self._token = token
        self._lock = threading.Lock()
        self._loaded: WSGIApplication | None = None

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; raise ImportError where CherryPy is not installed."""
        with self._lock:
            application = self._loaded or self._load()
            self._loaded = application
        return application(environ, start_response)

    def _load(self) -> WSGIApplication:
        from corianderhold.admin.api import AdminApi

        application: WSGIApplication = AdminApi(self._parts, self._token).mount()
        return application
