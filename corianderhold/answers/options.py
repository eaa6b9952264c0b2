"""Define the options of the questionnaire."""

from collections.abc import Mapping
from dataclasses import dataclass

from corianderhold.answers.values import (
    Parser,
    parse_access,
    parse_choice,
    parse_destination,
    parse_host,
    parse_methods,
    parse_names,
    parse_number,
    parse_optional,
    parse_path,
    parse_shares,
    parse_time_ms,
    parse_whole,
    parse_yes_no,
)
from corianderhold.state.configuration.const import (
    MAX_BODY_BYTES,
    MAX_BURST,
    MAX_CALLER_TIMEOUT_S,
    MAX_CONCURRENCY,
    MAX_CONNECTIONS,
    MAX_DEADLINE_MS,
    MAX_HEADER_BYTES,
    MAX_ISOLATED_AFTER_S,
    MAX_QUEUE_LENGTH,
    MAX_RATE_PER_S,
    MAX_RETRY_BUDGET,
    MAX_SPLIT_WEIGHT,
    MAX_WEIGHT,
    MIN_CALLER_TIMEOUT_S,
    MIN_HEADER_BYTES,
)
from corianderhold.state.configuration.faults import EntityKind
from corianderhold.state.configuration.model import Importance, IsolatedBehaviour

MAX_ISOLATED_AFTER_MS = int(MAX_ISOLATED_AFTER_S * 1000)
MIN_CALLER_TIMEOUT_MS = int(MIN_CALLER_TIMEOUT_S * 1000)
MAX_CALLER_TIMEOUT_MS = int(MAX_CALLER_TIMEOUT_S * 1000)
CALLER_TIMEOUT_ACCEPTED = (
    f"a time such as 800 ms, 2 s or 5 min, from {MIN_CALLER_TIMEOUT_MS} ms to "
    f"{MAX_CALLER_TIMEOUT_MS // 3_600_000} h"
)
IMPORTANCES = {each.name.lower(): each for each in Importance}
LIMITS_NAME = "callers"


@dataclass(frozen=True)
class Option:
    """
    One question of the questionnaire.

    `default` is the answer used if none is given, or None if an answer is required.
    `example` is a valid answer.
    """

    name: str
    question: str
    accepted: str
    parse: Parser
    example: str
    default: str | None = None


SERVICE_OPTIONS = (
    Option(
        "max_concurrency",
        "How many calls may one target work on at once, at most?",
        f"a whole number from 1 to {MAX_CONCURRENCY}",
        parse_whole(1, MAX_CONCURRENCY),
        "90",
        "64",
    ),
    Option(
        "queue_length",
        "How many calls may wait for one target?",
        f"a whole number from 0 to {MAX_QUEUE_LENGTH}",
        parse_whole(0, MAX_QUEUE_LENGTH),
        "16",
        "32",
    ),
    Option(
        "retry_ratio",
        "How many retries may an entry send to the service for each first attempt?",
        "a number from 0 to 1",
        parse_number(0.0, 1.0),
        "0.1",
        "0.1",
    ),
    Option(
        "adaptive_limit",
        "May the system give a target fewer calls at once than max_concurrency, as it "
        "learns what the target can do?",
        "yes or no",
        parse_yes_no,
        "yes",
        "yes",
    ),
    Option(
        "max_connections",
        "How many connections does one target accept from all daemons together?",
        f"a whole number from 1 to {MAX_CONNECTIONS}, or nothing where no bound is "
        "known",
        parse_optional(parse_whole(1, MAX_CONNECTIONS)),
        "600",
        "",
    ),
)

ORGANISATION_OPTIONS = (
    Option(
        "rate",
        "How many requests a second may the organisation send to the whole fleet?",
        f"a number from 0 to {MAX_RATE_PER_S:.10g}, 0 for no limit",
        parse_number(0.0, MAX_RATE_PER_S),
        "250",
    ),
    Option(
        "burst",
        "How many requests may it send at once after a pause?",
        f"a number from 0 to {MAX_BURST:.10g}",
        parse_number(0.0, MAX_BURST),
        "500",
    ),
    Option(
        "shares",
        "Which part of rate and burst does each failure domain hold?",
        "failure domains, each with its share as 0.25, 25% or 1/4, with commas "
        "between them and a sum of 1",
        parse_shares,
        "ch-west-a 1/2, ch-east-a 25%, ch-south-a 0.25",
    ),
    Option(
        "weight",
        "How much of a full target does it get, compared with the others?",
        f"a number from 0.001 to {MAX_WEIGHT:.10g}",
        parse_number(0.001, MAX_WEIGHT),
        "2",
        "1",
    ),
    Option(
        "importance",
        "How late are its requests shed under overload, whatever their route?",
        "one of: bulk, normal, high, critical, or nothing for that of each route",
        parse_optional(parse_choice(IMPORTANCES)),
        "critical",
        "",
    ),
)

ROUTE_OPTIONS = (
    Option(
        "service",
        "Which service answers it, or which services share its requests?",
        "the name of a service in these answers, or several with commas between them, "
        f"each with its weight from 0 to {MAX_SPLIT_WEIGHT:.10g}",
        parse_destination,
        "catalogue 9, catalogue-next 1",
    ),
    Option(
        "host",
        "Which host do its requests name?",
        "a host name in lower case without its port, or nothing for any host",
        parse_host,
        "archive.example",
        "",
    ),
    Option(
        "path",
        "Which path do its requests start with, in whole segments?",
        "a path that starts with /, without empty or dot segments, escapes or "
        "semicolons; with a / at its end, what is below it only; no other route may "
        "have it with the same host and method",
        parse_path,
        "/catalogue/search",
    ),
    Option(
        "methods",
        "Which HTTP methods does it serve?",
        "methods in capitals with commas between them, or any",
        parse_methods,
        "GET, HEAD",
    ),
    Option(
        "importance",
        "How late is it shed under overload? The lowest goes first.",
        "one of: bulk, normal, high, critical",
        parse_choice(IMPORTANCES),
        "high",
    ),
    Option(
        "open_to",
        "Who may use it?",
        "all, or names of organisations in these answers with commas between them",
        parse_access,
        "all",
    ),
    Option(
        "anonymous",
        "May requests without a key use it? They run for no organisation, without a "
        "rate.",
        "yes or no; yes only for a route that is open to all",
        parse_yes_no,
        "no",
        "no",
    ),
    Option(
        "idempotent",
        "May a request run twice without harm? A route that calls one that may not "
        "may not either.",
        "yes or no",
        parse_yes_no,
        "yes",
    ),
    Option(
        "deadline",
        "How long may the whole answer take?",
        f"a time such as 800 ms, 2 s or 5 min, from 1 ms to {MAX_DEADLINE_MS // 60_000}"
        " min, and at least that of each route in calls",
        parse_time_ms(1, MAX_DEADLINE_MS),
        "2 s",
    ),
    Option(
        "target_latency",
        "Within which time has an answer its full value?",
        f"a time such as 800 ms, 2 s or 5 min, from 1 ms to {MAX_DEADLINE_MS // 60_000}"
        " min, or nothing for the whole deadline",
        parse_optional(parse_time_ms(1, MAX_DEADLINE_MS)),
        "300 ms",
        "",
    ),
    Option(
        "calls",
        "Which routes does the service call to answer it?",
        "names of routes in these answers with commas between them, or nothing",
        parse_names,
        "rights.consent",
        "",
    ),
    Option(
        "retry_budget",
        "How many retries may one request cause in the whole chain?",
        f"a whole number from 0 to {MAX_RETRY_BUDGET}",
        parse_whole(0, MAX_RETRY_BUDGET),
        "2",
        "2",
    ),
    Option(
        "isolated",
        "What does it do when the failure domain is cut off and its view of the "
        "configuration is older than isolated_after?",
        "one of: serve, refuse",
        parse_choice({each.value: each for each in IsolatedBehaviour}),
        "refuse",
        "serve",
    ),
    Option(
        "isolated_after",
        "How old may the view of the configuration become before that?",
        "a time such as 800 ms, 2 s or 5 min, from 0 ms to "
        f"{MAX_ISOLATED_AFTER_MS // 3_600_000} h",
        parse_time_ms(0, MAX_ISOLATED_AFTER_MS),
        "60 s",
        "60 s",
    ),
)

LIMITS_OPTIONS = (
    Option(
        "header_bytes",
        "How large may the head of a request be?",
        f"a whole number of bytes from {MIN_HEADER_BYTES} to {MAX_HEADER_BYTES}",
        parse_whole(MIN_HEADER_BYTES, MAX_HEADER_BYTES),
        "8192",
        "32768",
    ),
    Option(
        "body_bytes",
        "How large may the body of a request be?",
        f"a whole number of bytes from 0 to {MAX_BODY_BYTES}",
        parse_whole(0, MAX_BODY_BYTES),
        "1000000",
        str(2**30),
    ),
    Option(
        "header_timeout",
        "How long may a caller take to send the head of a request?",
        CALLER_TIMEOUT_ACCEPTED,
        parse_time_ms(MIN_CALLER_TIMEOUT_MS, MAX_CALLER_TIMEOUT_MS),
        "5 s",
        "10 s",
    ),
    Option(
        "idle_timeout",
        "How long may a connection stay open between two requests?",
        CALLER_TIMEOUT_ACCEPTED,
        parse_time_ms(MIN_CALLER_TIMEOUT_MS, MAX_CALLER_TIMEOUT_MS),
        "30 s",
        "75 s",
    ),
)

OPTIONS: Mapping[EntityKind, tuple[Option, ...]] = {
    EntityKind.SERVICE: SERVICE_OPTIONS,
    EntityKind.ORGANISATION: ORGANISATION_OPTIONS,
    EntityKind.ROUTE: ROUTE_OPTIONS,
    EntityKind.LIMITS: LIMITS_OPTIONS,
}


def describe_header(kind: EntityKind) -> str:
    """Return the section header for this kind, as shown to operators."""
    name = LIMITS_NAME if kind is EntityKind.LIMITS else "NAME"
    return f"[{kind.value} {name}]"
