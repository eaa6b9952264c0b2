"""Build small configurations, changes and streams of change records."""

from collections.abc import Iterable
from dataclasses import replace

from hypothesis import strategies as st

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
from corianderhold.state.configuration.codec import encode_change
from corianderhold.state.configuration.fold import (
    INITIAL_STATE,
    FoldOutcome,
    FoldState,
    fold,
)
from corianderhold.state.configuration.model import (
    ApiKey,
    CallerLimits,
    Importance,
    Organisation,
    Route,
    Service,
    TrafficSplit,
)
from corianderhold.state.configuration.records import ChangeRecord, Delta

SEARCH = Route(
    name=RouteName("search"),
    service=ServiceName("catalogue"),
    path_prefix="/search",
    methods=frozenset({"GET"}),
)
CATALOGUE = Service(ServiceName("catalogue"))
RADIO = Organisation(
    OrganisationId("radio"), 100.0, 200.0, shares={FailureDomainId("west-a"): 1.0}
)
RADIO_KEY = ApiKey(KeyId("k1"), OrganisationId("radio"), "digest")
SPLIT = replace(
    SEARCH,
    service=ServiceName(""),
    splits=(TrafficSplit(ServiceName("catalogue"), 3.0),),
    methods=frozenset(),
    host="a.example",
    anonymous=True,
    target_latency_ms=300,
)
LIMITS = CallerLimits(8192, 1000, 2.5, 30.0)
BASE = Delta(
    services=(CATALOGUE,),
    routes=(SEARCH,),
    organisations=(RADIO,),
    keys=(RADIO_KEY,),
)


def make_change(
    change_id: str, base_version: int, delta: Delta, author: str = "ada"
) -> ChangeRecord:
    """Return a change with the given id."""
    return ChangeRecord(
        ChangeId(change_id), Version(base_version), author, 1.7e9, "", delta
    )


def make_text(
    change_id: str, base_version: int, delta: Delta, author: str = "ada"
) -> str:
    """Return the encoded change with the given id."""
    return encode_change(make_change(change_id, base_version, delta, author))


def fold_all(
    texts: Iterable[str], state: FoldState = INITIAL_STATE
) -> tuple[FoldState, list[FoldOutcome]]:
    """Fold encoded changes at the offsets that follow the state's last record."""
    outcomes = []
    for text in texts:
        state, outcome = fold(state, Offset(state.next_offset), text)
        outcomes.append(outcome)
    return state, outcomes


def draw_deltas() -> st.SearchStrategy[Delta]:
    """Return a strategy of valid and invalid deltas over a few names."""
    key_ids = st.sampled_from([KeyId(f"k{index}") for index in range(4)])
    names = st.sampled_from(["r0", "r1", "search"])
    owners = st.sampled_from([OrganisationId("radio"), OrganisationId("school")])
    route = st.builds(
        lambda base, name, calls, deadline: replace(
            base,
            name=RouteName(name),
            path_prefix=f"/{name}",
            calls=frozenset(map(RouteName, calls)),
            deadline_ms=deadline,
        ),
        st.sampled_from([SEARCH, SPLIT]),
        names,
        st.frozensets(names, max_size=2),
        st.sampled_from([100, 200]),
    )
    key = st.builds(
        lambda key_id, owner: replace(RADIO_KEY, key_id=key_id, organisation=owner),
        key_ids,
        owners,
    )
    organisation = st.builds(
        lambda name, importance: replace(RADIO, name=name, importance=importance),
        owners,
        st.sampled_from([None, Importance.BULK]),
    )
    wider = replace(CATALOGUE, max_connections=600)
    return st.builds(
        Delta,
        services=st.sampled_from([(CATALOGUE,), (wider,), ()]),
        routes=st.lists(route, max_size=2).map(tuple),
        organisations=st.lists(organisation, max_size=1).map(tuple),
        keys=st.lists(key, max_size=2).map(tuple),
        removed_routes=st.lists(names.map(RouteName), max_size=1).map(tuple),
        removed_organisations=st.lists(owners, max_size=1).map(tuple),
        removed_keys=st.lists(key_ids, max_size=1).map(tuple),
        removed_services=st.just(()) | st.just((ServiceName("catalogue"),)),
        limits=st.sampled_from([None, LIMITS, CallerLimits()]),
    )
