"""Define the constants of the member table and of the local target."""

from corianderhold.state.membership.model import MemberState

TARGET_TTL_S = 3.0
WITHDRAWN_STARTS_MAX = 16
LATE_HEARTBEAT_S = 5.0  # heartbeats that are held up for longer are believed
DEAD_RETENTION_S = 7200.0
DEPARTURE_RETENTION_S = 600.0  # longer than a departed target or heartbeat lingers
DEPARTURES_MAX = 4096  # instances
INSTANCE_DEPARTURES_MAX = 4

# Of two states claimed of the same announcement, the one with the higher value holds.
STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}
