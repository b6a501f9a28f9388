"""Messaging between daemons over nng push and pull sockets."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from datetime import timedelta
from typing import TYPE_CHECKING

import pynng
from pynng._nng import lib as nng
from result import Err

from quetzalcourse.log import get_log
from quetzalcourse.protocol.peers import EnvelopeCodec
from quetzalcourse.transport.peer_socket import PeerSocket

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member, Topic

THREAD_LIMITS = (
    ('NNG_INIT_NUM_TASK_THREADS', 2),
    ('NNG_INIT_MAX_TASK_THREADS', 2),
    ('NNG_INIT_NUM_EXPIRE_THREADS', 1),
    ('NNG_INIT_MAX_EXPIRE_THREADS', 1),
    ('NNG_INIT_NUM_POLLER_THREADS', 1),
    ('NNG_INIT_MAX_POLLER_THREADS', 1),
    ('NNG_INIT_NUM_RESOLVER_THREADS', 1),
)
RECEIVE_BUFFER_MESSAGES = 512
MAX_MESSAGE_BYTES = 4_000_000
MESSAGES_PER_WAKE = 64
SOCKET_IDLE_TIMEOUT = timedelta(seconds=60)
log = get_log('peers')


def limit_threads() -> None:
    """Limit nng's threads; must run before the first socket is opened.

    By default nng starts over 30 threads on 12 cores, which costs every
    daemon memory and context switches.
    """
    for name, count in THREAD_LIMITS:
        nng.nng_init_set_parameter(getattr(nng, name), count)


class PeerLink:
    """Sends messages to and receives messages from other daemons.

    One listening socket receives from all peers. A push socket is opened
    with the first message to an address, closed when idle, and replaced with
    the next message after its connection was lost.

    :param listen: IP address and port; port 0 lets the system choose.
    :param secrets: shared secrets; the first one signs, all are accepted.
    """

    def __init__(
        self,
        listen: str,
        secrets: Sequence[bytes],
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Open the listening socket, which determines the address."""
        limit_threads()
        self._clock = clock
        self._counters = counters
        self._codec = EnvelopeCodec(secrets)
        self._listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._listener.listen(f'tcp://{listen}')
        self.address = str(self._listener.listeners[0].local_address)
        self._own: Member | None = None
        self._sockets: dict[str, PeerSocket] = {}
        self._handlers: dict[Topic, Callable[[Member, bytes], None]] = {}
        self._logged_drop_reasons: set[str] = set()
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self, own: Member) -> None:
        """Start to receive on the running event loop.

        :param own: this daemon, named as the sender of its messages.
        """
        self._own = own
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._listener.recv_fd, self._on_readable)

    def stop(self) -> None:
        """Close every socket."""
        if self._loop is not None:
            self._loop.remove_reader(self._listener.recv_fd)
        for peer_socket in self._sockets.values():
            peer_socket.close()
        self._sockets.clear()
        self._listener.close()

    def update_own_member(self, own: Member) -> None:
        """Replace the member named as the sender."""
        self._own = own

    def send(self, receiver: Member, topic: Topic, content: bytes) -> None:
        """Send a message without blocking; it may be lost."""
        if self._own is None or receiver.address == self.address:
            return
        message_bytes = self._codec.encode(
            self._own, receiver.address, topic, content
        )
        if not self._get_socket(receiver.address).send(message_bytes):
            self._counters.add('peer_messages_lost', topic=topic.value)
            return
        self._counters.add('peer_messages_sent', topic=topic.value)
        self._counters.add(
            'peer_bytes_sent', len(message_bytes), topic=topic.value
        )

    def subscribe(
        self,
        topic: Topic,
        receive: Callable[[Member, bytes], None],
    ) -> None:
        """Register the handler of a topic."""
        self._handlers[topic] = receive

    def close_idle_sockets(self) -> None:
        """Close the push sockets that have been idle for too long."""
        oldest = self._clock.elapsed() - SOCKET_IDLE_TIMEOUT
        idle = [
            address
            for address, peer_socket in self._sockets.items()
            if peer_socket.last_used < oldest
        ]
        for address in idle:
            self._sockets.pop(address).close()
        self._counters.set('peer_sockets', len(self._sockets))

    def _get_socket(self, address: str) -> PeerSocket:
        now = self._clock.elapsed()
        peer_socket = self._sockets.get(address)
        if peer_socket is not None and peer_socket.lost:
            self._counters.add('peer_connections_lost')
            peer_socket.close()
            peer_socket = None
        if peer_socket is None:
            peer_socket = PeerSocket(address, now)
            self._sockets[address] = peer_socket
        peer_socket.last_used = now
        return peer_socket

    def _on_readable(self) -> None:
        # The descriptor stays readable while messages are queued, so a bounded
        # batch lets the event loop serve callers between two batches.
        with suppress(pynng.TryAgain):
            for _ in range(MESSAGES_PER_WAKE):
                self._receive(self._receive_next())

    def _receive_next(self) -> bytes:
        try:
            return self._listener.recv(block=False)
        except RuntimeError:
            # pynng raises this on an empty message, after consuming it.
            # Propagated, the error would end the reading of this batch.
            return b''

    def _receive(self, message_bytes: bytes) -> None:
        opened = self._codec.decode(message_bytes, self.address)
        if isinstance(opened, Err):
            self._drop(opened.err_value)
            return
        envelope = opened.ok_value
        topic = envelope.topic
        self._counters.add('peer_messages_received', topic=topic.value)
        self._counters.add(
            'peer_bytes_received', len(message_bytes), topic=topic.value
        )
        handler = self._handlers.get(topic)
        if handler is None:
            return
        try:
            handler(envelope.read_sender(), envelope.content)
        except Exception as error:
            # An error in one handler must not stop the reading of all other
            # messages, which would look like a network partition.
            self._drop(f'{topic.value}: {type(error).__name__}')

    def _drop(self, reason: str) -> None:
        self._counters.add('peer_messages_dropped', reason=reason)
        if reason not in self._logged_drop_reasons:
            self._logged_drop_reasons.add(reason)
            log.warning('Peer message dropped.', reason=reason, step='receive')
