"""System calls and disk writes that fail for a moment in real processes: start, signals, sockets, journal."""

from __future__ import annotations

import errno
import signal

import pytest

from ashvale.lab.stand_ins import STALL, Endpoint
from ashvale.loop import Broken, Connection, Coroutine, Expired
from tests.faults import Fault, FaultyProgram, tracebacks
from tests.stage import Scene, request, scene
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
        program.fail(True)
        sent = [f"m{n}" for n in range(300)]
        answers = [program.ask(request("rate-update", id, body=b"x" * 400)) for id in sent]
        assert program.hits > 0, "the journal was never rewritten"
        program.fail(False)
        assert all(answer.startswith((b"HTTP/1.1 202 ", b"HTTP/1.1 503 ")) for answer in answers)
        assert not endpoint.garbled and {c.headers["request-id"] for c in endpoint.calls} <= set(sent)
        assert program.ask(request("rate-update", "last")).startswith(b"HTTP/1.1 202 ")
        assert not tracebacks(program.stop())
