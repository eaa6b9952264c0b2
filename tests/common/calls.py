"""Build call contexts, members and fakes of the call path."""

import io

from result import Err, Result

from corianderhold.coordination.call import CallContext, RequestBody, Response
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import (
    CallId,
    FailureDomainId,
    Incarnation,
    InstanceId,
    OrganisationId,
    RegionId,
    RootId,
    RouteName,
    ServiceName,
)
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.membership.model import Address, Member, TargetState
from corianderhold.state.membership.target import TargetAnnouncement
from corianderhold.transport.web.server import Environ, WSGIApplication

CATALOGUE = ServiceName("catalogue")


class RecordingRegistrar:
    """Record what the local target announced; departures raise `error` if it is set."""

    def __init__(self) -> None:
        self.announced: list[TargetAnnouncement] = []
        self.withdrawn: list[tuple[str | None, int | None]] = []
        self.drains = 0
        self.error: Exception | None = None

    def announce_target(self, announcement: TargetAnnouncement) -> None:
        """Record one heartbeat."""
        self.announced.append(announcement)
        if announcement.draining:
            self._raise()

    def withdraw_target(self, target_id: str | None, started: int | None) -> None:
        """Record one withdrawal."""
        self.withdrawn.append((target_id, started))
        self._raise()

    def drain_target(self) -> None:
        """Count one drain."""
        self.drains += 1
        self._raise()

    def _raise(self) -> None:
        if self.error is not None:
            raise self.error


def call_application(
    application: WSGIApplication, environ: Environ, body: bytes = b""
) -> tuple[str, dict[str, str], bytes]:
    """Return status, headers and body of the response to a request."""
    begun: list[tuple[str, dict[str, str]]] = []

    def start_response(status: str, headers: list[tuple[str, str]]) -> None:
        begun.append((status, dict(headers)))

    environ = {**environ, "wsgi.input": io.BytesIO(body)}
    parts = application(environ, start_response)
    content = b"".join(parts)
    if hasattr(parts, "close"):
        parts.close()  # as a server does
    return (*begun[0], content)


class RefusingRouter:
    """Refuse every call as not run and record its context."""

    def __init__(self) -> None:
        self.routed: list[CallContext] = []

    def route(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        """Refuse because no target is available."""
        self.routed.append(context)
        return Err(refuse_not_run(Reason.NO_TARGET))

    def cancel(self, call_id: CallId) -> None:
        """Do nothing, as no call is ever in flight."""


def make_context(
    call_id: str = "c1",
    importance: int = 1,
    organisation: str = "schools",
    deadline_at: float = 1010.0,
    idempotent: bool = True,
) -> CallContext:
    """Return the context of a root request to the catalogue."""
    return CallContext(
        call_id=CallId(call_id),
        root_id=RootId(call_id),
        organisation=OrganisationId(organisation),
        importance=importance,
        deadline_at=deadline_at,
        depth=0,
        service=CATALOGUE,
        route=RouteName("search"),
        idempotent=idempotent,
        method="GET",
        path="/catalogue/search",
        headers=(),
    )


def make_member(
    instance: str, domain: str = "west-a", region: str = "west", port: int = 1
) -> Member:
    """Return a live member whose target serves the catalogue."""
    address = Address("127.0.0.1", port)
    return Member(
        instance=InstanceId(instance),
        incarnation=Incarnation(1),
        sequence=1,
        domain=FailureDomainId(domain),
        region=RegionId(region),
        peer_address=address,
        gossip_address=address,
        service=CATALOGUE,
        target_state=TargetState.SERVING,
    )


class FixedMembers:
    """Serve a fixed set of owners as the member directory."""

    def __init__(self, owners: tuple[Member, ...]) -> None:
        self.owners = owners

    def list_owners(self, service: ServiceName) -> tuple[Member, ...]:
        return self.owners

    def find_member(self, instance: InstanceId) -> Member | None:
        raise AssertionError(instance)

    def list_members(self) -> tuple[Member, ...]:
        return self.owners
