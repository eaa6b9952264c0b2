"""Generate JSON texts that another writer may leave among valid ones."""

from hypothesis import strategies as st
from hypothesis.strategies import SearchStrategy

NESTED = "[" * 100_000
NUMBERS = ("1e400", "-1e400", "NaN", "Infinity", "9" * 400, "1" + "0" * 5000, "-1")
SCALARS = st.one_of(
    st.sampled_from(NUMBERS),
    st.sampled_from(["null", "true", "false", "{}", "[]", '""', '"\\ud800"', NESTED]),
    st.text(max_size=8).map(lambda text: '"' + text.replace('"', "") + '"'),
)


def generate_objects(fields: tuple[str, ...]) -> SearchStrategy[str]:
    """Return texts of JSON objects with these fields, and texts that are none."""
    entries = st.lists(st.tuples(st.sampled_from(fields), SCALARS), max_size=6)
    objects = entries.map(
        lambda pairs: "{" + ",".join(f'"{name}":{value}' for name, value in pairs) + "}"
    )
    return st.one_of(objects, SCALARS, st.text(max_size=40))
