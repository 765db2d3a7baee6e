"""The loop and its ring buffers: timers, tasks and real sockets."""

from __future__ import annotations

import errno
import random
import socket

import pytest

from ashvale.lab.stand_ins import HERE, run
from ashvale.loop import (
    AGAIN_MS,
    Broken,
    Connection,
    Coroutine,
    Expired,
    Listener,
    Loop,
    Ring,
    Signal,
    connect,
    lasting,
    sleep,
)


def test_a_ring_is_a_queue_whatever_wraps_and_grows() -> None:
    draw, ring, model = random.Random(5), Ring(10_000), bytearray()
    for _ in range(4000):
        if draw.random() < 0.55:
            data = draw.randbytes(draw.randrange(900))
            done = ring.append(data)
            assert done == min(len(data), 10_000 - len(model))
            model += data[:done]
        else:
            most = draw.randrange(900)
            assert ring.take(most) == bytes(model[:most])
            del model[:most]
        start = draw.randrange(50)
        assert len(ring) == len(model) and ring.find(10, start) == model.find(10, start)
    assert ring.take() == bytes(model) and ring.free == 10_000


def test_timers_fire_in_order_and_not_when_cancelled() -> None:
    loop, fired = Loop(), list[int]()
    now = loop.now()
    for number, after in ((3, 30.0), (1, 10.0), (2, 20.0)):
        loop.call_at(now + after, lambda number=number: fired.append(number))
    loop.call_at(now + 15.0, lambda: fired.append(9)).cancel()
    run(loop, sleep(loop, 50.0))
    assert fired == [1, 2, 3]


def test_a_failing_task_or_handler_ends_alone() -> None:
    loop = Loop()

    def bad() -> Coroutine[None]:
        yield from sleep(loop, 1.0)
        raise ValueError("odd")

    loop.spawn(bad(), "bad")
    loop.call_at(loop.now(), lambda: 1 / 0)
    run(loop, sleep(loop, 20.0))


def test_a_cancelled_task_runs_its_finally_and_nothing_else() -> None:
    loop, seen = Loop(), list[str]()

    def steps() -> Coroutine[None]:
        try:
            yield Signal(), float("inf")
            seen.append("went on")
        finally:
            seen.append("cleaned up")

    task = loop.spawn(steps(), "steps")
    loop.turn(0.0)
    task.cancel()
    run(loop, sleep(loop, 5.0))
    assert seen == ["cleaned up"] and task.done


def pair(loop: Loop) -> tuple[Connection, socket.socket]:
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    return Connection(loop, ours), theirs


def test_more_than_a_ring_passes_in_both_directions() -> None:
    loop = Loop()
    data = random.Random(1).randbytes(700_000)

    def echo(connection: Connection) -> Coroutine[None]:
        while part := (yield from connection.receive(loop.now() + 5000.0)):
            yield from connection.send(part, loop.now() + 5000.0)

    def talk() -> Coroutine[bytes]:
        connection = yield from connect(loop, listener.address, loop.now() + 5000.0)
        got = bytearray()
        for at in range(0, len(data), 100_000):
            yield from connection.send(data[at : at + 100_000], loop.now() + 5000.0)
            while len(got) < at + 100_000:
                got += yield from connection.receive(loop.now() + 5000.0)
        connection.close()
        return bytes(got)

    listener = Listener(loop, (HERE, 0), echo, 5, "echo")
    assert run(loop, talk()) == data
    listener.close()


@pytest.mark.parametrize(
    ("sent", "most", "lines"),
    [
        (b"one\r\ntwo\r\n", 100, [b"one\r\n", b"two\r\n"]),
        (b"x" * 30 + b"\n", 20, [b"x" * 20, b"x" * 10 + b"\n"]),
        (b"\n\n", 5, [b"\n", b"\n"]),
    ],
)
def test_lines(sent: bytes, most: int, lines: list[bytes]) -> None:
    loop = Loop()
    connection, other = pair(loop)
    other.sendall(sent)
    assert [run(loop, connection.line(most, loop.now() + 1000.0)) for _ in lines] == lines


def test_silence_and_endings_are_told_apart() -> None:
    loop = Loop()
    connection, other = pair(loop)
    with pytest.raises(Expired):
        run(loop, connection.receive(loop.now() + 20.0))
    other.close()
    assert run(loop, connection.receive(loop.now() + 1000.0)) == b"" and connection.stale
    with pytest.raises(Broken):
        run(loop, connection.line(10, loop.now() + 20.0))
    listener = socket.socket()
    listener.bind((HERE, 0))
    with pytest.raises(Broken):
        run(loop, connect(loop, listener.getsockname(), loop.now() + 1000.0))


def test_a_send_ends_only_with_its_last_byte() -> None:
    """Guards the rule on what may have run: a call that is stuck half-way has not been sent."""
    loop = Loop()
    connection, other = pair(loop)
    with pytest.raises(Expired):
        run(loop, connection.send(b"x" * 5_000_000, loop.now() + 50.0))
    other.close()
    with pytest.raises(Broken):
        run(loop, connection.send(b"x", loop.now() + 50.0))


def test_a_send_longer_than_the_ring_goes_on_when_the_socket_takes_it_whole() -> None:
    loop = Loop()
    connection, other = pair(loop)
    other.setblocking(False)
    reader = Connection(loop, other)

    def read() -> Coroutine[None]:
        while (yield from reader.receive(float("inf"))):
            pass

    loop.spawn(read(), "reader")
    run(loop, connection.send(b"x" * 300_000, loop.now() + 2000.0))


def test_a_connection_on_which_something_has_come_makes_no_room() -> None:
    """Guards a request that waits unread in the system: its client would be left without an answer."""
    loop = Loop()
    connection, other = pair(loop)
    assert connection.quiet()
    other.sendall(b"x")
    assert not connection.quiet() and run(loop, connection.receive(0.0)) == b"x"


def test_what_must_last_begins_again_after_a_fault() -> None:
    """Guards notices and the watch on discovery: one odd answer would end them for good."""
    loop, begun = Loop(), list[int]()

    def steps() -> Coroutine[None]:
        begun.append(1)
        yield from sleep(loop, 1.0)
        raise ValueError("odd")

    task = loop.spawn(lasting(loop, steps, "odd"), "odd")
    run(loop, sleep(loop, 3 * AGAIN_MS))
    assert len(begun) >= 2 and not task.done
    task.cancel()


def test_no_descriptor_left_is_a_connection_that_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    def none_left(*_: object) -> None:
        raise OSError(errno.EMFILE, "too many open files")

    loop = Loop()
    monkeypatch.setattr(socket, "socket", none_left)
    with pytest.raises(Broken):
        run(loop, connect(loop, (HERE, 1), loop.now() + 100.0))


def test_cancelled_timers_are_not_kept() -> None:
    """Guards memory: most waits end long before their time is up."""
    loop, fired = Loop(), list[int]()
    loop.call_at(loop.now() + 5.0, lambda: fired.append(1))
    for _ in range(5000):
        loop.call_at(loop.now() + 60_000.0, lambda: fired.append(2)).cancel()
    assert len(loop._timers) < 600
    run(loop, sleep(loop, 20.0))
    assert fired == [1]


def test_a_listener_holds_back_what_is_too_much() -> None:
    loop, seen = Loop(), list[Connection]()

    def serve(connection: Connection) -> Coroutine[None]:
        seen.append(connection)
        yield from connection.receive(float("inf"))

    listener = Listener(loop, (HERE, 0), serve, 2, "few")
    clients = [socket.create_connection(listener.address) for _ in range(4)]
    run(loop, sleep(loop, 30.0))
    assert len(seen) == 2
    clients[0].close()
    run(loop, sleep(loop, 30.0))
    assert len(seen) == 3
    listener.close()


def test_one_connection_that_sends_many_lines_has_few_read_in_a_turn_of_the_loop() -> None:
    """Guards other connections: a mail client's pipelined commands, or short lines of text, held the loop."""
    loop, read = Loop(), list[bytes]()
    one, other = pair(loop)

    def reads() -> Coroutine[None]:
        while True:
            read.append((yield from one.line(100, loop.now() + 5000.0)))

    loop.spawn(reads(), "reads")
    other.sendall(b"NOOP\r\n" * 1000)
    while len(read) < 1000:
        before = len(read)
        loop.turn(1000.0)
        assert len(read) <= before + 32
    one.close()
    other.close()
