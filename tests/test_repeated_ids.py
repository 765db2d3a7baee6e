"""Ids that come again after their client has left, or at the other process of an upgrade: each runs once."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from ashvale import config
from ashvale.courier import Courier
from ashvale.journal import Entry, Journal
from ashvale.journal_records import TAKEN, frame
from ashvale.lab.stand_ins import HERE, answer
from ashvale.loop import Broken, Connection, Coroutine
from tests.stage import Scene, request, scene

ONCE = [{"name": "order", "repeat": "side_effect", "objective_ms": 2000, "give_up_ms": 16000}]


def ask(s: Scene, courier: Courier, data: bytes) -> bytes:
    """What a courier answers to a request on a new connection."""
    assert courier.server is not None
    with socket.create_connection(courier.server.listener.address) as sock:
        sock.sendall(data)
        sock.setblocking(False)
        got = list[bytes]()

        def answered() -> bool:
            try:
                got.append(sock.recv(4096))
            except BlockingIOError:
                return False
            return True

        s.until(answered)
        return got[0]


def two_processes(s: Scene) -> tuple[Courier, Courier]:
    s.environ["LB_OPERATOR"] = f"{HERE}:0"
    old = s.start()
    new = Courier(config.load(s.told), s.loop)
    s.at_end.append(new.halt)
    s.until(lambda: old.exchange.listed and new.exchange.listed)
    return old, new


@pytest.mark.parametrize("newcomer_first", [False, True])
def test_an_id_that_one_process_of_an_upgrade_took_on_is_not_taken_on_by_the_other(
    newcomer_first: bool,
) -> None:
    """Guards against two executions of an id that comes again at the other process (issue 59, picture c)."""
    with scene(categories=ONCE) as s:
        endpoint = s.endpoint()
        old, new = two_processes(s)
        first, second = (new, old) if newcomer_first else (old, new)
        message = request("order", "m1")
        assert ask(s, first, message).startswith(b"HTTP/1.1 202 ")
        assert ask(s, second, message).startswith(b"HTTP/1.1 202 ")
        s.until(lambda: first.exchange.idle)
        assert ask(s, second, message).startswith(b"HTTP/1.1 202 ")
        old.halt()
        s.until(lambda: not new.exchange.journal.waiting)
        assert ask(s, new, message).startswith(b"HTTP/1.1 202 ")
        s.rest(300.0)
        assert [call.headers["request-id"] for call in endpoint.calls] == ["m1"]


def test_an_id_that_one_process_of_an_upgrade_failed_is_failed_by_the_other() -> None:
    with scene(categories=ONCE) as s:
        s.endpoint(answer(500))
        old, new = two_processes(s)
        assert ask(s, old, request("order", "m1")).startswith(b"HTTP/1.1 202 ")
        s.until(lambda: bool(s.discovery.notices) and old.exchange.idle)
        assert ask(s, new, request("order", "m1")).startswith(b"HTTP/1.1 409 ")


def test_an_id_whose_client_left_while_it_ran_is_not_run_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against two executions: the client heard nothing of its first request (issue 59, picture c)."""
    with scene(categories=ONCE) as s:
        endpoint = s.endpoint()
        endpoint.took = lambda: 500.0
        s.start()
        s.until(lambda: s.courier.exchange.listed)
        send, lost = Connection.send, list[bytes]()

        def breaks(self: Connection, data: bytes, until: float) -> Coroutine[None]:
            if not lost and data.startswith(b"HTTP/1.1 202 "):
                lost.append(data)
                while not endpoint.calls:  # the client reads nothing while its message is delivered
                    yield self.changed, s.loop.now() + 5.0
                raise Broken("the client has left")
            yield from send(self, data, until)

        monkeypatch.setattr(Connection, "send", breaks)
        assert s.courier.server is not None
        with socket.create_connection(s.courier.server.listener.address) as sock:
            sock.sendall(request("order", "m1"))
            s.until(lambda: bool(lost and endpoint.calls))
            s.rest(100.0)
        assert s.ask(request("order", "m1")).startswith(b"HTTP/1.1 409 ")
        s.rest(800.0)
        assert len(endpoint.calls) == 1


def test_a_withdrawn_message_whose_connection_comes_up_later_is_not_called_with(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two executions: its id is free again once its client has left (issue 59, picture c)."""
    with scene(categories=ONCE) as s:
        endpoint = s.endpoint()
        s.start()
        exchange = s.courier.exchange
        s.until(lambda: exchange.listed)
        may_write, held = exchange.may_write, list[str]()

        def later(attempt: object) -> bool:
            held.append("asked")
            (entry,) = exchange._owed.values()
            exchange.withdraw(entry)
            return may_write(attempt)  # type: ignore[arg-type]

        monkeypatch.setattr(exchange, "may_write", later)
        assert s.hand_in("order", id="m1")[1].startswith(b"HTTP/1.1 202 ")
        s.until(lambda: bool(held))
        s.rest(100.0)
        assert not endpoint.calls


def test_what_a_client_left_behind_as_it_closed_is_not_taken_on() -> None:
    """Guards endpoints against requests whose client had gone before they were read (issue 59, picture c)."""
    with scene() as s:
        endpoint = s.endpoint()
        server = s.start().server
        assert server is not None
        s.until(lambda: s.courier.exchange.listed)
        with socket.create_connection(server.listener.address) as sock:
            sock.sendall(b"".join(request("rate-update", f"m{number}") for number in range(60)))
        s.until(lambda: bool(server.listener.open))
        s.until(lambda: not server.listener.open)
        s.rest(100.0)
        assert not endpoint.calls and s.courier.exchange.idle


def test_a_record_of_the_other_process_that_is_not_understood_costs_only_itself(tmp_path: Path) -> None:
    """Guards new messages in an upgrade from another version: a record of its journal may be unlike ours."""
    old = Journal(tmp_path, 400_000)
    new = Journal(tmp_path, 400_000)
    with (tmp_path / "journal").open("ab") as file:
        file.write(frame(TAKEN, b"\xff\xff\xff\xff{}") + frame(99, b""))
    old.take(Entry(0, "m1", "platform", "order", "1", "home", "", 9e12, b"x"))
    assert new.state_beside("platform", "m1") == "" and new.state_beside("platform", "m2") is None
    old.close()
    new.close()
