"""Convert the state of the daemon to JSON values and metrics text."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

from corianderhold.admin.const import METRIC_PREFIX
from corianderhold.coordination.configuration.exchanger import PeerHead
from corianderhold.coordination.configuration.history import HistoryEntry
from corianderhold.coordination.configuration.publisher import (
    PublishOutcome,
    PublishResult,
)
from corianderhold.ids import FailureDomainId
from corianderhold.metrics import Metrics
from corianderhold.state.configuration.entities import delta_to_json, fault_to_json
from corianderhold.state.configuration.fold import FoldOutcome, OutcomeKind
from corianderhold.state.configuration.records import RecentChange
from corianderhold.state.membership.model import Member
from corianderhold.state.quarantine.model import Quarantine

JsonObject = dict[str, Any]
MICROSECONDS = 1e6


def dump_body(value: JsonObject) -> bytes:
    """Encode a response body as JSON."""
    return (json.dumps(value, indent=2) + "\n").encode()


def evacuations_to_json(
    evacuations: Mapping[FailureDomainId, float],
) -> list[JsonObject]:
    """Return the evacuated domains, each with the Unix time since it is known."""
    return [
        {"domain": domain, "known_since": since}
        for domain, since in sorted(evacuations.items())
    ]


def published_to_json(published: PublishResult) -> JsonObject:
    """Return the outcome of publishing a change."""
    return {
        "change_id": published.change_id,
        "outcome": published.outcome.value,
        "version": published.version,
        "current_version": published.current_version,
        "reason": None if published.reason is None else published.reason.value,
        "lost_to": remembered_to_json(published.lost_to),
        "faults": [fault_to_json(fault) for fault in published.faults],
        "detail": published.detail,
    }


def remembered_to_json(change: RecentChange | None) -> JsonObject | None:
    """Return the change that won a race, or None if there is none."""
    if change is None:
        return None
    return {
        "change_id": change.change_id,
        "version": change.version,
        "author": change.author,
    }


def entry_to_json(entry: HistoryEntry) -> JsonObject:
    """Return one entry of the audit trail, without the digests of keys."""
    change, outcome = entry.change, entry.outcome
    delta = delta_to_json(change.delta)
    for key in delta["set"].get("keys", ()):
        del key["digest"]
    return {
        "change_id": change.change_id,
        "offset": outcome.offset,
        "author": change.author,
        "made_at": change.made_at,
        "note": change.note,
        "base_version": change.base_version,
        "outcome": to_publish_outcome(outcome).value,
        "reason": None if is_accepted(outcome) else outcome.kind.value,
        "version": outcome.version if is_accepted(outcome) else None,
        "lost_to": remembered_to_json(outcome.earlier),
        "faults": [fault_to_json(fault) for fault in outcome.faults],
        **delta,
    }


def is_accepted(outcome: FoldOutcome) -> bool:
    """Return whether the change was accepted when the log was folded."""
    return outcome.kind is OutcomeKind.ACCEPTED


def to_publish_outcome(outcome: FoldOutcome) -> PublishOutcome:
    """Convert the outcome to the one that the publisher reports."""
    accepted = is_accepted(outcome)
    return PublishOutcome.ACCEPTED if accepted else PublishOutcome.REFUSED


def member_to_json(member: Member) -> JsonObject:
    """Return one member of the fleet."""
    return {
        "instance": member.instance,
        "domain": member.domain,
        "region": member.region,
        "service": member.service,
        "state": member.state.value,
        "target_state": member.target_state.value,
        "peer_address": str(member.peer_address),
    }


def quarantine_to_json(quarantine: Quarantine, now_s: float) -> JsonObject:
    """Return a call in quarantine, with its age and the time left in seconds."""
    return {
        "fingerprint": quarantine.fingerprint.hex(),
        "service": quarantine.service,
        "age_s": round(now_s - quarantine.since, 3),
        "left_s": round(quarantine.until - now_s, 3),
        "count": quarantine.count,
    }


def heard_to_json(heard: PeerHead, now_s: float) -> JsonObject:
    """Return the version last received from a peer, with its age in seconds."""
    return {
        "instance": heard.instance,
        "version": heard.head.version,
        "next_offset": heard.head.next_offset,
        "age_s": round(now_s - heard.received_at, 3),
    }


def format_metrics(metrics: Metrics, gauges: dict[str, float]) -> str:
    """Format counters, gauges and durations in the Prometheus text format."""
    lines: list[str] = []
    for name, count in sorted(metrics.read_counters().items()):
        metric_name = f"{METRIC_PREFIX}_{name}_total"
        lines += [f"# TYPE {metric_name} counter", f"{metric_name} {count}"]
    for name, value in sorted(gauges.items()):
        metric_name = f"{METRIC_PREFIX}_{name}"
        lines += [f"# TYPE {metric_name} gauge", f"{metric_name} {value:g}"]
    for name, summary in sorted(metrics.summarize_histograms().items()):
        metric_name = f"{METRIC_PREFIX}_{name}_seconds"
        lines.append(f"# TYPE {metric_name} summary")
        lines += _format_quantiles(metric_name, summary.percentiles_us)
        lines.append(f"{metric_name}_count {summary.count}")
    return "\n".join(lines) + "\n"


def _format_quantiles(
    name: str, percentiles_us: Sequence[tuple[float, int]]
) -> list[str]:
    return [
        f'{name}{{quantile="{percent / 100:g}"}} {value_us / MICROSECONDS:g}'
        for percent, value_us in percentiles_us
    ]
