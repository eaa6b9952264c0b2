"""Assemble a daemon; the only module that depends on all of its components."""

import os
import threading
from random import Random

from corianderhold.admin.application import AdminApplication
from corianderhold.admin.model import AdminParts
from corianderhold.admin.model import Identity as AdminIdentity
from corianderhold.clock import SystemClock
from corianderhold.coordination.configuration.evacuator import (
    EvacuationTracker,
    Evacuator,
)
from corianderhold.coordination.configuration.follower import ConfigurationFollower
from corianderhold.coordination.configuration.publisher import Publisher
from corianderhold.coordination.eligibility import EligibilityRules
from corianderhold.coordination.entry.application import CallerApplication
from corianderhold.coordination.entry.const import NESTED_RESERVE_RATIO
from corianderhold.coordination.entry.load_balancer import LocalityLoadBalancer
from corianderhold.coordination.entry.outgoing import OutgoingApplication
from corianderhold.coordination.entry.request import RequestReader
from corianderhold.coordination.entry.request_handler import RequestHandler
from corianderhold.coordination.entry.router import Router
from corianderhold.coordination.entry.sender import PeerSender
from corianderhold.coordination.entry.watch import CallerWatch
from corianderhold.coordination.lease.locator import HolderLocator
from corianderhold.coordination.lease.manager import LeaseManager
from corianderhold.coordination.lease.ranking import MemberFilter
from corianderhold.coordination.membership.health_check import TargetHealthCheck
from corianderhold.coordination.membership.service import (
    MembershipService,
    MembershipSettings,
)
from corianderhold.coordination.once.keeper import OnceKeeper
from corianderhold.coordination.once.key import list_shards as list_once_shards
from corianderhold.coordination.once.router import KeyedRouter
from corianderhold.coordination.owner.admission import AdmissionController
from corianderhold.coordination.owner.breaker import CalleeCircuitBreaker
from corianderhold.coordination.owner.guard import PlacementGuard
from corianderhold.coordination.owner.owner import Owner
from corianderhold.coordination.owner.policy import (
    AdmissionConfigurator,
    build_default_limit,
    build_default_policy,
)
from corianderhold.coordination.owner.remote import RemoteCallServer
from corianderhold.coordination.owner.screen import CallScreen
from corianderhold.coordination.quarantine.crashes import CrashDetector
from corianderhold.coordination.quarantine.hints import QuarantineHints
from corianderhold.coordination.quarantine.service import QuarantineService
from corianderhold.coordination.rate.components import (
    RateComponents,
    build_loans,
    build_slices,
)
from corianderhold.coordination.rate.division import (
    Division,
    FixedSlotDivision,
    MemberCountDivision,
)
from corianderhold.coordination.rate.shards import list_shards as list_rate_shards
from corianderhold.coordination.rate.transfer import EntryPlace
from corianderhold.coordination.retry import FleetRetryBurst
from corianderhold.core import Application
from corianderhold.deadline import StopDeadline
from corianderhold.deployment import Deployment
from corianderhold.drain import GracefulStop, StopParts, TargetDrain
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.control import ControlTopic
from corianderhold.readiness import Readiness
from corianderhold.settings.model import Settings
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.lease.model import LeaseHolder, ShardId
from corianderhold.state.membership.incarnation import generate_incarnation
from corianderhold.state.membership.locality import Locality
from corianderhold.state.quarantine.fingerprint import Fingerprinter
from corianderhold.state.quarantine.table import QuarantineTable
from corianderhold.traffic import TrafficMeter, TrafficReport
from corianderhold.transport.peer.control import LinkControlClient
from corianderhold.transport.peer.handshake import Identity
from corianderhold.transport.peer.pool import LinkPool
from corianderhold.transport.peer.server import PeerServer
from corianderhold.transport.store.monitored import MonitoredLog
from corianderhold.transport.web.server import WebServer
from corianderhold.transport.web.target import TargetClient

ADMIN_THREADS = 4
SMALL_LISTENER_THREADS = 2
THREAD_STACK_BYTES = 512 * 1024


def build_daemon(settings: Settings, deployment: Deployment) -> Application:
    """Build a daemon from its settings; its listeners open when it starts."""
    threading.stack_size(THREAD_STACK_BYTES)
    return DaemonBuilder(settings, deployment).build()


class DaemonBuilder:
    """Build the components of a daemon in the order of their dependencies."""

    def __init__(self, settings: Settings, deployment: Deployment) -> None:
        self._settings = settings
        self._deployment = deployment
        self._clock = SystemClock()
        self._random = Random(os.urandom(16))
        self._metrics = Metrics()
        self._header_names = deployment.headers
        self._holder = ConfigurationHolder()
        self._rules = EligibilityRules(self._holder)
        self._incarnation = generate_incarnation()
        self._identity = Identity(
            settings.instance, self._incarnation, settings.fleet_secret
        )
        self._place = Locality(settings.instance, settings.domain, settings.region)
        self._breaker = CalleeCircuitBreaker(self._clock)
        self._guard = PlacementGuard(self._rules, self._place)
        self._meter = TrafficMeter(self._place, lambda: self._membership, self._metrics)
        self._pool = LinkPool(self._identity, self._clock, self._meter)
        self._control = LinkControlClient(self._pool)
        self._log = MonitoredLog(
            deployment.open_log(settings, self._clock),
            self._clock,
            lambda: self._clock.read_monotonic() - self._holder.verified_at,
        )
        self._metrics.add_gauge("store_era", self._log.read_era)
        self._membership = self._build_membership()
        self._holder.add_listener(self._membership.handle_configuration)
        self._follower = self._build_follower()
        self._follower.replica.add_era_listener(self._membership.handle_restored_store)
        self._sender = PeerSender(self._pool, self._clock)
        self._locator = HolderLocator(self._membership)
        self._lease_holder = LeaseHolder(settings.instance, self._incarnation)
        self._leases = self._build_leases()
        self._rate = self._build_rate()
        self._fingerprinter = Fingerprinter(settings.fleet_secret)
        self._quarantines = QuarantineTable(self._clock)
        self._quarantine = self._build_quarantine()
        self._readiness = Readiness(self._holder, self._clock, self._rate.is_settled)

    def build(self) -> Application:
        """Return the application with all components."""
        admission = AdmissionController(
            build_default_limit(), build_default_policy(), self._clock, self._random
        )
        owner = self._build_owner(admission)
        direct = self._build_router(owner)
        keeper = OnceKeeper(self._leases, direct, self._clock)
        router = self._build_keyed_router(keeper, direct)
        watch = CallerWatch(router.cancel)
        callers = self._build_callers(router, watch, owner)
        self._metrics.add_gauge("request_in_flight", callers.count_in_flight)
        outgoing = self._build_outgoing(router, watch, owner)
        caller_server = self._build_caller_server(callers)
        target_servers = self._build_target_servers(outgoing)
        peer_server = self._build_peer_server(owner, keeper)
        times = self._settings.stop
        deadline = StopDeadline(times.limit_s, self._clock)
        stop_parts = StopParts(
            readiness=self._readiness,
            member=self._membership,
            listener=caller_server,
            intake=callers,
            owner=owner,
            calls=watch,
            senders=(*target_servers, peer_server),
        )
        return Application(
            [
                TrafficReport(self._metrics),
                *self._build_operator_servers(),
                self._pool,
                AdmissionConfigurator(
                    admission,
                    self._holder,
                    self._membership,
                    self._guard,
                    self._clock,
                ),
                peer_server,
                self._membership,
                self._follower,
                self._leases,
                self._quarantine,
                *([keeper] if self._header_names.idempotency_key else []),
                *self._rate.components,
                watch,
                *target_servers,
                caller_server,
                GracefulStop(stop_parts, times, deadline, self._clock),
            ],
            deadline,
        )

    def _build_owner(self, admission: AdmissionController) -> Owner:
        names = self._header_names
        client = TargetClient(self._clock, names.request_id)
        owner = Owner(
            self._membership,
            admission,
            client,
            self._guard,
            self._breaker,
            self._clock,
            self._metrics,
            self._build_screen(client),
            names,
        )
        self._metrics.add_gauge(
            "owner_in_flight", lambda: owner.report_load().in_flight
        )
        self._metrics.add_gauge("owner_queued", lambda: owner.report_load().queued)
        self._metrics.add_gauge("owner_limit", lambda: owner.report_load().limit)
        self._metrics.add_gauge("owner_rate_limit", owner.read_rate_limit)
        return owner

    def _build_screen(self, client: TargetClient) -> CallScreen:
        detector = CrashDetector(
            self._membership.read_target, client.refuses_connections, self._clock
        )
        return CallScreen(
            self._quarantines,
            self._fingerprinter,
            self._quarantine,
            detector,
            self._clock,
            self._metrics,
        )

    def _build_quarantine(self) -> QuarantineService:
        service = QuarantineService(
            self._settings.instance,
            self._quarantines,
            self._membership,
            self._control,
            self._log,
            self._clock,
            Random(os.urandom(16)),
            self._metrics,
        )
        self._membership.add_listener(service.handle_member)
        self._membership.add_target_listener(service.handle_target)
        self._metrics.add_gauge("suspects", self._quarantines.count_suspects)
        self._metrics.add_gauge("quarantines", self._quarantines.count_quarantines)
        return service

    def _build_keyed_router(self, keeper: OnceKeeper, direct: Router) -> KeyedRouter:
        return KeyedRouter(
            self._settings.instance,
            keeper,
            direct,
            self._sender,
            self._locator,
            self._membership,
            self._rules,
            self._place,
        )

    def _build_intake(
        self,
        name: str,
        router: KeyedRouter,
        watch: CallerWatch,
        threads: int,
        reserve: float = 0.0,
    ) -> RequestHandler:
        reader = RequestReader(self._header_names, self._settings.service or "")
        return RequestHandler(
            name,
            router,
            watch,
            self._clock,
            self._metrics,
            threads,
            reader,
            self._deployment.format_retry_after,
            reserve,
        )

    def _build_callers(
        self, router: KeyedRouter, watch: CallerWatch, owner: Owner
    ) -> CallerApplication:
        threads = self._settings.listeners.caller_threads
        takes_nested = self._header_names.context is None
        intake = self._build_intake(
            "request",
            router,
            watch,
            threads,
            NESTED_RESERVE_RATIO if takes_nested else 0.0,
        )
        return CallerApplication(
            intake,
            self._holder,
            self._rate.limiter,
            self._breaker,
            self._clock,
            owner.calls if takes_nested else None,
            self._deployment.path_matching,
        )

    def _build_outgoing(
        self, router: KeyedRouter, watch: CallerWatch, owner: Owner
    ) -> OutgoingApplication:
        threads = self._settings.listeners.outgoing_threads
        intake = self._build_intake("nested_call", router, watch, threads)
        return OutgoingApplication(
            intake,
            self._holder,
            owner.calls,
            self._membership,
            self._breaker,
            self._clock,
            self._deployment.path_matching,
        )

    def _build_caller_server(self, callers: CallerApplication) -> WebServer:
        listeners = self._settings.listeners
        server = WebServer(
            "caller", listeners.caller, callers, listeners.caller_threads
        )
        self._holder.add_listener(lambda each: server.set_limits(each.limits))
        return server

    def _build_target_servers(self, outgoing: OutgoingApplication) -> list[WebServer]:
        """Build the listeners for the local target."""
        listeners, deployment = self._settings.listeners, self._deployment
        servers = []
        if listeners.outgoing is not None:
            threads = listeners.outgoing_threads
            servers.append(WebServer("outgoing", listeners.outgoing, outgoing, threads))
        if listeners.announce is not None and deployment.build_announce is not None:
            announce = deployment.build_announce(self._membership)
            servers.append(
                WebServer(
                    "announce", listeners.announce, announce, SMALL_LISTENER_THREADS
                )
            )
        return servers

    def _build_operator_servers(self) -> list[WebServer]:
        """Build the listeners that respond for the whole lifetime of the process."""
        listeners, deployment = self._settings.listeners, self._deployment
        admin = self._build_admin()
        servers = [WebServer("admin", listeners.admin, admin, ADMIN_THREADS)]
        if listeners.readiness is not None and deployment.build_readiness is not None:
            readiness = deployment.build_readiness(self._readiness.is_ready)
            servers.append(
                WebServer(
                    "readiness", listeners.readiness, readiness, SMALL_LISTENER_THREADS
                )
            )
        return servers

    def _build_admin(self) -> AdminApplication:
        settings = self._settings
        parts = AdminParts(
            identity=AdminIdentity(settings.instance, settings.domain),
            readiness=self._readiness,
            holder=self._holder,
            publisher=Publisher(self._follower, self._log, self._clock),
            orders=Evacuator(self._follower, self._log, self._clock),
            evacuations=EvacuationTracker(self._holder, self._clock),
            history=self._follower.replica.history,
            stream=self._follower,
            members=self._membership,
            drain=TargetDrain(self._membership),
            quarantines=self._quarantine,
            metrics=self._metrics,
            clock=self._clock,
        )
        return AdminApplication(parts, settings.admin_token)

    def _build_membership(self) -> MembershipService:
        settings = self._settings
        return MembershipService(
            MembershipSettings(
                instance=settings.instance,
                incarnation=self._incarnation,
                domain=settings.domain,
                region=settings.region,
                peer_address=settings.listeners.peer_advertised,
                gossip_address=settings.listeners.gossip,
                seeds=settings.seeds,
                secret=settings.fleet_secret,
                target_ttl_s=settings.target_ttl_s,
            ),
            self._clock,
            Random(os.urandom(16)),
            self._log,
            self._control,
            self._metrics,
            self._meter,
            TargetHealthCheck(self._holder, self._clock, self._header_names),
        )

    def _build_follower(self) -> ConfigurationFollower:
        settings = self._settings
        return ConfigurationFollower(
            settings.instance,
            settings.domain,
            settings.retention_s,
            self._log,
            self._control,
            self._membership,
            self._holder,
            self._clock,
            Random(os.urandom(16)),
            self._metrics,
        )

    def _build_router(self, owner: Owner) -> Router:
        settings = self._settings
        return Router(
            settings.instance,
            self._membership,
            self._holder,
            LocalityLoadBalancer(self._place, self._clock, self._random),
            self._rules,
            owner,
            self._sender,
            self._clock,
            self._metrics,
            FleetRetryBurst(settings.retry_burst, self._membership),
            QuarantineHints(self._fingerprinter, self._quarantines, self._clock),
            self._header_names,
        )

    def _build_leases(self) -> LeaseManager:
        """Build the manager of leases for idempotency keys and, with loans, rates."""
        settings = self._settings
        shards: dict[ShardId, MemberFilter] = {}
        if self._header_names.idempotency_key:
            shards |= list_once_shards()
        if settings.entry_slots == 0:
            shards |= list_rate_shards(settings.domain)
        return LeaseManager(
            self._lease_holder,
            shards,
            self._clock,
            self._log,
            self._control,
            self._membership,
        )

    def _build_rate(self) -> RateComponents:
        """Build rate limiting by loans or by slices, depending on the settings."""
        settings = self._settings
        if settings.entry_slots != 0:
            return build_slices(
                EntryPlace(self._lease_holder, settings.domain, settings.region),
                self._holder,
                self._build_division(),
                self._membership,
                self._control,
                self._clock,
                settings.rate_slack,
                settings.rate_lowering_delay_s,
                settings.rate_overage,
            )
        return build_loans(
            self._lease_holder,
            settings.domain,
            self._holder,
            self._leases,
            self._locator,
            self._control,
            self._clock,
        )

    def _build_division(self) -> Division:
        """Divide rates by entry slots if the settings give a number of them."""
        settings = self._settings
        if settings.entry_slots is not None:
            return FixedSlotDivision(settings.domain, settings.entry_slots)
        return MemberCountDivision(
            settings.instance,
            settings.domain,
            self._membership,
            self._clock,
            settings.rate_slack,
            self._membership.list_logged_members,
            settings.stop.deregistration_delay_s,
        )

    def _build_peer_server(self, owner: Owner, keeper: OnceKeeper) -> PeerServer:
        return PeerServer(
            self._settings.listeners.peer,
            self._identity,
            self._clock,
            RemoteCallServer(owner, keeper, self._incarnation, self._clock),
            {
                ControlTopic.MEMBERSHIP: self._membership,
                ControlTopic.DEPARTURE: self._membership.departures,
                ControlTopic.CONFIGURATION: self._follower,
                ControlTopic.LEASE: self._leases,
                ControlTopic.QUARANTINE: self._quarantine,
                **self._rate.handlers,
            },
            self._meter,
        )
