"""
Test how the launcher of the single-file build unpacks and starts its payload.

The tests guard against unpacking twice or partly when starts race or are killed,
running from a directory that others can change, and starting an incomplete file.
"""

import os
import resource
import signal
import subprocess
from collections.abc import Mapping
from fcntl import LOCK_EX, flock
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from script.pack import TRAILER, compile_launcher, pack_folder
from tests.common.waiting import wait_until

DIRECTORY_VARIABLE = "CORIANDERHOLD_UNPACK_DIR"
PAYLOAD = """#!/bin/sh
echo "pid=$$ arguments=$* variable=$TEST_VARIABLE linked=$(cat "${0%/*}/link")"
"""
FILE_LIMIT_BYTES = 1 << 20
EXIT_UNUSABLE = 126
EXIT_PAYLOAD = 7
FOREIGN_USER_ID = 65534
LIMIT_S = 60.0


class LauncherCase(TestCase):
    """Pack a shell script as payload and provide a directory to unpack to."""

    def setUp(self) -> None:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.base = self.directory / "base"
        self.base.mkdir(mode=0o700)
        self.folder = self.directory / "folder"
        (self.folder / "data").mkdir(parents=True)
        (self.folder / "data" / "content").write_text("content")
        (self.folder / "link").symlink_to("data/content")
        self.binary = self.directory / "binary"
        self.pack(PAYLOAD)

    def pack(self, payload: str) -> None:
        program = self.folder / "corianderhold"
        program.write_text(payload)
        program.chmod(0o755)
        pack_folder(self.folder, self.binary)

    def start(
        self,
        *arguments: str,
        variables: Mapping[str, str] | None = None,
        file_limit_bytes: int | None = None,
    ) -> subprocess.Popen[str]:
        """Start the binary; SIGXFSZ kills it when a file exceeds the limit."""

        def limit_files() -> None:
            if file_limit_bytes is not None:
                limits = (file_limit_bytes, file_limit_bytes)
                resource.setrlimit(resource.RLIMIT_FSIZE, limits)

        return subprocess.Popen(
            [str(self.binary), *arguments],
            preexec_fn=limit_files,
            env={**os.environ, DIRECTORY_VARIABLE: str(self.base), **(variables or {})},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def check_ends(self, *processes: subprocess.Popen[str]) -> str:
        """Check that all processes succeed and return the output of the last."""
        for process in processes:
            output, errors = process.communicate(timeout=LIMIT_S)
            self.assertEqual((process.returncode, errors), (0, ""))
        return output

    def check_starts(self) -> None:
        self.assertIn("linked=content", self.check_ends(self.start()))

    def check_refuses(self, reason: str, base: str | None = None) -> None:
        variables = {} if base is None else {DIRECTORY_VARIABLE: base}
        process = self.start(variables=variables)
        output, errors = process.communicate(timeout=LIMIT_S)
        self.assertEqual((process.returncode, output), (EXIT_UNUSABLE, ""), errors)
        self.assertIn(reason, errors)
        self.assertEqual(errors.count("\n"), 1)

    def list_unpacked(self) -> list[Path]:
        return list(self.base.glob("corianderhold-*"))

    def list_temporary(self) -> list[Path]:
        return [path for path in self.base.glob(".corianderhold-*") if path.is_dir()]


class StartTests(LauncherCase):
    """Start the payload, alone and concurrently."""

    def test_same_process_arguments_and_environment(self) -> None:
        process = self.start("one", "two", variables={"TEST_VARIABLE": "three"})
        expected = f"pid={process.pid} arguments=one two variable=three linked=content"
        self.assertEqual(self.check_ends(process).strip(), expected)

    def test_exit_code_of_payload(self) -> None:
        self.pack(f"#!/bin/sh\nexit {EXIT_PAYLOAD}\n")
        self.assertEqual(self.start().wait(LIMIT_S), EXIT_PAYLOAD)

    def test_unpacked_once_and_reused(self) -> None:
        self.check_starts()
        (unpacked,) = self.list_unpacked()
        self.assertEqual(unpacked.stat().st_mode & 0o7777, 0o700)
        marker = unpacked / "marker"
        marker.touch()
        self.check_starts()
        self.assertTrue(marker.exists())

    def test_other_content_is_unpacked_beside(self) -> None:
        self.check_starts()
        self.pack(PAYLOAD + "# changed\n")
        self.check_starts()
        self.assertEqual(len(self.list_unpacked()), 2)

    def test_two_starts_at_once(self) -> None:
        self.check_ends(*[self.start() for _ in range(8)])
        self.assertEqual(len(self.list_unpacked()), 1)
        self.assertEqual(self.list_temporary(), [])


class InterruptionTests(LauncherCase):
    """Kill a start while it writes a file, or hold the lock that it needs."""

    def kill_while_unpacking(self) -> None:
        with (self.folder / "data" / "large").open("wb") as file:
            file.truncate(FILE_LIMIT_BYTES + 1)
        pack_folder(self.folder, self.binary)
        process = self.start(file_limit_bytes=FILE_LIMIT_BYTES)
        process.communicate(timeout=LIMIT_S)
        self.assertEqual(process.returncode, -signal.SIGXFSZ)

    def is_at_lock(self, process: subprocess.Popen[str], lock: Path) -> bool:
        self.assertIsNone(process.poll(), "the launcher did not wait for the lock")
        descriptors = Path(f"/proc/{process.pid}/fd").iterdir()
        return any(each.resolve() == lock for each in descriptors)

    def test_leftovers_of_a_killed_start_are_removed(self) -> None:
        self.kill_while_unpacking()
        self.assertEqual(len(self.list_temporary()), 1)
        self.assertEqual(self.list_unpacked(), [])
        self.check_starts()
        self.assertEqual(self.list_temporary(), [])
        self.assertEqual(len(self.list_unpacked()), 1)

    def test_starts_take_turns(self) -> None:
        lock = self.base.resolve() / f".corianderhold-{os.geteuid()}.lock"
        with lock.open("w") as file:
            flock(file, LOCK_EX)
            processes = [self.start(), self.start()]
            for process in processes:
                wait_until(
                    partial(self.is_at_lock, process, lock),
                    "the launcher waits for the lock",
                )
            self.assertEqual(self.list_unpacked(), [])
        self.check_ends(*processes)
        self.assertEqual(len(self.list_unpacked()), 1)


class RefusalTests(LauncherCase):
    """Set up directories and files that the launcher must not trust or can't use."""

    def replace_unpacked(self) -> Path:
        self.check_starts()
        (unpacked,) = self.list_unpacked()
        return unpacked

    def test_directory_that_others_may_write_to_or_read(self) -> None:
        unpacked = self.replace_unpacked()
        for mode in (0o770, 0o755):
            unpacked.chmod(mode)
            self.check_refuses("mode 0700")

    def test_link_in_place_of_directory(self) -> None:
        unpacked = self.replace_unpacked()
        moved = unpacked.rename(self.directory / "moved")
        unpacked.symlink_to(moved)
        self.check_refuses("not a directory of this user")

    def test_directory_of_another_user(self) -> None:
        if os.geteuid() != 0:
            self.skipTest("only root can give a directory away")
        os.chown(self.replace_unpacked(), FOREIGN_USER_ID, FOREIGN_USER_ID)
        self.check_refuses("not a directory of this user")

    def test_base_that_all_may_write_to_must_be_sticky(self) -> None:
        self.base.chmod(0o777)
        self.check_refuses("not sticky")
        self.base.chmod(0o1777)
        self.check_starts()

    def test_base_that_is_missing_relative_or_not_writable(self) -> None:
        self.check_refuses("No such file", str(self.directory / "missing"))
        self.check_refuses("absolute path", "base")
        self.check_refuses("cannot unpack to /proc", "/proc")

    def test_too_little_room(self) -> None:
        with self.binary.open("r+b") as file:
            file.seek(-TRAILER.size, os.SEEK_END)
            offset, _, digest, magic = TRAILER.unpack(file.read())
            file.seek(-TRAILER.size, os.SEEK_END)
            file.write(TRAILER.pack(offset, 1 << 60, digest, magic))
        self.check_refuses("not enough room")

    def test_truncated_file_and_file_without_archive(self) -> None:
        os.truncate(self.binary, self.binary.stat().st_size - 1)
        self.check_refuses("incomplete")
        compile_launcher(self.binary)
        self.check_refuses("incomplete")
