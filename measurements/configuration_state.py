"""Measure fold, snapshots and lookups at the design size."""

import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import perf_counter, process_time

from corianderhold.ids import (
    ChangeId,
    FailureDomainId,
    KeyId,
    Offset,
    OrganisationId,
    RouteName,
    ServiceName,
    Version,
)
from corianderhold.state.configuration.codec import encode_change, encode_snapshot
from corianderhold.state.configuration.fold import (
    INITIAL_STATE,
    FoldState,
    build_snapshot,
    fold,
)
from corianderhold.state.configuration.model import (
    ApiKey,
    Organisation,
    Route,
    Service,
)
from corianderhold.state.configuration.records import ChangeRecord, Delta
from corianderhold.state.configuration.routes import build_route_index
from corianderhold.state.keys.authentication import authenticate_caller
from corianderhold.state.keys.issue import grant_key
from measurements.report import Target, judge_figures, print_figures

SERVICES = 180
ROUTES = 900
ORGANISATIONS = 300
KEYS = 3000
DOMAINS = 15
CHANGES_PER_DAY = 5300
TAIL_CHANGES = CHANGES_PER_DAY // 4
LOOKUPS = 20_000
SECONDS_PER_DAY = 86_400
NOW_S = 1.7e9
HOST = "service.example:8080"
TARGETS = [
    Target("fold_core_percent", highest=3.5),
    Target("change_bytes_s", highest=2048.0),
    Target("state_mb", highest=64.0),
    Target("key_check_p99_ms", highest=0.35),
    Target("route_p99_ms", highest=0.35),
]


@dataclass(frozen=True)
class Stream:
    """An initial change with all entities, and one day of changes."""

    first: str
    changes: tuple[str, ...]


def build_base(rng: Random) -> Delta:
    """Return the entities at the design size."""
    shares = {FailureDomainId(f"domain-{i}"): 1 / DOMAINS for i in range(DOMAINS)}
    return Delta(
        services=tuple(Service(ServiceName(f"service-{i}")) for i in range(SERVICES)),
        routes=tuple(build_route(i) for i in range(ROUTES)),
        organisations=tuple(
            Organisation(OrganisationId(f"organisation-{i}"), 400.0, 800.0, 1.0, shares)
            for i in range(ORGANISATIONS)
        ),
        keys=tuple(build_key(rng, i) for i in range(KEYS)),
    )


def build_route(index: int) -> Route:
    """Return a route; every second route calls the next one."""
    calls = {RouteName(f"route-{index + 1}")} if index % 2 == 0 else set()
    service = index % SERVICES
    return Route(
        name=RouteName(f"route-{index}"),
        service=ServiceName(f"service-{service}"),
        path_prefix=f"/service-{service}/route-{index}",
        methods=frozenset({"GET", "POST"}),
        calls=frozenset(calls),
    )


def build_key(rng: Random, index: int) -> ApiKey:
    """Return a key with a digest as long as a real one."""
    digest = f"hmac-sha256${rng.randbytes(16).hex()}${rng.randbytes(32).hex()}"
    organisation = OrganisationId(f"organisation-{index % ORGANISATIONS}")
    return ApiKey(KeyId(rng.randbytes(8).hex()), organisation, digest)


def build_stream(rng: Random) -> Stream:
    """Return one day of changes: two thirds of keys, the rest of routes."""
    base = build_base(rng)
    deltas = [base]
    for index in range(CHANGES_PER_DAY):
        if index % 3:
            deltas.append(Delta(keys=(build_key(rng, index),)))
        else:
            deltas.append(Delta(routes=(build_route(rng.randrange(ROUTES)),)))
    texts = [
        encode_change(
            ChangeRecord(
                ChangeId(rng.randbytes(16).hex()),
                Version(version),
                "operator@example.org",
                NOW_S,
                "measured change",
                delta,
            )
        )
        for version, delta in enumerate(deltas)
    ]
    return Stream(texts[0], tuple(texts[1:]))


def fold_texts(state: FoldState, texts: tuple[str, ...]) -> FoldState:
    """Return the state after folding further records."""
    for text in texts:
        state, _ = fold(state, Offset(state.next_offset), text)
    return state


def measure_stream(stream: Stream) -> tuple[FoldState, dict[str, float]]:
    """Return the state after one day of changes, and the cost of folding them."""
    state = fold_texts(INITIAL_STATE, (stream.first,))
    started = process_time()
    before_tail = fold_texts(state, stream.changes[:-TAIL_CHANGES])
    last = fold_texts(before_tail, stream.changes[-TAIL_CHANGES:])
    fold_s = process_time() - started
    snapshot_text = encode_snapshot(build_snapshot(before_tail))
    started = process_time()
    offset = before_tail.next_offset
    fresh, _ = fold(INITIAL_STATE, offset, snapshot_text)
    adopt_s = process_time() - started
    fresh = fold_texts(fresh, stream.changes[-TAIL_CHANGES:])
    cold_s = process_time() - started
    if fresh != last or last.version != CHANGES_PER_DAY + 1:
        raise AssertionError(
            "state from snapshot and tail differs from the state from the whole stream"
        )
    change_bytes = sum(len(text) for text in stream.changes)
    return last, {
        "fold_ms": fold_s / CHANGES_PER_DAY * 1e3,
        "fold_core_percent": fold_s / SECONDS_PER_DAY * 100,
        "change_bytes": change_bytes / CHANGES_PER_DAY,
        "change_bytes_s": change_bytes / SECONDS_PER_DAY,
        "snapshot_kb": len(snapshot_text) / 1e3,
        "snapshot_adopt_s": adopt_s,
        "replay_day_s": fold_s,
        "cold_start_s": cold_s,
    }


def measure_memory(state: FoldState) -> dict[str, float]:
    """Return the memory of a state loaded from its snapshot, and the peak."""
    text = encode_snapshot(build_snapshot(state))
    tracemalloc.start()
    adopted, _ = fold(INITIAL_STATE, state.next_offset, text)
    index = build_route_index(adopted.configuration)
    current, highest = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del adopted, index
    return {"state_mb": current / 1e6, "adopt_peak_mb": highest / 1e6}


def measure_lookup(name: str, look_up: Callable[[], object]) -> dict[str, float]:
    """Return the median and the 99th percentile of a lookup."""
    times = []
    for _ in range(LOOKUPS):
        started = perf_counter()
        look_up()
        times.append(perf_counter() - started)
    times.sort()
    return {
        f"{name}_p50_ms": times[LOOKUPS // 2] * 1e3,
        f"{name}_p99_ms": times[LOOKUPS * 99 // 100] * 1e3,
    }


def measure_lookups(state: FoldState) -> dict[str, float]:
    """Return the durations of key checks and route lookups."""
    organisation = OrganisationId("organisation-1")
    issued = grant_key(state.configuration, organisation, NOW_S).unwrap()
    change = ChangeRecord(
        ChangeId("grant"), state.version, "operator", NOW_S, "", issued.delta
    )
    state = fold_texts(state, (encode_change(change),))
    configuration = state.configuration
    started = perf_counter()
    index = build_route_index(configuration)
    index_s = perf_counter() - started
    path = "/service-7/route-7/items/1234"
    authenticate_caller(configuration, issued.text, NOW_S).unwrap()
    index.find(HOST, "GET", path).unwrap()
    return {
        **measure_lookup(
            "key_check", lambda: authenticate_caller(configuration, issued.text, NOW_S)
        ),
        **measure_lookup("route", lambda: index.find(HOST, "GET", path)),
        "route_index_ms": index_s * 1e3,
    }


def main(seed: int) -> int:
    """Run the measurement and return 1 if a stated target is missed."""
    state, figures = measure_stream(build_stream(Random(seed)))
    figures.update(measure_memory(state))
    figures.update(measure_lookups(state))
    print_figures("configuration_state", seed, dict(figures))
    return 0 if judge_figures(figures, TARGETS) else 1
