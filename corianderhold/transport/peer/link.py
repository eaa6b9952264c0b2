"""Send and receive frames on one TCP connection between two daemons."""

import contextlib
import select
import socket
import struct
import threading

from corianderhold.protocol.peer.codec import decode_message, encode_message
from corianderhold.protocol.peer.const import FRAME_BYTES_MAX, LENGTH_BYTES
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.messages import ControlRequest, Message, Progress
from corianderhold.traffic import SentBytesCallback
from corianderhold.transport.peer.const import (
    RECEIVE_BYTES,
    TCP_USER_TIMEOUT_MS,
)
from corianderhold.transport.peer.errors import (
    LinkClosedError,
    LinkError,
    LinkSilentError,
)
from corianderhold.transport.peer.purpose import classify_frame

LENGTH_FORMAT = struct.Struct("!I")
MILLISECONDS = 1000


class Link:
    """
    Own one framed connection; one thread receives, any thread may send.

    `on_frame_sent`, if set, is called with the purpose and size of each sent frame.
    """

    def __init__(self, connection: socket.socket) -> None:
        set_socket_options(connection)
        self.on_frame_sent: SentBytesCallback | None = None
        self._last_request: ControlRequest | None = None
        self._socket = connection
        self._buffer = bytearray()
        self._send_lock = threading.Lock()
        self._readable = select.poll()
        self._readable.register(connection, select.POLLIN)
        self._writable = select.poll()
        self._writable.register(connection, select.POLLOUT)

    def send(self, message: Message, timeout_s: float) -> None:
        """
        Send one frame.

        Raise `LinkClosedError` when the connection is broken and `LinkSilentError`
        when the peer accepts no bytes for `timeout_s` seconds.
        """
        body = encode_message(message)
        with self._send_lock:
            self._send_bytes(LENGTH_FORMAT.pack(len(body)) + body, timeout_s)
        self._report_sent(message, LENGTH_BYTES + len(body))

    def try_send(self, message: Message) -> None:
        """Send a small frame if that is possible without waiting, else drop it."""
        if not self._send_lock.acquire(blocking=False):
            return
        try:
            if self._writable.poll(0):
                body = encode_message(message)
                self._send_bytes(LENGTH_FORMAT.pack(len(body)) + body, 0)
                self._report_sent(message, LENGTH_BYTES + len(body))
        except LinkError:
            self.close()
        finally:
            self._send_lock.release()

    def receive(self, timeout_s: float) -> Message:
        """
        Receive one frame; wait at most `timeout_s` seconds for each part of it.

        Raise `LinkSilentError` after the time-out, `LinkClosedError` at the end of the
        connection and `FrameError` on malformed bytes.
        """
        self._receive_until(LENGTH_BYTES, timeout_s)
        (length,) = LENGTH_FORMAT.unpack_from(self._buffer)
        if length > FRAME_BYTES_MAX:
            raise FrameError(f"frame of {length} bytes; accepted: {FRAME_BYTES_MAX}")
        end = LENGTH_BYTES + length
        self._receive_until(end, timeout_s)
        body = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        message = decode_message(body)
        if isinstance(message, ControlRequest):
            self._last_request = message
        return message

    def receive_reply(self, timeout_s: float) -> Message:
        """Receive the next frame other than Progress; raise as `receive` does."""
        while True:
            message = self.receive(timeout_s)
            if not isinstance(message, Progress):
                return message

    def is_idle(self) -> bool:
        """Return whether the connection is open with nothing left to receive."""
        return not self._buffer and not self._readable.poll(0)

    def close(self) -> None:
        """Close the connection and wake a thread that waits on it."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _report_sent(self, message: Message, count: int) -> None:
        """Report a sent frame; a control reply counts for the last control request."""
        if self.on_frame_sent is not None:
            self.on_frame_sent(classify_frame(message, self._last_request), count)

    def _send_bytes(self, data: bytes, timeout_s: float) -> None:
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self._socket.send(unsent) :]
            except BlockingIOError:
                if not self._writable.poll(timeout_s * MILLISECONDS):
                    text = f"peer accepted no bytes for {timeout_s} s"
                    raise LinkSilentError(text) from None
            except OSError as error:
                raise LinkClosedError(str(error)) from error

    def _receive_until(self, count: int, timeout_s: float) -> None:
        """Receive until the buffer holds `count` bytes."""
        while len(self._buffer) < count:
            try:
                if not self._readable.poll(timeout_s * MILLISECONDS):
                    raise LinkSilentError(f"peer sent no bytes for {timeout_s} s")
                data = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise LinkClosedError(str(error)) from error
            if not data:
                raise LinkClosedError("peer closed the connection")
            self._buffer += data


def set_socket_options(connection: socket.socket) -> None:
    """Disable Nagle's algorithm and bound the time without an acknowledgement."""
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
