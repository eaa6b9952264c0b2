"""Pass on the answer of a target and notice its end."""

from collections.abc import Iterator
from typing import Protocol

from corianderhold.coordination.call import AnswerTruncatedError
from corianderhold.protocol.peer.messages import Header
from corianderhold.transport.web.errors import TargetError


class GuardedChunks:
    """Pass on the parts of an answer and run the clean-up exactly once."""

    def __init__(self, chunks: Iterator[bytes], end: "EndCallback") -> None:
        self._chunks = chunks
        self._end: EndCallback | None = end

    def __iter__(self) -> "GuardedChunks":
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._chunks)
        except StopIteration:
            self._finish(failed=False)
            raise
        except TargetError as error:
            self._finish(failed=True)
            raise AnswerTruncatedError(error.refusal) from error
        except BaseException:
            self._finish(failed=True)
            raise

    def close(self) -> None:
        """End the answer before its end."""
        if self._end is None:
            return
        close = getattr(self._chunks, "close", do_nothing)
        close()
        self._finish(failed=True)

    def _finish(self, *, failed: bool) -> None:
        end, self._end = self._end, None
        if end is not None:
            end(failed)


class EndCallback(Protocol):
    """Learn that a call has ended."""

    def __call__(self, failed: bool, /) -> None:
        """Release what the call held."""


def find_length(headers: tuple[Header, ...]) -> int | None:
    """Return the Content-Length in bytes, or None."""
    for header in headers:
        if header.name.lower() == "content-length" and header.value.isdigit():
            return int(header.value)
    return None


def do_nothing() -> None:
    """Close an answer that holds nothing."""
