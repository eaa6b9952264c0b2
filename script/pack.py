"""Build a single executable: the launcher with a folder's archive appended."""

import hashlib
import os
import stat
import struct
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LAUNCHER_SOURCE = ROOT / "launcher" / "launcher.c"
COMPILER_OPTIONS = ("-std=gnu11", "-O2", "-s", "-Wall", "-Wextra", "-Werror")
ENTRY = struct.Struct("=IIQ")
TRAILER = struct.Struct("=QQ64s8s")
MAGIC = b"CORIANDR"
PAGE_BYTES = 4096
EXECUTABLE_MODE = 0o755


def compile_launcher(output: Path) -> None:
    """Compile the launcher with gcc; raise CalledProcessError if that fails."""
    command = ["gcc", *COMPILER_OPTIONS, "-o", str(output), str(LAUNCHER_SOURCE)]
    subprocess.run(command, check=True)


def build_archive(folder: Path) -> tuple[bytes, int]:
    """Return a folder's archive and its unpacked size in bytes."""
    archive = bytearray()
    unpacked_bytes = 0
    for path in sorted(folder.rglob("*")):
        mode = path.lstat().st_mode
        content = read_content(path, mode)
        name = os.fsencode(path.relative_to(folder))
        archive += ENTRY.pack(mode, len(name), len(content)) + name + content
        pages = max(1, -(-len(content) // PAGE_BYTES))
        unpacked_bytes += pages * PAGE_BYTES
    return bytes(archive), unpacked_bytes


def read_content(path: Path, mode: int) -> bytes:
    """Return an entry's content: a link's target, a file's bytes, or b""."""
    if stat.S_ISLNK(mode):
        return os.fsencode(path.readlink())
    if stat.S_ISDIR(mode):
        return b""
    return path.read_bytes()


def pack_folder(folder: Path, output: Path) -> int:
    """
    Write the launcher followed by the folder's archive to `output`.

    Return the unpacked size of the folder in bytes.
    """
    archive, unpacked_bytes = build_archive(folder)
    output.parent.mkdir(parents=True, exist_ok=True)
    partial = output.with_name(f".{output.name}.partial")
    compile_launcher(partial)
    offset = partial.stat().st_size
    digest = hashlib.sha256(archive).hexdigest().encode()
    with partial.open("ab") as file:
        file.write(archive)
        file.write(TRAILER.pack(offset, unpacked_bytes, digest, MAGIC))
    partial.chmod(EXECUTABLE_MODE)
    partial.replace(output)
    return unpacked_bytes


def main(arguments: list[str]) -> int:
    """Pack FOLDER into OUTPUT and print both sizes in bytes."""
    folder, output = map(Path, arguments)
    unpacked_bytes = pack_folder(folder, output)
    size = output.stat().st_size
    print(f"packed={output} bytes={size} unpacked_bytes={unpacked_bytes}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
