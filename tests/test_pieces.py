"""Requests that come in pieces, in every form that the protocol allows, whatever the courier is doing."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from ashvale.lab.stand_ins import HERE, Endpoint
from tests.stage import Scene, reload, request, scene

BODY = b'{"a": 1}\r\n\r\nPOST /rate-update HTTP/1.1\r\n\r\n'
NAMED = {
    "Host": "origin.svc",
    "Request-Id": "{id}",
    "Tenant": "home",
    "Request-Timeout": "9000m",
    "X-Consignee": "dest=1",
}


def written(lines: dict[str, str], target: str, end: bytes = b"\r\n") -> bytes:
    head = f"POST {target} HTTP/1.1".encode() + end
    return head + b"".join(f"{name}: {value}".encode() + end for name, value in lines.items()) + end


def plain(id: str) -> bytes:
    return request("rate-update", id, body=BODY)


def bare_line_ends(id: str) -> bytes:
    return plain(id).replace(b"\r\n", b"\n", plain(id).count(b"\r\n") - BODY.count(b"\r\n"))


def other_case(id: str) -> bytes:
    lines = {name.upper(): value.format(id=id) for name, value in NAMED.items()}
    return written(lines | {"cONTENT-lENGTH": str(len(BODY))}, "/rate-update") + BODY


def spaced(id: str) -> bytes:
    lines = {name: f" \t {value.format(id=id)} \t" for name, value in NAMED.items()}
    return written(lines | {"Content-Length": str(len(BODY))}, "/rate-update") + BODY


def with_query(id: str) -> bytes:
    lines = {name: value.format(id=id) for name, value in NAMED.items()}
    return written(lines | {"Content-Length": str(len(BODY))}, "/rate-update?a=b&c=/d") + BODY


def no_body(id: str) -> bytes:
    return request("rate-update", id, body=b"")


def chunked(id: str) -> bytes:
    lines = {name: value.format(id=id) for name, value in NAMED.items()}
    body = b"".join(b"%x;ext=1\r\n%b\r\n" % (1, BODY[at : at + 1]) for at in range(len(BODY)))
    head = written(lines | {"Transfer-Encoding": "chunked"}, "/rate-update")
    return head + body + b"0\r\nTrailer: x\r\n\r\n"


def expecting(id: str) -> bytes:
    return request("rate-update", id, body=BODY, Expect="100-continue")


FORMS: dict[str, Callable[[str], bytes]] = {
    form.__name__: form
    for form in (plain, bare_line_ends, other_case, spaced, with_query, no_body, chunked, expecting)
}


class Client:
    """A connection on which every byte is sent alone."""

    def __init__(self, s: Scene) -> None:
        self.s = s
        assert s.courier.server is not None
        self.sock = socket.create_connection((HERE, s.courier.server.listener.address[1]))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.heard = b""

    def send(self, data: bytes) -> None:
        for at in range(len(data)):
            self.sock.send(data[at : at + 1])
            self.s.loop.turn(0.0)

    def answers(self, count: int) -> list[bytes]:
        """The statuses of so many answers, announcements left out."""

        def heard() -> bool:
            try:
                self.heard += self.sock.recv(4096)
            except BlockingIOError:
                pass
            return len(self._statuses()) >= count

        self.s.until(heard)
        return self._statuses()

    def _statuses(self) -> list[bytes]:
        lines = [line for line in self.heard.split(b"\r\n") if line.startswith(b"HTTP/1.1 ")]
        return [line[9:12] for line in lines if line[9:10] != b"1"]


def called(endpoint: Endpoint) -> set[str]:
    return {call.headers["request-id"] for call in endpoint.calls}


def in_service(s: Scene) -> None:
    """Nothing happens."""


def leaves(s: Scene) -> None:
    s.courier.leave()


def reloads(s: Scene) -> None:
    reload(s.courier, s.told)


def drains(s: Scene) -> None:
    assert s.courier.server is not None
    s.courier.server.drain(True)


def reloads_and_drains(s: Scene) -> None:
    reloads(s)
    drains(s)


def reloads_and_leaves(s: Scene) -> None:
    reloads(s)
    leaves(s)


MOMENTS = (in_service, leaves, reloads, drains, reloads_and_drains, reloads_and_leaves)


@pytest.mark.parametrize("moment", MOMENTS, ids=lambda moment: moment.__name__)
@pytest.mark.parametrize("form", FORMS)
def test_a_request_whose_bytes_come_alone_has_its_answer(form: str, moment: Callable[[Scene], None]) -> None:
    """What happens comes after the first byte, the first line, half of it, or before the last byte."""
    with scene() as s:
        endpoint = s.endpoint()
        s.start()
        data = FORMS[form]("m1")
        behind_head = data.index(b"\n") + 1
        for number, cut in enumerate(sorted({1, behind_head, len(data) // 2, len(data) - 1})):
            if number:
                s.courier.halt()
                s.start()
            client = Client(s)
            whole = FORMS[form](f"m{number}")
            client.send(whole[:cut])
            moment(s)
            client.send(whole[cut:])
            assert client.answers(1) == [b"202"], cut
            client.sock.close()
            s.until(lambda id=f"m{number}": id in called(endpoint))  # type: ignore[misc]
        assert {call.body for call in endpoint.calls} == {b"" if form == "no_body" else BODY}


@pytest.mark.parametrize("moment", MOMENTS, ids=lambda moment: moment.__name__)
def test_requests_that_came_one_behind_another_all_have_their_answers(
    moment: Callable[[Scene], None],
) -> None:
    """Eight of them in all forms, written at once; what happens comes before the first is read."""
    with scene() as s:
        endpoint = s.endpoint()
        s.start()
        client = Client(s)
        wire = [form(f"m{number}") for number, form in enumerate(FORMS.values())]
        client.sock.send(b"".join(part.replace(b"Expect: 100-continue\r\n", b"") for part in wire))
        moment(s)
        assert client.answers(len(wire)) == [b"202"] * len(wire)
        s.until(lambda: len(called(endpoint)) == len(wire))
        client.sock.close()


@pytest.mark.parametrize("moment", MOMENTS, ids=lambda moment: moment.__name__)
@pytest.mark.parametrize("begun", (1, 40))
def test_a_request_that_has_begun_behind_another_has_its_answer_too(
    moment: Callable[[Scene], None], begun: int
) -> None:
    """Each byte comes alone; where answers end their connection the first one's must not."""
    with scene() as s:
        endpoint = s.endpoint()
        s.start()
        client = Client(s)
        first, second = plain("m1"), chunked("m2")
        client.sock.send(first + second[:begun])
        moment(s)
        client.send(second[begun:])
        assert client.answers(2) == [b"202"] * 2
        s.until(lambda: called(endpoint) == {"m1", "m2"})
        client.sock.close()


def test_a_reload_followed_by_a_drain_at_once_moves_nothing_to_what_drains() -> None:
    """The new agent says that an endpoint drains, while the courier has just been told where it is."""
    with scene() as s:
        old, kept = s.endpoint(), s.endpoint()
        s.start()
        s.until(lambda: len(s.discovery.asked) >= 1)
        s.discovery.hosts["s-1"]["health"] = "DRAINING"
        s.discovery.seq += 1
        reload(s.courier, s.told)
        s.discovery.changed.fire()
        s.until(lambda: not s.courier.exchange.endpoints["s-1"].ready)
        calls = len(old.calls)
        for _ in range(12):
            assert s.hand_in()[1].startswith(b"HTTP/1.1 202 ")
        s.until(lambda: len(kept.calls) >= 12)
        assert len(old.calls) == calls


def test_a_whole_list_where_a_change_was_expected_takes_out_what_it_leaves_out() -> None:
    with scene() as s:
        gone, kept = s.endpoint(), s.endpoint()
        s.start()
        s.until(lambda: len(s.discovery.asked) >= 1)
        assert "since=" in s.discovery.asked[-1]  # what it waits for is a change
        del s.discovery.hosts["s-1"]
        s.discovery.seq += 1
        s.discovery.changed.fire()
        s.until(lambda: "s-1" in s.courier.exchange._left)
        calls = len(gone.calls)
        for _ in range(12):
            assert s.hand_in()[1].startswith(b"HTTP/1.1 202 ")
        s.until(lambda: len(kept.calls) >= 12)
        assert len(gone.calls) == calls
