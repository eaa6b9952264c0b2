"""Mount the administration API as a WSGI application."""

from hmac import compare_digest
from logging import NullHandler
from typing import Any

import cherrypy

from corianderhold.admin.changes import ChangesResource, ConfigurationResource
from corianderhold.admin.const import REALM
from corianderhold.admin.evacuations import EvacuationsResource
from corianderhold.admin.fleet import (
    DrainResource,
    HealthResource,
    MetricsResource,
    StatusResource,
)
from corianderhold.admin.keys import KeysResource
from corianderhold.admin.model import AdminParts
from corianderhold.admin.request import FORBIDDEN, UNAUTHORISED, format_error_page

BEARER = "Bearer "
OPEN_PATHS = frozenset({"/health", "/metrics"})
READ_METHODS = frozenset({"GET", "HEAD"})


class Branch:
    """A part of the path that answers nothing itself."""


class AdminApi:
    """
    Serve operators that present the token; `OPEN_PATHS` are open to all.

    The token is compared in a time that does not depend on where it differs. Without
    a token in the settings, the API answers reads to all and refuses the rest.
    """

    def __init__(self, parts: AdminParts, token: str) -> None:
        self._parts = parts
        self._token = token.encode()

    def mount(self) -> Any:  # noqa: ANN401
        """Return the WSGI application for the admin listener."""
        config = {
            "/": {
                "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
                "request.process_request_body": False,
                "request.show_tracebacks": False,
                "error_page.default": format_error_page,
                "hooks.before_handler": self._authenticate,
            }
        }
        application = cherrypy.Application(self._build_root(), "", config)
        for log in (application.log.error_log, application.log.access_log):
            log.addHandler(NullHandler())
            log.propagate = False
        return application

    def _build_root(self) -> Branch:
        parts = self._parts
        root: Any = Branch()
        root.health = HealthResource(parts.readiness, parts.holder, parts.drain)
        root.metrics = MetricsResource(parts.metrics, parts.holder, parts.clock)
        root.v1 = Branch()
        root.v1.configuration = ConfigurationResource(parts.holder)
        root.v1.changes = ChangesResource(parts.publisher, parts.history, parts.clock)
        root.v1.keys = KeysResource(parts.publisher, parts.holder, parts.clock)
        root.v1.drain = DrainResource(parts.drain)
        root.v1.evacuations = EvacuationsResource(
            parts.orders, parts.evacuations, parts.members
        )
        root.v1.status = StatusResource(
            parts.identity,
            parts.holder,
            parts.stream,
            parts.members,
            parts.drain,
            parts.evacuations,
            parts.metrics,
            parts.clock,
        )
        branch: Branch = root
        return branch

    def _authenticate(self) -> None:
        """Refuse requests without the token; raise HTTPError."""
        is_read = cherrypy.request.method in READ_METHODS
        if is_read and cherrypy.request.path_info in OPEN_PATHS:
            return
        if not self._token:
            if is_read:
                return
            message = "no admin_token is set: this API answers reads only"
            raise cherrypy.HTTPError(FORBIDDEN, message)
        given = cherrypy.request.headers.get("Authorization", "")
        token = given.removeprefix(BEARER) if given.startswith(BEARER) else ""
        if compare_digest(token.encode(), self._token):
            return
        cherrypy.response.headers["WWW-Authenticate"] = REALM
        message = "the header 'Authorization: Bearer TOKEN' is missing or wrong"
        raise cherrypy.HTTPError(UNAUTHORISED, message)
