"""Build the administration API as a WSGI application."""

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
from corianderhold.admin.quarantines import QuarantinesResource
from corianderhold.admin.request import FORBIDDEN, UNAUTHORISED, format_error_page

BEARER_PREFIX = "Bearer "
PUBLIC_PATHS = frozenset({"/health", "/metrics"})
READ_METHODS = frozenset({"GET", "HEAD"})


class PathNode:
    """A path segment without a handler of its own."""


class AdminApi:
    """
    Authenticate operators by a bearer token and route their requests.

    `PUBLIC_PATHS` can be read without a token. Tokens are compared in constant time, so
    that response times do not reveal a partial match. Without a token in the settings,
    the API answers reads without authentication and refuses all other requests.
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

    def _build_root(self) -> PathNode:
        parts = self._parts
        root: Any = PathNode()
        root.health = HealthResource(parts.readiness, parts.holder, parts.drain)
        root.metrics = MetricsResource(parts.metrics, parts.holder, parts.clock)
        root.v1 = PathNode()
        root.v1.configuration = ConfigurationResource(parts.holder)
        root.v1.changes = ChangesResource(parts.publisher, parts.history, parts.clock)
        root.v1.keys = KeysResource(parts.publisher, parts.holder, parts.clock)
        root.v1.drain = DrainResource(parts.drain)
        root.v1.evacuations = EvacuationsResource(
            parts.orders, parts.evacuations, parts.members
        )
        root.v1.quarantines = QuarantinesResource(parts.quarantines, parts.clock)
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
        root_node: PathNode = root
        return root_node

    def _authenticate(self) -> None:
        """Raise HTTPError for a request that needs the token but lacks it."""
        is_read = cherrypy.request.method in READ_METHODS
        if is_read and cherrypy.request.path_info in PUBLIC_PATHS:
            return
        if not self._token:
            if is_read:
                return
            message = "no admin_token is set, so this API accepts only GET and HEAD"
            raise cherrypy.HTTPError(FORBIDDEN, message)
        header = cherrypy.request.headers.get("Authorization", "")
        token = (
            header.removeprefix(BEARER_PREFIX)
            if header.startswith(BEARER_PREFIX)
            else ""
        )
        if compare_digest(token.encode(), self._token):
            return
        cherrypy.response.headers["WWW-Authenticate"] = REALM
        message = "the header 'Authorization: Bearer TOKEN' is missing or wrong"
        raise cherrypy.HTTPError(UNAUTHORISED, message)
