"""
Test exchanges between two daemons and their messages.

Guards against a view that is reported as verified although records are missing or
the verification is older, against older versions becoming active again, and against
readers that see a configuration in the middle of a change.
"""

import threading
from functools import partial
from typing import Any
from unittest import TestCase
from unittest.mock import patch

from hypothesis import given
from hypothesis.strategies import binary
from result import Ok, Result

from corianderhold.coordination.configuration.snapshot_cache import decompress_snapshot
from corianderhold.ids import FIRST_ERA, Offset, Version
from corianderhold.protocol.configuration.codec import (
    decode_exchange,
    decode_reply,
    encode_exchange,
    encode_reply,
)
from corianderhold.protocol.configuration.errors import ExchangeError
from corianderhold.protocol.configuration.messages import (
    Exchange,
    ExchangeReply,
    Head,
    SnapshotMark,
    SnapshotPart,
    SnapshotQuery,
)
from corianderhold.protocol.peer.control import ControlFailure, ControlSender
from corianderhold.protocol.store.model import (
    AppendFailure,
    LogPage,
    LogRecord,
    ReadFailure,
    StreamName,
)
from corianderhold.state.configuration import codec
from corianderhold.state.configuration.codec import encode_snapshot
from corianderhold.state.configuration.fold import build_snapshot
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.membership.model import Address
from tests.common.changes import BASE, make_text
from tests.common.followers import Daemon, Fleet
from tests.common.log import FakeLog
from tests.common.waiting import wait_until
from tests.coordination.configuration.case import SpreadTestCase, limit_concurrency

HEAD = Head(Offset(70), Version(60), b"12345678")
AGREED_BYTES_MAX = 64


def has_versions(daemon: Daemon, expected: list[int]) -> bool:
    """Return whether exactly these versions became active."""
    return daemon.versions == expected


class MessageTests(TestCase):
    """Check that messages round-trip and malformed bytes are refused."""

    def test_messages_round_trip(self) -> None:
        records = (LogRecord(Offset(69), "\u00fc"), LogRecord(Offset(70), ""))
        exchange = Exchange(HEAD, records, SnapshotQuery(Offset(-2), 0))
        self.assertEqual(decode_exchange(encode_exchange(exchange)), exchange)
        part = SnapshotPart(Offset(9), 0, 3, b"\x00\xff1")
        reply = ExchangeReply(HEAD, 0, records, part, SnapshotMark(Offset(-1), 7), True)
        self.assertEqual(decode_reply(encode_reply(reply)), reply)

    def test_exchange_of_equal_heads_is_small(self) -> None:
        self.assertLess(len(encode_exchange(Exchange(HEAD))), AGREED_BYTES_MAX)
        reply = ExchangeReply(HEAD, 60_000, mark=SnapshotMark(Offset(10**6), 10**6))
        self.assertLess(len(encode_reply(reply)), AGREED_BYTES_MAX)

    @given(binary(max_size=80))
    def test_malformed_bytes_are_refused(self, body: bytes) -> None:
        for decode in (decode_exchange, decode_reply):
            try:
                decode(body)
            except ExchangeError:
                continue

    @given(binary(max_size=80))
    def test_malformed_snapshots_are_refused(self, data: bytes) -> None:
        decompress_snapshot(data).is_ok()


class ExchangeTests(SpreadTestCase):
    """Check single exchanges and reads of the log."""

    def test_verification_of_a_view_never_becomes_more_recent(self) -> None:
        asker, peer = self.get_daemon(0), self.get_daemon(3)
        for way in self.ways.values():
            way.cut = True
        self.fleet.run(20.0)
        clock = self.fleet.clock
        verified_at = clock.read_monotonic()
        peer.holder.mark_verified(verified_at)
        clock.advance(30.0)
        carry = self.fleet.carry

        def carry_slowly(
            sender: Daemon, address: Address, body: bytes, timeout_s: float
        ) -> Result[bytes, ControlFailure]:
            clock.advance(3.0)
            reply = carry(sender, address, body, timeout_s)
            clock.advance(3.0)
            return reply

        with patch.object(self.fleet, "carry", carry_slowly):
            self.assertTrue(asker.follower.exchanger.exchange(peer.member))
        self.assertLessEqual(asker.holder.verified_at, verified_at)
        self.assertGreaterEqual(asker.holder.verified_at, verified_at - 7.0)

    def test_read_verifies_the_view_as_of_its_request(self) -> None:
        daemon = self.get_daemon(0)
        self.ways[daemon.member.instance].answer_delay_s = 1.5
        asked_at = self.fleet.clock.read_monotonic()
        daemon.follower.read_log()
        self.assertEqual(daemon.holder.verified_at, asked_at)

    def test_held_read_verifies_the_view_until_shortly_before_its_response(
        self,
    ) -> None:
        daemon, clock = self.get_daemon(0), self.fleet.clock
        reader, way = daemon.follower._reader, self.ways["10.0.0.0"]
        seen: list[float] = []
        daemon.holder.add_listener(lambda _: seen.append(daemon.holder.verified_at))
        read = way.read
        for base, (held_s, proved_s) in enumerate(
            ((4.0, 3.0), (1.9, None), (14.0, 9.0))
        ):
            before, asked_at = daemon.holder.verified_at, clock.read_monotonic()

            def hold(*args: Any, held_s: float = held_s, base: int = base) -> Any:
                clock.advance(held_s)
                self.append_changes(base + 1, 1)
                return read(*args)

            with patch.object(way, "read", hold):
                reader.catch_up(reader.poll_page(10.0))
            proved = before if proved_s is None else asked_at + proved_s
            self.assertEqual(seen[-1], proved)
        self.assertEqual(len(seen), 4)

    def test_snapshot_of_the_log_is_decoded_once_and_marked(self) -> None:
        follower = self.get_daemon(0).follower
        snapshot = build_snapshot(follower.replica.state)
        self.append(encode_snapshot(snapshot))
        with patch.object(codec, "_load_json", wraps=codec._load_json) as load:
            follower.read_log()
        load.assert_called_once()
        mark = follower.snapshot_writer.read_mark()
        self.assertEqual(mark, SnapshotMark(snapshot.folded_to, 0))

    def test_verification_without_the_records_is_not_adopted(self) -> None:
        asker, peer = self.get_daemon(0), self.get_daemon(3)
        before = asker.holder.verified_at
        self.append_changes(1, 1)
        peer.follower.read_log()

        def lose_records(
            sender: Daemon, address: Address, body: bytes, timeout_s: float
        ) -> Result[bytes, ControlFailure]:
            asked = ControlSender(sender.member.instance)
            reply = decode_reply(peer.follower.handle_control(asked, body))
            bare = ExchangeReply(reply.head, reply.verified_age_ms)
            return Ok(encode_reply(bare))

        with patch.object(self.fleet, "carry", lose_records):
            asker.follower.exchanger.exchange(peer.member)
        self.assertEqual(asker.holder.current.version, 1)
        self.assertEqual(asker.holder.verified_at, before)

    def test_daemon_without_a_configuration_looks_for_peers_more_often(self) -> None:
        known = self.get_daemon(0).follower.exchange_once()
        fresh = next(iter(Fleet(1, 1, FakeLog()).daemons.values()))
        self.assertLess(2 * fresh.follower.exchange_once(), known)

    def test_lower_version_is_never_put_in_force(self) -> None:
        self.append_changes(1, 5)
        self.settle()
        daemon = self.get_daemon(0)
        old = make_text("old", 0, BASE)
        for offset in range(7):
            records = (LogRecord(Offset(offset), old),)
            daemon.follower.replica.apply_records(records, FIRST_ERA)
        self.assertEqual(daemon.holder.current.version, 6)
        self.assertEqual(daemon.versions, sorted(set(daemon.versions)))


class HoldingLog(FakeLog):
    """Log that holds reads until there is a record; `held` counts waiting reads."""

    def __init__(self) -> None:
        super().__init__()
        self.held = 0
        self._appended = threading.Condition()

    def append(
        self, stream: StreamName, data: str, timeout_s: float, key: str = ""
    ) -> Result[Offset, AppendFailure]:
        with self._appended:
            self._appended.notify_all()
            return super().append(stream, data, timeout_s, key)

    def read(
        self,
        stream: StreamName,
        from_offset: Offset,
        limit: int,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Result[LogPage, ReadFailure]:
        with self._appended:
            self.held += 1
            self._appended.wait_for(lambda: self.find_end(stream) > from_offset, wait_s)
            self.held -= 1
        return super().read(stream, from_offset, limit, timeout_s)


class ThreadTests(TestCase):
    """Check a follower that runs its threads, and concurrent readers."""

    def test_readers_see_whole_configurations_while_changes_come_in(self) -> None:
        log = FakeLog()
        fleet = Fleet(1, 1, log)
        daemon = next(iter(fleet.daemons.values()))
        log.append(StreamName.CONFIGURATION, make_text("c1", 0, BASE), 1.0)
        daemon.follower.read_log()
        inconsistent: list[Configuration] = []
        ended = threading.Event()

        def read() -> None:
            last = Version(0)
            while not ended.is_set():
                current = daemon.holder.current
                limit = current.services[BASE.services[0].name].max_concurrency
                if current.version < last or limit not in (64, current.version):
                    inconsistent.append(current)
                last = current.version

        readers = [threading.Thread(target=read) for _ in range(4)]
        for reader in readers:
            reader.start()
        for version in range(2, 200):
            text = make_text(f"c{version}", version - 1, limit_concurrency(version))
            log.append(StreamName.CONFIGURATION, text, 1.0)
            daemon.follower.read_log()
        ended.set()
        for reader in readers:
            reader.join()
        self.assertEqual(daemon.holder.current.version, 199)
        self.assertEqual(inconsistent, [])

    def test_read_that_the_log_holds_brings_the_next_change(self) -> None:
        log = HoldingLog()
        daemon = next(iter(Fleet(1, 1, log).daemons.values()))
        daemon.follower.start()
        for version in range(1, 4):
            wait_until(lambda: log.held == 1, "a read is held")
            text = make_text(f"c{version}", version - 1, BASE)
            log.append(StreamName.CONFIGURATION, text, 1.0)
            expected = list(range(1, version + 1))
            wait_until(partial(has_versions, daemon, expected), f"version {version}")
        wait_until(lambda: log.held == 1, "a read is held")
        daemon.follower.read_log()
        self.assertLessEqual(log.reads, 5)
        daemon.follower.stop()

    def test_started_follower_reads_the_log_and_stops(self) -> None:
        log = FakeLog()
        fleet = Fleet(1, 1, log)
        daemon = next(iter(fleet.daemons.values()))
        before = set(threading.enumerate())  # a held read of another test may end
        daemon.follower.start()
        log.append(StreamName.CONFIGURATION, make_text("c1", 0, BASE), 1.0)
        wait_until(lambda: daemon.holder.current.version == 1, "version 1 is in force")
        daemon.follower.stop()
        wait_until(
            lambda: before.issuperset(threading.enumerate()), "own threads have ended"
        )
