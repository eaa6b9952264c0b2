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
    Request of a borrower for one organisation.

    `applied` is the number of the grant in use, 0 for none; `capacity` is its remaining
    capacity after the removal of `returned` tokens; `demand` is in requests per second,
    `wanted` in tokens. With `single`, the borrower requests one token for one call
    instead of a loan.
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
    """All loans that a borrower requests of a steward; `number` grows each time."""

    borrower: InstanceId
    incarnation: Incarnation
    number: int
    domain: FailureDomainId
    steward: bool
    asks: tuple[LoanAsk, ...]


@dataclass(frozen=True)
class LoanGrant:
    """
    A loan of `rate` requests per second and `capacity`, with `tokens` to add.

    It expires LOAN_S seconds after the borrower sent the request.
    """

    organisation: OrganisationId
    number: int
    rate: float
    capacity: float
    tokens: float


@dataclass(frozen=True)
class LoanReply:
    """
    The grants; `accepted` is False if the daemon is not the steward, or not yet.

    `holder` is the instance that the daemon considers the steward, or empty.
    """

    accepted: bool
    grants: tuple[LoanGrant, ...] = ()
    holder: InstanceId = InstanceId("")
