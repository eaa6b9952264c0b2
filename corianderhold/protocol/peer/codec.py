"""Encode and decode the messages of peer links."""

import math
from collections.abc import Callable
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

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
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.gen import ttypes
from corianderhold.protocol.peer.messages import (
    AnswerEnd,
    AnswerHead,
    CallHead,
    CallRefused,
    Cancel,
    Chunk,
    Continue,
    ControlReply,
    ControlRequest,
    Header,
    Hello,
    LoadReport,
    Message,
    Ping,
    Pong,
    Progress,
    TargetNotice,
)
from corianderhold.protocol.verdict import Reason, Refusal, RunState

PROTOCOL_FACTORY = TBinaryProtocolAcceleratedFactory()
# Builds that don't know a reason can't read the frame, so it is sent as the nearest
# reason that all builds know, together with the actual one.
READABLE_REASONS = {
    Reason.TARGET_LIMITED: Reason.TARGET_FULL,
    Reason.TARGET_CRASHED: Reason.ANSWER_TRUNCATED,
    Reason.TRIAL_REQUIRED: Reason.QUEUE_FULL,
    Reason.TRIAL_BUSY: Reason.SHED,
    Reason.QUARANTINED: Reason.SHED,
}
UNKNOWN_REASONS = {
    RunState.NOT_RUN: Reason.TARGET_REFUSED,
    RunState.MAY_HAVE_RUN: Reason.ANSWER_TRUNCATED,
}
KNOWN_TOPICS = {topic.value: topic for topic in ControlTopic}
KNOWN_REASONS = {reason.value: reason for reason in Reason}


def encode_message(message: Message) -> bytes:
    """Encode a message as a frame body, without the length prefix."""
    frame = ENCODERS[type(message)](message)
    encoded: bytes = serialize(frame, PROTOCOL_FACTORY)
    return encoded


def decode_message(body: bytes) -> Message:
    """
    Decode a frame body.

    Raise `FrameError` if the bytes are not a valid frame.
    """
    try:
        frame = deserialize(ttypes.Frame(), body, PROTOCOL_FACTORY)
        for field, decode in DECODERS.items():
            struct = getattr(frame, field)
            if struct is not None:
                struct.validate()
                return decode(struct)
    except Exception as error:
        # On malformed bytes, thrift raises a variety of errors (EOFError, TypeError).
        raise FrameError(f"malformed frame: {error!r}") from error
    raise FrameError("frame contains no known message")


def encode_load(load: LoadReport) -> Any:
    """Encode a load report as a thrift struct."""
    return ttypes.LoadReport(
        load.in_flight,
        load.limit,
        load.queued,
        load.shed_below,
        load.draining,
        load.cold_wait_ms or None,
        encode_notice(load.notice),
    )


def decode_load(struct: Any) -> LoadReport:
    """Decode a load report from a thrift struct; raise TException if incomplete."""
    struct.validate()
    return LoadReport(
        struct.in_flight,
        struct.limit,
        struct.queued,
        struct.shed_below,
        struct.draining,
        struct.cold_wait_ms or 0,
        decode_notice(struct.notice),
    )


def encode_notice(notice: TargetNotice | None) -> Any:
    """Encode a target's notice as a thrift struct, or return None without one."""
    if notice is None:
        return None
    return ttypes.TargetNotice(notice.target, notice.rate_limit, notice.leaving or None)


def decode_notice(struct: Any) -> TargetNotice | None:
    """Decode a target's notice from a thrift struct, or return None without one."""
    if struct is None:
        return None
    struct.validate()
    rate_limit = struct.rate_limit
    if rate_limit is not None and not 0 <= rate_limit < math.inf:
        raise FrameError(f"rate_limit is {rate_limit}; expected a finite number")
    return TargetNotice(rate_limit, bool(struct.leaving), struct.target)


def encode_headers(headers: tuple[Header, ...]) -> list[Any]:
    """Encode HTTP headers as thrift structs."""
    return [ttypes.Header(header.name, header.value) for header in headers]


def decode_headers(structs: list[Any]) -> tuple[Header, ...]:
    """Decode HTTP headers from thrift structs; raise TException if incomplete."""
    for struct in structs:
        struct.validate()
    return tuple(Header(struct.name, struct.value) for struct in structs)


def encode_hello(message: Hello) -> Any:
    """Encode a Hello as a frame."""
    return ttypes.Frame(
        hello=ttypes.Hello(
            message.instance,
            message.incarnation,
            message.nonce,
            message.proof,
            message.clock_us,
        )
    )


def decode_hello(struct: Any) -> Hello:
    """Decode a Hello from a thrift struct."""
    return Hello(
        InstanceId(struct.instance),
        Incarnation(struct.incarnation),
        struct.nonce,
        struct.proof,
        struct.clock_us,
    )


def encode_pong(message: Pong) -> Any:
    """Encode a Pong as a frame."""
    load = encode_load(message.load) if message.load else None
    return ttypes.Frame(pong=ttypes.Pong(message.clock_us, message.incarnation, load))


def decode_pong(struct: Any) -> Pong:
    """Decode a Pong from a thrift struct."""
    load = decode_load(struct.load) if struct.load else None
    return Pong(struct.clock_us, Incarnation(struct.incarnation), load)


def encode_call(message: CallHead) -> Any:
    """Encode a CallHead as a frame."""
    return ttypes.Frame(
        call=ttypes.CallHead(
            call_id=message.call_id,
            root_id=message.root_id,
            incarnation=message.incarnation,
            accept_by_us=message.accept_by_us,
            deadline_us=message.deadline_us,
            organisation=message.organisation,
            importance=message.importance,
            retry_budget=message.retry_budget,
            depth=message.depth,
            service_name=message.service,
            route=message.route,
            method=message.method,
            path=message.path,
            headers=encode_headers(message.headers),
            idempotent=message.idempotent,
            idempotency_key=message.idempotency_key,
            body=message.body,
            body_follows=message.body_follows,
            body_length=message.body_length,
            notice=encode_notice(message.notice),
            in_trial=message.in_trial or None,
        )
    )


def decode_call(struct: Any) -> CallHead:
    """Decode a CallHead from a thrift struct."""
    return CallHead(
        call_id=CallId(struct.call_id),
        root_id=RootId(struct.root_id),
        incarnation=Incarnation(struct.incarnation),
        accept_by_us=struct.accept_by_us,
        deadline_us=struct.deadline_us,
        organisation=OrganisationId(struct.organisation),
        importance=struct.importance,
        retry_budget=struct.retry_budget,
        depth=struct.depth,
        service=ServiceName(struct.service_name),
        route=RouteName(struct.route),
        method=struct.method,
        path=struct.path,
        headers=decode_headers(struct.headers),
        idempotent=struct.idempotent,
        idempotency_key=struct.idempotency_key,
        body=struct.body,
        body_follows=struct.body_follows,
        body_length=struct.body_length,
        notice=decode_notice(struct.notice),
        in_trial=bool(struct.in_trial),
    )


def encode_answer(message: AnswerHead) -> Any:
    """Encode an AnswerHead as a frame."""
    return ttypes.Frame(
        answer=ttypes.AnswerHead(
            message.call_id,
            message.status,
            encode_headers(message.headers),
            encode_load(message.load),
            message.body,
            message.complete,
            message.retry_budget_left,
        )
    )


def decode_answer(struct: Any) -> AnswerHead:
    """Decode an AnswerHead from a thrift struct."""
    return AnswerHead(
        CallId(struct.call_id),
        struct.status,
        decode_headers(struct.headers),
        decode_load(struct.load),
        struct.body,
        struct.complete,
        struct.retry_budget_left,
    )


def encode_refused(message: CallRefused) -> Any:
    """Encode a CallRefused as a frame."""
    refusal = message.refusal
    readable = READABLE_REASONS.get(refusal.reason, refusal.reason)
    return ttypes.Frame(
        refusal=ttypes.Refusal(
            call_id=message.call_id,
            run_state=refusal.run_state.value,
            reason=readable.value,
            retry_after_ms=refusal.retry_after_ms,
            load=encode_load(message.load),
            retry_budget_left=message.retry_budget_left,
            detail=refusal.detail,
            cause=None if readable is refusal.reason else refusal.reason.value,
        )
    )


def decode_refused(struct: Any) -> CallRefused:
    """Decode a CallRefused from a thrift struct."""
    run_state = RunState(struct.run_state)
    refusal = Refusal(
        run_state,
        decode_reason(struct, run_state),
        struct.retry_after_ms,
        struct.detail,
    )
    return CallRefused(
        CallId(struct.call_id),
        refusal,
        decode_load(struct.load),
        struct.retry_budget_left,
    )


def decode_reason(struct: Any, run_state: RunState) -> Reason:
    """
    Return the most specific known reason of a refusal.

    A newer build may send reasons that this one does not know. What the refusal says of
    the request still holds.
    """
    for name in (struct.cause, struct.reason):
        if name in KNOWN_REASONS:
            return KNOWN_REASONS[name]
    return UNKNOWN_REASONS[run_state]


ENCODERS: dict[type[Any], Callable[[Any], Any]] = {
    Hello: encode_hello,
    Ping: lambda m: ttypes.Frame(ping=ttypes.Ping(m.clock_us)),
    Pong: encode_pong,
    CallHead: encode_call,
    Continue: lambda m: ttypes.Frame(proceed=ttypes.Continue(m.call_id)),
    Progress: lambda m: ttypes.Frame(progress=ttypes.Progress(m.call_id)),
    Chunk: lambda m: ttypes.Frame(chunk=ttypes.Chunk(m.call_id, m.data, m.end)),
    AnswerHead: encode_answer,
    AnswerEnd: lambda m: ttypes.Frame(
        answer_end=ttypes.AnswerEnd(m.call_id, m.retry_budget_left)
    ),
    CallRefused: encode_refused,
    Cancel: lambda m: ttypes.Frame(cancel=ttypes.Cancel(m.call_id)),
    ControlRequest: lambda m: ttypes.Frame(
        control_request=ttypes.ControlRequest(m.topic.value, m.body)
    ),
    ControlReply: lambda m: ttypes.Frame(
        control_reply=ttypes.ControlReply(m.accepted, m.body)
    ),
}

DECODERS: dict[str, Callable[[Any], Message]] = {
    "call": decode_call,
    "answer": decode_answer,
    "refusal": decode_refused,
    "progress": lambda s: Progress(CallId(s.call_id)),
    "chunk": lambda s: Chunk(CallId(s.call_id), s.data, s.end),
    "answer_end": lambda s: AnswerEnd(CallId(s.call_id), s.retry_budget_left),
    "proceed": lambda s: Continue(CallId(s.call_id)),
    "ping": lambda s: Ping(s.clock_us),
    "pong": decode_pong,
    "cancel": lambda s: Cancel(CallId(s.call_id)),
    "control_request": lambda s: ControlRequest(
        KNOWN_TOPICS.get(s.topic, ControlTopic.UNKNOWN), s.body
    ),
    "control_reply": lambda s: ControlReply(s.accepted, s.body),
    "hello": decode_hello,
}
