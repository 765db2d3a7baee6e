"""A loop on a virtual clock, and stream sockets in memory for it.

It owns the clock, the order in which things happen, and every byte between two sockets. It must never read
the machine's clock, open a descriptor or depend on the order of a set: two runs from one seed are the same to
the byte. Time passes only when nothing is left to do at the present one, then it jumps to what is due next.

The sockets have what `ashvale.loop` uses of real ones, so that its connections, listeners and everything
above run as they are. A stream has a delay, a window and an order; it can be cut at any byte, or fall silent.
Times are milliseconds.
"""

from __future__ import annotations

import errno
import itertools
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Optional

from ashvale.loop import Address, Coroutine, Loop, Task, Timer

WINDOW = 65536  # bytes that are under way or unread on one stream
EPOCH_MS = 1.7e12  # the wall clock at the start of every run
LAST_PORT = 40000  # ports that are given out begin above
AGAIN_MS = (1000.0, 2000.0, 4000.0)  # a system asks a silent machine for a connection again after so long
IN, OUT, ERR, HUP = select.EPOLLIN, select.EPOLLOUT, select.EPOLLERR, select.EPOLLHUP
DelayOf = Callable[[Address, Address], float]


class Stalled(RuntimeError):
    """Nothing is due any more, and the run has not come to its end."""


class VirtualSocket:
    """One end of a stream, or a listening socket."""

    def __init__(self, net: Net, number: int) -> None:
        self._net, self._number = net, number
        self.local: Address = ("", 0)
        self.peer: Optional[VirtualSocket] = None
        self.waiting: Optional[deque[VirtualSocket]] = None  # not accepted yet, of a listening socket
        self.connecting = self.closed = self.ended = self.reset = False
        self.error = 0
        self.inbound = bytearray()
        self.sent = 0  # bytes under way to the peer or unread by it
        self.owner: Optional[Process] = None
        self.cut_after: Optional[int] = None  # bytes that may still come in before the stream is reset
        self.cut_sent: Optional[int] = None  # bytes that may still be sent before it is
        self.lost = False  # something that was sent has not arrived

    # What ashvale.loop uses of a socket

    def fileno(self) -> int:
        return self._number

    def setblocking(self, flag: bool) -> None:
        assert not flag

    def setsockopt(self, *_told: int) -> None:
        pass

    def bind(self, address: Address) -> None:
        self.local = address if address[1] else (address[0], self._net.port())
        if self.local in self._net.listening:
            raise OSError(errno.EADDRINUSE, "address in use")

    def listen(self, _backlog: int) -> None:
        self.waiting = deque()
        self._net.listening[self.local] = self

    def getsockname(self) -> Address:
        return self.local

    def connect_ex(self, address: Address) -> int:
        self.local, self.connecting = ("", self._net.port()), True
        self._net.later(self._net.delay(self.local, address), lambda: self._net.arrive(self, address))
        return errno.EINPROGRESS

    def getsockopt(self, _level: int, _name: int, size: int = 0) -> int | bytes:
        """The pending error; of a structure, as the state of a connection is, nothing is known here."""
        return bytes(size) if size else self.error

    def accept(self) -> tuple[VirtualSocket, Address]:
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        found = self.waiting.popleft()
        assert found.peer is not None
        return found, found.peer.local

    def recv_into(self, view: memoryview) -> int:
        if self.inbound:
            count = min(len(view), len(self.inbound))
            view[:count] = self.inbound[:count]
            del self.inbound[:count]
            if self.peer is not None:
                self.peer.sent -= count
                self._net.touch(self.peer)
            return count
        if self.reset:
            raise ConnectionResetError(errno.ECONNRESET, "connection reset")
        if self.ended:
            return 0
        raise BlockingIOError(errno.EAGAIN, "nothing has come")

    def send(self, data: memoryview) -> int:
        if self.closed or self.reset or self.peer is None:
            raise BrokenPipeError(errno.EPIPE, "connection lost")
        count = min(len(data), WINDOW - self.sent)
        if not count:
            raise BlockingIOError(errno.EAGAIN, "no room")
        self.sent += count
        peer, part = self.peer, bytes(data[:count])
        self._net.pass_on(self, lambda: peer.take(part))
        if self.cut_sent is not None:
            self.cut_sent -= count
            if self.cut_sent <= 0:  # the other side has the bytes, and this one hears of the reset with them
                self.end(True)
        return count

    def shutdown(self, how: int) -> None:
        assert how == socket.SHUT_WR
        if self.closed or self.reset or self.peer is None:
            raise OSError(errno.ENOTCONN, "not connected")
        peer = self.peer
        self._net.pass_on(self, lambda: peer.end(False))

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._net.gone(self)
        for waiting in self.waiting or ():
            waiting.close()
        if (peer := self.peer) is not None:
            unread = bool(self.inbound)
            self._net.pass_on(self, lambda: peer.end(unread))

    # What the other side does

    def take(self, part: bytes) -> None:
        if self.closed:  # as a system answers data for a socket that is gone
            if self.peer is not None:
                peer = self.peer
                self._net.pass_on(self, lambda: peer.end(True))
            return
        if self.cut_after is not None:
            part, self.cut_after = part[: self.cut_after], max(0, self.cut_after - len(part))
        self.inbound += part
        if self.cut_after == 0:
            self.cut()
        self._net.touch(self)

    def end(self, reset: bool) -> None:
        if not self.closed:
            self.ended, self.reset = True, self.reset or reset
            self._net.touch(self)

    def cut(self) -> None:
        """Reset the stream for both sides, at once."""
        for side in (self, self.peer):
            if side is not None:
                side.end(True)

    def readiness(self) -> int:
        if self.waiting is not None:
            return IN if self.waiting else 0
        if self.connecting:
            return 0
        if self.error:
            return ERR | HUP | OUT
        mask = IN if self.inbound or self.ended else 0
        if self.reset:
            return mask | ERR | HUP | OUT
        return mask | (OUT if self.peer is not None and self.sent < WINDOW else 0)


class Net:
    """Addresses, delays and what is under way."""

    def __init__(self, loop: VirtualLoop, delay: DelayOf) -> None:
        self._loop, self.delay = loop, delay
        self.listening: dict[Address, VirtualSocket] = {}
        self.silent: set[Address] = set()  # machines that answer nothing, not even a refusal
        self.on_open: Callable[[VirtualSocket], None] = lambda sock: None  # told of each stream that comes up
        self.open: dict[int, VirtualSocket] = {}
        self._ports = itertools.count(LAST_PORT + 1)
        self._numbers = itertools.count(3)
        self._last: dict[int, float] = {}  # when the latest of a stream's parts arrives

    def socket(self) -> VirtualSocket:
        made = VirtualSocket(self, next(self._numbers))
        self.open[made.fileno()] = made
        return made

    def port(self) -> int:
        return next(self._ports)

    def later(self, ms: float, action: Callable[[], None]) -> None:
        self._loop.call_at(self._loop.now() + ms, action)

    def touch(self, sock: VirtualSocket) -> None:
        self._loop.touch(sock.fileno())

    def gone(self, sock: VirtualSocket) -> None:
        self.open.pop(sock.fileno(), None)
        if self.listening.get(sock.local) is sock:
            del self.listening[sock.local]

    def heard(self, address: Address) -> None:
        """A machine that was silent is back: streams on which something was lost are reset."""
        self.silent.discard(address)
        for sock in list(self.open.values()):
            if sock.peer is not None and sock.local == address and (sock.lost or sock.peer.lost):
                sock.cut()

    def arrive(self, sock: VirtualSocket, address: Address, tries: int = 0) -> None:
        """A request to connect reaches a machine."""
        if sock.closed:
            return
        if address in self.silent:
            if tries < len(AGAIN_MS):
                self.later(AGAIN_MS[tries], lambda: self.arrive(sock, address, tries + 1))
            return
        listener = self.listening.get(address)
        if listener is not None and listener.waiting is not None:
            other = self.socket()
            other.local, other.peer, sock.peer = address, sock, other
            other.owner = listener.owner
            listener.waiting.append(other)
            self.touch(listener)
            self.on_open(sock)
        else:
            sock.error = errno.ECONNREFUSED

        def answered() -> None:
            sock.connecting = False
            self.touch(sock)

        self.later(self.delay(address, sock.local), answered)

    def pass_on(self, source: VirtualSocket, action: Callable[[], None]) -> None:
        """Let something reach the other side of a stream, behind all that went before it."""
        peer = source.peer
        assert peer is not None
        if source.local in self.silent or peer.local in self.silent:
            source.lost = True
            return
        earliest = self._last.get(source.fileno(), 0.0)
        at = max(self._loop.now() + self.delay(source.local, peer.local), earliest)
        if source.closed:
            self._last.pop(source.fileno(), None)
        else:
            self._last[source.fileno()] = at
        self._loop.call_at(at, action)


class VirtualLoop(Loop):
    """The loop of `ashvale.loop` on a clock of its own."""

    def __init__(self, delay: DelayOf = lambda source, target: 0.1) -> None:
        super().__init__()
        self._epoll.close()
        self._now = 0.0
        self.net = Net(self, delay)
        self._masks: dict[int, int] = {}
        self._look: dict[int, None] = {}  # sockets that may be ready

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return EPOCH_MS + self._now

    def socket(self, family: int) -> Any:
        assert family in (socket.AF_INET, socket.AF_INET6)
        return self.net.socket()

    def watch(self, fd: int, mask: int, handler: Callable[[int], None]) -> None:
        self._masks[fd], self._handlers[fd] = mask, handler
        self._look[fd] = None

    def unwatch(self, fd: int) -> None:
        self._masks.pop(fd, None)
        self._handlers.pop(fd, None)
        self._look.pop(fd, None)

    def touch(self, fd: int) -> None:
        if fd in self._masks:
            self._look[fd] = None

    def _ready_now(self) -> list[tuple[int, int]]:
        found = []
        for fd in list(self._look):
            sock = self.net.open.get(fd)
            mask = sock.readiness() & (self._masks[fd] | ERR | HUP) if sock is not None else 0
            if mask:
                found.append((fd, mask))
            else:
                del self._look[fd]
        return found

    def turn(self, most_wait: float = 1000.0) -> None:
        """One pass: what is ready at this time, or a jump to the next time at which something is due."""
        ready = self._ready_now()
        if not (ready or self.ready):
            due = self._timers[0][0] if self._timers else self._now + most_wait
            self._now = max(self._now, min(due, self._now + most_wait))
        for fd, mask in ready:
            if fd in self._masks and (handler := self._handlers.get(fd)):
                self._guard(lambda handler=handler, mask=mask: handler(mask))  # type: ignore[misc]
        self._run_due()

    def run_until(self, done: Callable[[], bool], limit: float) -> None:
        """Turn until `done`; `Stalled` when the clock reaches `limit` before."""
        while not done():
            if self._now >= limit:
                raise Stalled(f"not done at {limit:.0f} ms")
            self.turn(max(0.0, limit - self._now))

    def close(self) -> None:
        pass


class Process(VirtualLoop):
    """One process on a shared loop: what it asked for is gone when it is killed, and its sockets close."""

    def __init__(self, shared: VirtualLoop) -> None:
        self._shared, self.net, self.alive = shared, shared.net, True
        self.ready = shared.ready
        self._tasks: dict[Task, None] = {}

    def now(self) -> float:
        return self._shared.now()

    def wall(self) -> float:
        return self._shared.wall()

    def socket(self, family: int) -> Any:
        made = self._shared.socket(family)
        made.owner = self
        return made

    def spawn(self, steps: Coroutine[Any], name: str) -> Task:
        task = super().spawn(steps, name)
        if len(self._tasks) > 64:
            self._tasks = {task: None for task in self._tasks if not task.done}
        self._tasks[task] = None
        return task

    def call_at(self, at: float, action: Callable[[], object]) -> Timer:
        return self._shared.call_at(at, lambda: action() if self.alive else None)

    def watch(self, fd: int, mask: int, handler: Callable[[int], None]) -> None:
        if self.alive:
            self._shared.watch(fd, mask, handler)

    def unwatch(self, fd: int) -> None:
        self._shared.unwatch(fd)

    def turn(self, most_wait: float = 1000.0) -> None:
        self._shared.turn(most_wait)

    def stop(self) -> None:
        self.kill()

    def kill(self) -> None:
        """End it here: nothing of it runs any more, and the system closes its sockets."""
        self.alive = False
        for task in self._tasks:
            task.done = True
        for sock in [s for s in self.net.open.values() if s.owner is self]:
            self._shared.unwatch(sock.fileno())
            sock.close()


__all__ = ["EPOCH_MS", "WINDOW", "Net", "Process", "Stalled", "VirtualLoop", "VirtualSocket"]
