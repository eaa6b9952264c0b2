"""Model the messages on peer links."""

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
    """Request a Pong on an idle link."""

    clock_us: int


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """
    What a target said of itself in its responses.

    `rate_limit` is the number of calls per second that it accepts from all daemons
    together, or None if it names no limit. `target` identifies its start, empty if
    unknown.
    """

    rate_limit: float | None = None
    leaving: bool = False
    target: str = ""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """
    Load of an owner; it currently sheds calls with an importance below `shed_below`.

    `cold_wait_ms` is the time until a target that is cold or names a limit accepts one
    more call. `notice` is None if the target said nothing of itself.
    """

    in_flight: int = 0
    limit: int = 0
    queued: int = 0
    shed_below: int = 0
    draining: bool = False
    cold_wait_ms: int = 0
    notice: TargetNotice | None = None


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a Ping."""

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
    """Start a call; peer.thrift describes the fields and their units."""

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
    notice: TargetNotice | None = None
    in_trial: bool = False


@dataclass(frozen=True, slots=True)
class Continue:
    """Request the rest of the body of a call."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class Progress:
    """Signal that a call is still in progress."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class Chunk:
    """Transfer a part of a body."""

    call_id: CallId
    data: bytes
    end: bool


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Start a response; `body` is the whole body if `complete` is set."""

    call_id: CallId
    status: int
    headers: tuple[Header, ...]
    load: LoadReport
    body: bytes
    complete: bool
    retry_budget_left: int


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End a response that was sent in chunks."""

    call_id: CallId
    retry_budget_left: int


@dataclass(frozen=True, slots=True)
class CallRefused:
    """End a call without a complete response."""

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
    """Send a request to the coordination component that handles `topic`."""

    topic: ControlTopic
    body: bytes


@dataclass(frozen=True, slots=True)
class ControlReply:
    """Reply to a control request."""

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
