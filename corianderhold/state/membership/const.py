"""Hold the constants of the table of members and of the local target."""

from corianderhold.state.membership.model import MemberState

TARGET_TTL_S = 3.0
WITHDRAWN_STARTS = 16
DEAD_RETENTION_S = 7200.0

# Which of two claims about the same announcement holds.
PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}
