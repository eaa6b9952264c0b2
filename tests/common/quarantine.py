"""Build the parts that keep calls from crashing targets, with a fake notifier."""

from corianderhold.clock import Clock
from corianderhold.coordination.owner.screen import CallScreen
from corianderhold.coordination.quarantine.crashes import CrashDetector
from corianderhold.coordination.quarantine.hints import QuarantineHints
from corianderhold.ids import Fingerprint, ServiceName
from corianderhold.metrics import Metrics
from corianderhold.state.membership.target import TargetStatus
from corianderhold.state.quarantine.fingerprint import Fingerprinter
from corianderhold.state.quarantine.model import CrashReport
from corianderhold.state.quarantine.table import QuarantineTable
from corianderhold.transport.web.target import TargetClient

FINGERPRINTER = Fingerprinter(b"secret")


class RecordingNotifier:
    """Keep reports in a table, and record them instead of sending them."""

    def __init__(self, table: QuarantineTable) -> None:
        self.reports: list[CrashReport] = []
        self.cleared: list[Fingerprint] = []
        self.tests_all = False
        self._table = table

    def report_crash(self, report: CrashReport) -> None:
        """Add a crash to the table."""
        self.reports.append(report)
        self._table.record_crash(report)

    def clear(self, fingerprint: Fingerprint, service: ServiceName) -> None:
        """Clear a call."""
        self.cleared.append(fingerprint)
        self._table.clear(fingerprint)

    def is_tester(self, fingerprint: Fingerprint, service: ServiceName) -> bool:
        """Return whether this owner tries all suspects."""
        return self.tests_all


class TargetReader:
    """Read the state of a target without changing a script of states."""

    def __init__(self, read: TargetStatus) -> None:
        self.status = read

    def __call__(self) -> TargetStatus:
        return self.status


def build_screen(
    notifier: RecordingNotifier,
    table: QuarantineTable,
    client: TargetClient,
    reader: TargetReader,
    clock: Clock,
) -> CallScreen:
    """Return the screen of an owner."""
    detector = CrashDetector(reader, client.refuses_connections, clock)
    return CallScreen(table, FINGERPRINTER, notifier, detector, clock, Metrics())


def build_hints(clock: Clock) -> QuarantineHints:
    """Return the hints of an entry that owns no target."""
    return QuarantineHints(FINGERPRINTER, QuarantineTable(clock), clock)
