"""Model the messages between borrowers and rate stewards."""

from dataclasses import dataclass

from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    OrganisationId,
)


@dataclass(frozen=True)
class LoanAsk:
    """
    What a borrower asks for one organisation.

    `applied` is the number of the grant in use, 0 for none; `capacity` is what is left
    of its capacity after `returned` tokens were taken out; `demand` is in requests a
    second, `wanted` in tokens. `single` asks for one token for one call instead.
    """

    organisation: OrganisationId
    applied: int
    capacity: float
    returned: float
    demand: float
    wanted: float
    single: bool = False


@dataclass(frozen=True)
class LoanRequest:
    """All asks of one borrower to one steward; `number` grows with every request."""

    borrower: InstanceId
    incarnation: Incarnation
    number: int
    domain: FailureDomainId
    steward: bool
    asks: tuple[LoanAsk, ...]


@dataclass(frozen=True)
class LoanGrant:
    """
    A loan of `rate` requests a second and `capacity` with `tokens` to add.

    It ends LOAN_S after the borrower sent the request.
    """

    organisation: OrganisationId
    number: int
    rate: float
    capacity: float
    tokens: float


@dataclass(frozen=True)
class LoanReply:
    """
    The grants; not accepted by a daemon that is no steward or not yet one.

    `holder` is the instance that the daemon believes to be the steward, or empty.
    """

    accepted: bool
    grants: tuple[LoanGrant, ...] = ()
    holder: InstanceId = InstanceId("")
