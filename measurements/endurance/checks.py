"""Check the responses that callers got against the executions at the targets."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

IN_FORCE_S = 8.0  # without faults, a change is in force everywhere within this time
REFUSED = (429, 503)


class Kind(Enum):
    """Execution guarantee: may run again, at most once, or at most once per key."""

    IDEMPOTENT = "idempotent"
    PLAIN = "plain"
    KEYED = "keyed"


@dataclass(frozen=True)
class Span:
    """The time span of a fault, in Unix seconds."""

    began_at: float
    ended_at: float


@dataclass(frozen=True)
class Sent:
    """A request with its response; `answered_id` is the request id it echoes."""

    request_id: str
    kind: Kind
    key: str
    sent_at: float
    status: int
    whole: bool
    answered_id: str


def find_bound(changed_at: float, faults: Iterable[Span]) -> float:
    """Return the time by which a change must be in force, extended by faults."""
    bound = changed_at + IN_FORCE_S
    for fault in sorted(faults, key=lambda each: each.began_at):
        if changed_at < fault.ended_at and fault.began_at < bound:
            bound += fault.ended_at - max(changed_at, fault.began_at)
    return bound


def count_breaches(
    sent: Sequence[Sent], runs: Mapping[str, int], bounds: Mapping[str, float]
) -> dict[str, float]:
    """
    Count violations of each guarantee; `bounds` has the withdrawn keys' deadlines.

    `withdrawn_sent` is not a violation but the total that `withdrawn_ran` is part of.

    A keyed request counts as refused if all its attempts were, and as sent at the time
    of its first attempt in `sent`. Only requests that are not idempotent are checked
    for repeated executions and for executions after a refusal, as others may run again.
    """
    once = [each for each in sent if each.kind is not Kind.IDEMPOTENT]
    statuses: dict[str, set[int]] = {}
    for each in once:
        statuses.setdefault(each.request_id, set()).add(each.status)
    first = {each.request_id: each for each in reversed(sent)}
    late = [
        name
        for name, each in first.items()
        if each.sent_at > bounds.get(each.key, each.sent_at)
    ]
    crossed = (
        each.answered_id != each.request_id
        for each in sent
        if each.whole and each.kind is not Kind.KEYED
    )
    return {
        "ran_twice": float(sum(runs.get(name, 0) > 1 for name in statuses)),
        "refused_ran": float(
            sum(
                runs.get(name, 0) > 0 and all(each in REFUSED for each in codes)
                for name, codes in statuses.items()
            )
        ),
        "withdrawn_ran": float(sum(runs.get(name, 0) > 0 for name in late)),
        "withdrawn_sent": float(len(late)),
        "crossed_answers": float(sum(crossed)),
    }


def count_outcomes(
    sent: Sequence[Sent], withdrawn: Mapping[str, float]
) -> dict[str, float]:
    """Return request counts by status, and the served ratio of keys not withdrawn."""
    owed = [each for each in sent if each.key not in withdrawn]
    statuses = Counter(each.status for each in sent)
    return {
        "requests": float(len(sent)),
        "served": sum(each.whole for each in owed) / max(1, len(owed)),
        **{f"status_{status}": float(n) for status, n in sorted(statuses.items())},
    }
