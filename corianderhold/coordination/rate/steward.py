"""Lend the domain's share of every organisation to entries and other domains."""

import threading
from dataclasses import dataclass
from random import Random

from corianderhold.clock import Clock
from corianderhold.coordination.lease.guard import LeaseGuard
from corianderhold.coordination.rate.const import (
    BORROWED_RATE_MIN_PER_S,
    DOMAIN_LOAN_RESERVED_S,
    DOMAIN_LOAN_S,
    LOAN_TIMEOUT_S,
    RENEWAL_CHECK_INTERVAL_S,
)
from corianderhold.coordination.rate.lender import BorrowerId, BorrowerKind, Lender
from corianderhold.coordination.rate.renewal_schedule import RenewalSchedule
from corianderhold.coordination.rate.shards import name_shard
from corianderhold.coordination.rate.steward_client import StewardClient
from corianderhold.ids import FailureDomainId, InstanceId, OrganisationId
from corianderhold.log import log_event, log_warning
from corianderhold.protocol.peer.control import ControlSender
from corianderhold.protocol.rate.codec import (
    LoanMessageError,
    decode_request,
    encode_reply,
)
from corianderhold.protocol.rate.model import LoanAsk, LoanReply, LoanRequest
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Organisation

FIRST_TERM = 1
GRANT_NUMBER_BITS = 32


@dataclass
class _OrganisationLoans:
    """The loans of one organisation during one tenure of its shard."""

    tenure: int
    own_from: float
    lender: Lender


class RateSteward:
    """
    Lend while this daemon holds the lease; borrow from other domains in a thread.

    The lock protects the loans only and is never held during a network request.
    """

    def __init__(
        self,
        client: StewardClient,
        domain: FailureDomainId,
        configuration: ConfigurationHolder,
        clock: Clock,
        guard: LeaseGuard,
        random: Random,
    ) -> None:
        self._client = client
        self._domain = domain
        self._configuration = configuration
        self._clock = clock
        self._guard = guard
        self._random = random
        self._lock = threading.Lock()
        self._loans: dict[OrganisationId, _OrganisationLoans] = {}
        self._shortage = threading.Event()
        self._schedule = RenewalSchedule(clock.read_monotonic())
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="steward", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; the loans expire by themselves."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(2 * LOAN_TIMEOUT_S)

    def _run(self) -> None:
        """Renew loans from other domains, earlier while the share is too small."""
        while not self._stopping.wait(RENEWAL_CHECK_INTERVAL_S):
            try:
                self.renew_if_due()
            except Exception as error:  # noqa: BLE001
                log_warning("steward_renewal_failed", error=repr(error))

    def renew_if_due(self) -> None:
        """Renew the loans if the schedule allows it."""
        now = self._clock.read_monotonic()
        if self._schedule.try_start_renewal(now, self._shortage.is_set()):
            self._shortage.clear()
            self.renew()

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Answer a loan request; refuse one whose borrower is not its sender."""
        try:
            request = decode_request(body)
        except LoanMessageError as error:
            log_warning("loan_request_malformed", error=repr(error))
            return encode_reply(LoanReply(False))
        if request.borrower != sender.instance:
            log_warning("loan_request_forged", sender=sender.instance)
            return encode_reply(LoanReply(False))
        return encode_reply(self.grant_loans(request))

    def grant_loans(self, request: LoanRequest) -> LoanReply:
        """Grant loans for the organisations whose shard this daemon holds."""
        kind = BorrowerKind.DOMAIN if request.steward else BorrowerKind.ENTRY
        if (kind is BorrowerKind.DOMAIN) == (request.domain == self._domain):
            return LoanReply(False)
        borrower = BorrowerId(kind, request.borrower, request.incarnation)
        grants = []
        accepted = False
        with self._lock:
            for ask in request.asks:
                loans = self._find_loans(ask.organisation)
                if loans is None:
                    continue
                accepted = True
                now = self._clock.read_monotonic()
                if ask.single and not request.steward:
                    grants.append(loans.lender.grant_single_token(now, ask))
                    continue
                grant = loans.lender.grant_loan(now, borrower, request.number, ask)
                if grant is None:
                    continue
                grants.append(grant)
                missing = grant.rate < ask.demand or loans.lender.unmet_tokens >= 1.0
                if missing and not request.steward:
                    self._shortage.set()
        return LoanReply(accepted, tuple(grants), self._name_holder(request))

    def _name_holder(self, request: LoanRequest) -> InstanceId:
        """Return the steward of the request's first organisation, empty if unknown."""
        for ask in request.asks:
            shard = name_shard(self._domain, ask.organisation)
            return self._guard.find_holder(shard) or InstanceId("")
        return InstanceId("")

    def renew(self) -> None:
        """Borrow from other domains what local entries need beyond the share."""
        for organisation in self._configuration.current.organisations.values():
            with self._lock:
                loans = self._find_loans(organisation.name)
            if loans is not None:
                self._borrow(organisation, loans)

    def _find_loans(self, name: OrganisationId) -> _OrganisationLoans | None:
        """
        Return the loans of an organisation, or None without its lease.

        A new tenure starts without tokens and lends only what it borrows. The domain's
        share is added once all loans of the previous holder have expired; the first
        term has no previous holder.
        """
        organisation = self._configuration.current.organisations.get(name)
        tenure = self._guard.find_tenure(name_shard(self._domain, name))
        if organisation is None or tenure is None:
            return None
        now = self._clock.read_monotonic()
        loans = self._loans.get(name)
        if loans is None or loans.tenure != tenure:
            own_from = now if tenure == FIRST_TERM else now + DOMAIN_LOAN_RESERVED_S
            loans = _OrganisationLoans(
                tenure, own_from, Lender(now, tenure << GRANT_NUMBER_BITS)
            )
            self._loans[name] = loans
            log_event("steward_began", organisation=name, tenure=tenure)
        if now >= loans.own_from:
            share = organisation.shares.get(self._domain, 0.0)
            rate, burst = organisation.rate * share, organisation.burst * share
            loans.lender.set_share(now, rate, burst)
        return loans

    def _borrow(self, organisation: Organisation, loans: _OrganisationLoans) -> None:
        """Renew the loans of one organisation, one domain after the other."""
        with self._lock:
            tokens = loans.lender.unmet_tokens
            loans.lender.unmet_tokens = 0.0
        domains = [d for d in organisation.shares if d != self._domain]
        self._random.shuffle(domains)
        for domain in domains:
            ask = self._build_ask(organisation.name, loans, domain, tokens)
            if ask is not None:
                tokens -= self._request(domain, loans, ask)

    def _build_ask(
        self,
        name: OrganisationId,
        loans: _OrganisationLoans,
        domain: FailureDomainId,
        tokens: float,
    ) -> LoanAsk | None:
        """Request from one domain what the others don't lend; None if nothing."""
        with self._lock:
            lender = loans.lender
            lender.advance(self._clock.read_monotonic())
            missing = lender.sum_required_rates() - lender.read_share().rate
            borrowed = lender.borrowed.sum_rates_of_others(domain)
            wanted = max(0.0, missing - borrowed)
            unused = lender.borrowed.read_newest_rate(domain) <= 0
            if wanted < BORROWED_RATE_MIN_PER_S and tokens < 1.0 and unused:
                return None
            used = lender.borrowed.confirm_used(domain)
            return LoanAsk(
                name,
                used.number,
                used.allowance.capacity,
                0.0,
                wanted,
                max(0.0, tokens),
            )

    def _request(
        self, domain: FailureDomainId, loans: _OrganisationLoans, ask: LoanAsk
    ) -> float:
        """
        Send one request, apply its grants and return the tokens received.

        Grants expire relative to the time before the request was sent.
        """
        shard = name_shard(domain, ask.organisation)
        response = self._client.send(domain, shard, (ask,))
        if response is None:
            return 0.0
        with self._lock:
            now = self._clock.read_monotonic()
            for grant in response.grants:
                ends_at = response.sent_at + DOMAIN_LOAN_S
                loans.lender.accept_borrowed(now, domain, grant, ends_at)
        return sum(grant.tokens for grant in response.grants)
