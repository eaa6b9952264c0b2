"""Model the frames that daemons exchange."""

from dataclasses import dataclass

from corianderhold.ids import (
    CallId,
    Incarnation,
    InstanceId,
    OrganisationId,
    RootId,
    RouteName,
    ServiceName,
)
from corianderhold.protocol.peer.control import ControlTopic
from corianderhold.protocol.verdict import Refusal


@dataclass(frozen=True, slots=True)
class Hello:
    """Open a link; `clock_us` is the sender's monotonic clock in microseconds."""

    instance: InstanceId
    incarnation: Incarnation
    nonce: bytes
    proof: bytes
    clock_us: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask for a Pong on an idle link."""

    clock_us: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """
    Load of an owner; calls below `shed_below` in importance are shed now.

    `cold_wait_ms` is in how many milliseconds a cold target takes one more call.
    """

    in_flight: int = 0
    limit: int = 0
    queued: int = 0
    shed_below: int = 0
    draining: bool = False
    cold_wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer a Ping."""

    clock_us: int
    incarnation: Incarnation
    load: LoadReport | None


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class CallHead:
    """Open a call; see peer.thrift for the fields and their units."""

    call_id: CallId
    root_id: RootId
    incarnation: Incarnation
    accept_by_us: int
    deadline_us: int
    organisation: OrganisationId
    importance: int
    retry_budget: int
    depth: int
    service: ServiceName
    route: RouteName
    method: str
    path: str
    headers: tuple[Header, ...]
    idempotent: bool
    idempotency_key: str | None
    body: bytes
    body_follows: bool
    body_length: int | None = None


@dataclass(frozen=True, slots=True)
class Continue:
    """Ask for the rest of a call's body."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class Progress:
    """Show that a call is still being worked on."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class Chunk:
    """Carry a part of a body."""

    call_id: CallId
    data: bytes
    end: bool


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Open an answer; `body` is all of it when `complete` is set."""

    call_id: CallId
    status: int
    headers: tuple[Header, ...]
    load: LoadReport
    body: bytes
    complete: bool
    retry_budget_left: int


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Close an answer that came in chunks."""

    call_id: CallId
    retry_budget_left: int


@dataclass(frozen=True, slots=True)
class CallRefused:
    """End a call without a whole answer."""

    call_id: CallId
    refusal: Refusal
    load: LoadReport
    retry_budget_left: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a call that was sent on another link."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """Ask something of a coordination part."""

    topic: ControlTopic
    body: bytes


@dataclass(frozen=True, slots=True)
class ControlReply:
    """Answer a control request."""

    accepted: bool
    body: bytes


Message = (
    Hello
    | Ping
    | Pong
    | CallHead
    | Continue
    | Progress
    | Chunk
    | AnswerHead
    | AnswerEnd
    | CallRefused
    | Cancel
    | ControlRequest
    | ControlReply
)
