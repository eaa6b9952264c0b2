"""Charge requests to this entry's slices, and transfer tokens between entries."""

import threading
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from corianderhold.clock import Clock
from corianderhold.coordination.rate.const import (
    CHARGE_BACKOFF_MAX_S,
    CHARGE_BACKOFF_S,
    CONCURRENT_CHARGES_MAX,
    LOCAL_LENDERS_MAX,
    REMOTE_LENDERS_MAX,
    RETRY_AFTER_MAX_MS,
    TRANSFER_TIMEOUT_S,
    TRANSFER_TOTAL_TIMEOUT_S,
    TRANSFER_USABLE_S,
    UNRESPONSIVE_PEER_BACKOFF_S,
    UNSETTLED_RETRY_AFTER_MS,
)
from corianderhold.coordination.rate.division import Division
from corianderhold.coordination.rate.slices import SliceTable
from corianderhold.ids import (
    FailureDomainId,
    InstanceId,
    OrganisationId,
    RegionId,
)
from corianderhold.log import log_warning
from corianderhold.protocol.peer.control import (
    ControlClient,
    ControlSender,
    ControlTopic,
)
from corianderhold.protocol.rate.codec import (
    LoanMessageError,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from corianderhold.protocol.rate.model import (
    LoanAsk,
    LoanGrant,
    LoanReply,
    LoanRequest,
)
from corianderhold.protocol.verdict import Reason, Refusal, refuse_not_run
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.lease.model import LeaseHolder
from corianderhold.state.membership.model import Member, MemberDirectory, MemberState


@dataclass(frozen=True)
class EntryPlace:
    """The identity and location of an entry."""

    node: LeaseHolder
    domain: FailureDomainId
    region: RegionId


@dataclass
class _Shortage:
    """
    The recent shortage of one organisation at this entry.

    No peer is asked before `backoff_until`; the backoff grows while peers have no
    tokens.
    """

    backoff_until: float = float("-inf")
    backoff_s: float = 0.0
    began_at: float = float("-inf")
    count: int = 0

    def record(self, now: float) -> float:
        """Count a charge without a token; return the count within TRANSFER_USABLE_S."""
        if now - self.began_at >= TRANSFER_USABLE_S:
            self.began_at, self.count = now, 0
        self.count += 1
        return float(self.count)


class TransferLimiter:
    """
    Charge the local slice, and borrow tokens from peers when it has none left.

    Also handles the control topic RATE by lending tokens to peers. Concurrent requests
    are bounded, and an unsuccessful one starts an exponential backoff.
    """

    def __init__(
        self,
        table: SliceTable,
        place: EntryPlace,
        configuration: ConfigurationHolder,
        division: Division,
        members: MemberDirectory,
        control: ControlClient,
        clock: Clock,
        random: Random,
    ) -> None:
        self._table = table
        self._place = place
        self._configuration = configuration
        self._division = division
        self._members = members
        self._control = control
        self._clock = clock
        self._random = random
        self._slots = threading.BoundedSemaphore(CONCURRENT_CHARGES_MAX)
        self._shortages: dict[OrganisationId, _Shortage] = {}
        self._silent_until: dict[InstanceId, float] = {}

    def charge(self, organisation: OrganisationId, now: float) -> Result[None, Refusal]:
        """Charge one request; wait for peers only if it would be refused here."""
        if self._is_unlimited(organisation):
            return Ok(None)
        missing = self._table.take(organisation, now)
        if missing <= 0:
            return Ok(None)
        shortage = self._shortages.setdefault(organisation, _Shortage())
        wanted = missing + shortage.record(now) - 1.0
        if now < shortage.backoff_until:
            return self._refuse(organisation, shortage.backoff_until - now)
        if not self._slots.acquire(blocking=False):
            return self._refuse(organisation, CHARGE_BACKOFF_S)
        try:
            charged = self._borrow(organisation, wanted)
        finally:
            self._slots.release()
        if charged:
            shortage.backoff_s /= 2
            return Ok(None)
        shortage.backoff_s = min(
            max(CHARGE_BACKOFF_MAX_S, self._table.find_token_interval_s(organisation)),
            max(CHARGE_BACKOFF_S, 2 * shortage.backoff_s),
        )
        shortage.backoff_until = self._clock.read_monotonic() + shortage.backoff_s
        return self._refuse(organisation, shortage.backoff_s)

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Lend a peer the tokens that it asks for, as far as available."""
        try:
            request = decode_request(body)
        except LoanMessageError as error:
            log_warning("loan_request_malformed", error=repr(error))
            return encode_reply(LoanReply(False))
        if request.borrower != sender.instance:
            log_warning("loan_request_forged", sender=sender.instance)
            return encode_reply(LoanReply(False))
        now = self._clock.read_monotonic()
        grants = []
        for ask in request.asks:
            tokens = self._table.lend(ask.organisation, ask.wanted, now)
            grants.append(LoanGrant(ask.organisation, 0, 0.0, tokens, tokens))
        return encode_reply(LoanReply(True, tuple(grants)))

    def _is_unlimited(self, organisation: OrganisationId) -> bool:
        """Return whether the configuration sets no rate for an organisation."""
        known = self._configuration.current.organisations.get(organisation)
        return known is not None and known.rate <= 0

    def _borrow(self, organisation: OrganisationId, wanted: float) -> bool:
        """Ask peers in turn until a token can be charged; return whether one was."""
        began_at = self._clock.read_monotonic()
        for member in self._list_lenders(organisation):
            wanted -= self._ask(member, organisation, wanted)
            now = self._clock.read_monotonic()
            if self._table.take(organisation, now) <= 0:
                return True
            if now - began_at >= TRANSFER_TOTAL_TIMEOUT_S:
                return False
        return False

    def _list_lenders(self, organisation: OrganisationId) -> list[Member]:
        """Return some slice holders in random order, nearest first."""
        place = self._place
        known = self._configuration.current.organisations.get(organisation)
        holders = None if known is None else self._division.list_slice_holders(known)
        now = self._clock.read_monotonic()
        near, middle, far = [], [], []
        for member in self._members.list_members():
            if member.state is not MemberState.ALIVE:
                continue
            if member.instance == place.node.instance:
                continue
            if holders is not None and member.instance not in holders:
                continue
            if now < self._silent_until.get(member.instance, now):
                continue
            if member.domain == place.domain:
                near.append(member)
            elif member.region == place.region:
                middle.append(member)
            else:
                far.append(member)
        for members in (near, middle, far):
            self._random.shuffle(members)
        return (
            near[:LOCAL_LENDERS_MAX]
            + middle[:LOCAL_LENDERS_MAX]
            + far[:REMOTE_LENDERS_MAX]
        )

    def _ask(
        self, member: Member, organisation: OrganisationId, wanted: float
    ) -> float:
        """Borrow tokens from one peer and return the number received."""
        ask = LoanAsk(organisation, 0, 0.0, 0.0, 0.0, wanted, single=True)
        node = self._place.node
        request = LoanRequest(
            node.instance, node.incarnation, 0, self._place.domain, False, (ask,)
        )
        sent_at = self._clock.read_monotonic()
        response = self._control.request(
            member.peer_address,
            ControlTopic.RATE,
            encode_request(request),
            TRANSFER_TIMEOUT_S,
        )
        if isinstance(response, Err):
            until = self._clock.read_monotonic() + UNRESPONSIVE_PEER_BACKOFF_S
            self._silent_until[member.instance] = until
            return 0.0
        try:
            reply = decode_reply(response.ok_value)
        except LoanMessageError as error:
            log_warning("loan_reply_malformed", error=repr(error))
            return 0.0
        tokens = sum(grant.tokens for grant in reply.grants)
        self._table.add_borrowed(organisation, tokens, sent_at + TRANSFER_USABLE_S)
        return tokens

    def _refuse(
        self, organisation: OrganisationId, wait_s: float
    ) -> Result[None, Refusal]:
        """Refuse with the time until the backoff ends or the slice has a token."""
        if not self._table.settled:  # the caller may be within its rate
            return Err(refuse_not_run(Reason.RATE_UNSETTLED, UNSETTLED_RETRY_AFTER_MS))
        wait_s = min(wait_s, self._table.estimate_wait_s(organisation))
        retry_after_ms = min(RETRY_AFTER_MAX_MS, int(wait_s * 1000) + 1)
        return Err(refuse_not_run(Reason.RATE_EXCEEDED, retry_after_ms))
