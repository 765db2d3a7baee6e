"""System calls and disk writes that fail for a moment in real processes: start, signals, sockets, journal."""

from __future__ import annotations

import errno
import gc
import os
import signal
import socket
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from ashvale.journal import Entry
from ashvale.lab.stand_ins import LONG_MS, STALL, Endpoint, run
from ashvale.loop import Broken, Connection, Coroutine, Expired, Loop, connect
from ashvale.net.background import run_in_thread
from ashvale.net.operator import Bans
from ashvale.shared_waits import Waits
from tests.faults import Fault, FaultyProgram, tracebacks
from tests.stage import Scene, answer, request, scene
from tests.test_main import Program

AT_START = (
    Fault("epoll_create", errno.EMFILE),
    Fault("epoll_add", errno.ENOMEM),
    Fault("pipe", errno.EMFILE),
    Fault("socket", errno.ENFILE),
    Fault("socket", errno.ENOBUFS),
    Fault("setsockopt", errno.ENOBUFS),
    Fault("bind", errno.EADDRINUSE),
    Fault("bind", errno.EADDRNOTAVAIL),
    Fault("listen", errno.EADDRINUSE),
    Fault("getsockname", errno.ENOBUFS),
    Fault("create", errno.ENOSPC),
    Fault("open", errno.EMFILE),
    Fault("read", errno.EIO),
    Fault("write", errno.ENOSPC),
    Fault("write", errno.EIO, half=True),
    Fault("rename", errno.EIO),
    Fault("unlink", errno.EIO),
    Fault("flock", errno.ENOLCK),
    Fault("stat", errno.ENOMEM),
    Fault("close", errno.EIO),
    Fault("config", errno.ENFILE),
)
AT_RUN = (
    Fault("epoll_add", errno.ENOMEM, 300),
    Fault("epoll_mod", errno.ENOMEM, 300),
    Fault("epoll_del", errno.ENOMEM, 300),
    Fault("epoll_wait", errno.ENOMEM, 300),
    Fault("accept", errno.ENFILE, 300),
    Fault("accept", errno.EPROTO, 300),
    Fault("recv", errno.ENOMEM, 300),
    Fault("recv", errno.EINTR, 300),
    Fault("recv_short", 0, 500),
    Fault("send", errno.ENOBUFS, 300),
    Fault("send", errno.ENOMEM, 300),
    Fault("send_short", 0, 500),
    Fault("setsockopt", errno.ENOBUFS, 300),
    Fault("getsockopt", errno.ENOBUFS, 300),
    Fault("shutdown", errno.ENOBUFS, 300),
    Fault("close_socket", errno.EIO, 300),
    Fault("socket", errno.EMFILE, 300),
    Fault("connect", errno.EAGAIN, 300),
    Fault("write", errno.ENOSPC, 300, half=True),
    Fault("write", errno.EIO, 300),
    Fault("truncate", errno.EIO, 1000),
    Fault("log", errno.ENOSPC, 300),
)
MESSAGES = 60


class StrictEndpoint(Endpoint):
    """An endpoint that notes each connection on which something else than calls came."""

    garbled = 0

    def _serve(self, connection: Connection) -> Coroutine[None]:
        try:
            yield from super()._serve(connection)
        except (Broken, Expired):
            raise
        except Exception:
            self.garbled += 1


def strict_endpoint(s: Scene, *script: bytes | str, block: int = 1) -> StrictEndpoint:
    endpoint = StrictEndpoint(s.loop, *script)
    s.endpoints.append(endpoint)
    s.discovery.list(f"s-{len(s.endpoints)}", endpoint, block)
    return endpoint


def on_one_connection(s: Scene) -> Callable[[bytes], bytes]:
    """Ask on a connection that is open already."""
    assert s.courier.server is not None
    address = s.courier.server.listener.address
    connection = run(s.loop, connect(s.loop, address, s.loop.now() + LONG_MS))

    def ask(data: bytes) -> bytes:
        run(s.loop, connection.send(data, s.loop.now() + LONG_MS))
        return bytes(run(s.loop, connection.receive(s.loop.now() + LONG_MS)))

    return ask


def ended(s: Scene, endpoint: Endpoint) -> set[str]:
    """The messages that were delivered or whose end was told."""
    told = {call.headers.get("request-id", "") for call in endpoint.calls}
    return told | {notice["id"] for notice in s.discovery.notices}


@pytest.mark.parametrize("fault", AT_START, ids=str)
def test_a_start_outlasts_a_call_that_fails_for_a_moment_and_serves_what_was_owed(fault: Fault) -> None:
    """Guards a restart against an end with 2 for an error that is gone a moment later."""
    with scene() as s:
        endpoint = s.endpoint(STALL)
        program = Program(s)
        assert program.ask(request("rate-update", "owed")).startswith(b"HTTP/1.1 202 ")
        program.end(signal.SIGKILL)
        endpoint.calls.clear()
        again = FaultyProgram(s, fault)
        assert again.hits > 0 and again.process.poll() is None, again.log
        assert again.ask(request("rate-update", "new")).startswith(b"HTTP/1.1 202 ")
        s.until(lambda: {"owed", "new"} <= ended(s, endpoint))
        log = again.stop()
        assert again.process.returncode == 0 and not tracebacks(log), log


def test_kills_and_starts_in_series_leave_no_start_without_its_locks_and_address() -> None:
    """Guards a start against what the process before it still held when it was killed."""
    with scene() as s:
        s.endpoint()
        port = 0
        for _ in range(12):
            program = Program(s)
            assert program.process.poll() is None, program.log
            port = port or program.ports["platform"]
            s.environ["LB_LISTEN"] = f"127.0.0.1:{port}"
            program.end(signal.SIGKILL)


@pytest.mark.parametrize("fault", AT_RUN, ids=str)
def test_calls_that_fail_now_and_then_cost_no_answer_no_message_and_no_descriptor(fault: Fault) -> None:
    """Guards a running courier: no request stays without an answer, nothing hangs, nothing is lost."""
    with scene(limits={"max_open": 500}) as s:
        endpoint = strict_endpoint(s)
        program = FaultyProgram(s, fault, failing=False)
        program.ask(request("rate-update", "first"))
        s.until(lambda: "first" in ended(s, endpoint))
        s.rest(400.0)
        most = (
            program.descriptors + s.settings["family_info"]["max_calls"]
        )  # connections kept to the endpoint
        program.fail(True)
        answers = {f"m{n}": program.ask(request("rate-update", f"m{n}")) for n in range(MESSAGES)}
        program.fail(False)
        assert program.process.poll() is None
        assert all(answer.startswith((b"HTTP/1.1 202 ", b"HTTP/1.1 503 ")) for answer in answers.values())
        owed = {id for id, answer in answers.items() if answer.startswith(b"HTTP/1.1 202 ")}
        assert len(owed) > MESSAGES // 4
        s.until(lambda: owed <= ended(s, endpoint))
        s.rest(500.0)
        s.until(lambda: program.descriptors <= most)
        assert program.ask(request("rate-update", "last")).startswith(b"HTTP/1.1 202 ")
        s.until(lambda: "last" in ended(s, endpoint))
        log = program.stop()
        assert program.process.returncode == 0 and not tracebacks(log) and not endpoint.garbled, log
        assert "withdrawn" not in log  # every client read its answer whole


def test_sigterm_ends_a_courier_whose_wake_up_pipe_takes_nothing() -> None:
    """Guards the end of a process against a signal that is lost because the write that tells of it failed."""
    with scene() as s:
        s.endpoint()
        program = FaultyProgram(s, Fault("wake", errno.EIO), failing=False)
        program.fail(True)
        program.process.send_signal(signal.SIGTERM)
        s.until(lambda: program.hits > 0)
        program.fail(False)
        s.until(lambda: program.process.poll() is not None, 3700.0)
        assert program.process.returncode == 0


def test_a_close_that_fails_never_lets_the_journal_write_into_a_connection() -> None:
    """Guards endpoints and clients against journal records: a failed close has freed the descriptor."""
    with scene(limits={"max_open": 500}) as s:
        s.disk_mb = 0.1
        endpoint = strict_endpoint(s)
        program = FaultyProgram(s, Fault("close", errno.EIO), failing=False)
        first = (s.folder / "journal").stat().st_ino
        program.fail(True)
        sent = [f"m{n}" for n in range(300)]
        answers = [program.ask(request("rate-update", id, body=b"x" * 400)) for id in sent]

        def rewritten() -> bool:
            if (s.folder / "journal").stat().st_ino != first and program.hits > 0:
                return True
            sent.append(f"m{len(sent)}")
            answers.append(program.ask(request("rate-update", sent[-1], body=b"x" * 400)))
            return False

        s.until(rewritten)  # where there is no room, some comes back with each delivery that is proven
        program.fail(False)
        assert all(answer.startswith((b"HTTP/1.1 202 ", b"HTTP/1.1 503 ")) for answer in answers)
        assert not endpoint.garbled and {c.headers["request-id"] for c in endpoint.calls} <= set(sent)
        # Deliveries that are still presumed hold room until they are proven.
        s.until(lambda: program.ask(request("rate-update", "last")).startswith(b"HTTP/1.1 202 "))
        assert not tracebacks(program.stop())


def test_a_configuration_that_cannot_be_read_for_a_moment_is_in_force_after_all() -> None:
    """Guards SIGHUP against an error of the system, for which the file was taken to be bad."""
    with scene() as s:
        program = FaultyProgram(s, Fault("config", errno.ENFILE), failing=False)
        program.fail(True)
        program.process.send_signal(signal.SIGHUP)
        s.until(lambda: program.hits > 0)
        program.fail(False)
        program.read_until("configuration read anew")
        assert "configuration not read, trying again" in program.log
        assert "configuration not used" not in program.stop()


def test_a_fault_of_ours_in_a_request_is_answered_and_takes_nothing_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards a request that was read against a connection that ends with no answer."""
    with scene() as s:
        endpoint = s.endpoint()
        s.start()
        hold = s.courier.exchange._hold

        def fails(entry: Entry) -> None:
            hold(entry)
            raise ValueError("odd")

        monkeypatch.setattr(s.courier.exchange, "_hold", fails)
        assert s.hand_in()[1].startswith(b"HTTP/1.1 503 ")
        monkeypatch.setattr(s.courier.exchange, "_hold", hold)
        id, answer = s.hand_in()
        assert answer.startswith(b"HTTP/1.1 202 ")
        s.until(lambda: s.courier.exchange.idle)
        assert [call.headers["request-id"] for call in endpoint.calls] == [id]


def test_an_end_that_the_journal_lacks_is_told_once_it_has_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards a message whose end was told against a restart that finds it untried and sends it again."""
    with scene() as s:
        s.endpoint(*([answer(429, x_come_back_ms="60000")] * 3))
        s.start()
        journal = s.courier.exchange.journal
        disk, real = journal._disk, journal._disk.write_all

        def full(file: int, data: bytes) -> None:
            if b"returned" in data:
                raise OSError(errno.ENOSPC, "No space left on device")
            real(file, data)

        monkeypatch.setattr(disk, "write_all", full)
        id, _ = s.hand_in(timeout="4000m")
        s.until(lambda: journal.behind)
        s.rest(100.0)
        assert not s.discovery.notices
        monkeypatch.setattr(disk, "write_all", real)
        s.until(lambda: [notice["id"] for notice in s.discovery.notices] == [id])
        s.until(lambda: s.courier.exchange.idle)
        s.again()
        assert s.courier.exchange.idle


def test_a_socket_that_this_machine_lacks_says_nothing_of_the_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards a partner that is well against being held to be out because no descriptor was left here."""
    with scene() as s:
        endpoint = s.endpoint()
        s.start()
        s.until(lambda: s.courier.exchange.listed)
        real, failed = s.loop.socket, list[int]()

        def none_left(family: int) -> socket.socket:
            failed.append(family)
            raise OSError(errno.EMFILE, "Too many open files")

        ask, id = on_one_connection(s), "m1"
        with monkeypatch.context() as patch:
            patch.setattr(s.loop, "socket", none_left)
            assert ask(request("rate-update", id)).startswith(b"HTTP/1.1 202 ")
            s.until(lambda: len(failed) > 0)
        assert s.loop.socket == real
        s.until(lambda: len(endpoint.calls) == 1, 1500.0)
        assert not s.discovery.notices


def test_a_file_of_bans_that_cannot_be_looked_at_lifts_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards endpoints that operators took out of service against calls after one stat that failed."""
    told = list[frozenset[str]]()
    bans = Bans(tmp_path, told.append)
    bans.set("s-1", True)
    with monkeypatch.context() as patch:
        patch.setattr(Path, "stat", lambda _path: (_ for _ in ()).throw(OSError(errno.EIO, "no")))
        bans.look()
    bans.look()
    assert told == [frozenset({"s-1"})]


def test_a_wait_that_cannot_be_written_reaches_the_other_process_with_the_next_look(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards a wait that one process of an upgrade was told against a write that failed or was short."""
    loop, heard = Loop(), list[str]()
    ours = Waits(loop, tmp_path, True, True, lambda _route, _until: None)
    Waits(loop, tmp_path, True, True, lambda route, _until: heard.append(route))
    real, calls = os.write, list[int]()

    def failing(file: int, data: bytes) -> int:
        calls.append(len(data))
        if len(calls) % 2:
            return real(file, bytes(data)[:9])
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", failing)
        ours.tell("destination 12", loop.now() + 5000.0)
        ours.tell("destination 7", loop.now() + 5000.0)
    until = loop.now() + 1000.0
    while len(heard) < 2 and loop.now() < until:
        loop.turn(10.0)
    assert heard == ["destination 12", "destination 7"]


@pytest.mark.parametrize("lacking", ["eventfd", "thread"])
def test_work_for_which_no_thread_can_be_had_ends_as_an_error(
    monkeypatch: pytest.MonkeyPatch, lacking: str
) -> None:
    """Guards a reading of the configuration against one that is under way for good."""

    def none(*_: object, **_more: object) -> int:
        raise (OSError if lacking == "eventfd" else RuntimeError)("none left")

    loop, found = Loop(), list[object]()
    where, name = (os, "eventfd") if lacking == "eventfd" else (threading.Thread, "start")
    monkeypatch.setattr(where, name, none)
    run_in_thread(loop, lambda: 1, found.append)
    until = loop.now() + 1000.0
    while not found and loop.now() < until:
        loop.turn(10.0)
    assert isinstance(found[0], OSError) and gc.isenabled()
