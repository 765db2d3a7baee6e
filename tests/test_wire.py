"""The codec: frames as the wire gives them, round trips, and one plain line for what is malformed."""

from __future__ import annotations

import io
import json
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashvale import adapter, config, wire
from ashvale import interface as api

MINIMAL = {
    "categories": [{"objective_ms": 1000, "give_up_ms": 5000.0, "repeat": "pure"}],
    "limits": {"most_tries": 3},
    "contract": {},
}


def record(code: int, payload: bytes) -> bytes:
    return struct.pack("<BI", code, len(payload)) + payload


def frame(*records: bytes, seq: int = 1, now: float = 5.0, count: int | None = None) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIId", seq, len(records) if count is None else count, 20 + len(body), now) + body


def create(settings: dict | None = None, inst: int = 3) -> bytes:
    text = json.dumps(MINIMAL if settings is None else settings).encode()
    return record(0, struct.pack("<HQI", inst, 9, len(text)) + text)


def table(number: int = 0) -> bytes:
    entry = b"\x0a\x01\x02\x03\x10\x27" + struct.pack("<BHHBfd", 0, 0, 7, 1, 1.0, 0.0)
    return record(10, struct.pack("<II", number, 1) + entry)


def known(inst: int = 3, number: int = 0) -> bytes:
    return record(1, struct.pack("<HIIB", inst, 1, number, 3))


def message(inst: int = 3, req: int = 21) -> bytes:
    return record(2, struct.pack("<HIHIQddfH", inst, req, 0, 0, 0, 4000.0, 0.0, 7.0, 0))


def run(data: bytes) -> tuple[int, bytes]:
    sink = io.BytesIO()
    return adapter.run(io.BytesIO(data), sink), sink.getvalue()


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert run(frame(seq=4)) == (0, struct.pack("<III", 4, 0, 12))


def test_a_message_is_sent() -> None:
    code, reply = run(frame(create(), table(), known(), message()))
    assert code == 0
    assert struct.unpack_from("<BI", reply, 12) == (64, 20)
    assert struct.unpack_from("<HI6s", reply, 17) == (3, 21, b"\x0a\x01\x02\x03\x10\x27")


@pytest.mark.parametrize(
    ("data", "told"),
    [
        (frame()[:11], "frame header: 11 bytes"),
        (frame(create())[:-3], "input ends after"),
        (struct.pack("<IIId", 1, 0, 4, 0.0), "impossible length 4"),
        (frame(now=float("nan")), "clock is not a number"),
        (frame(record(99, b"")), "record 0: unknown event code 99"),
        (frame(message()), "unknown instance 3"),
        (frame(create(), known(number=5)), "record 1: unknown list 5"),
        (frame(create(), record(6, b"\x03\x00")), "record 1: fields end"),
        (frame(create(), record(6, bytes(9))), "3 bytes too many"),
        (frame(create(), count=2), "record 1: frame ends inside the record's head"),
        (frame(create(), b"", count=0), "bytes after the last record"),
        (frame(create({})), "key 'limits' is missing"),
        (frame(create({**MINIMAL, "limits": {"most_tries": "many"}})), "key 'most_tries' has the wrong type"),
        (
            frame(create({**MINIMAL, "categories": [{"repeat": "odd"}]})),
            "'repeat' has the unknown value 'odd'",
        ),
    ],
)
def test_malformed_input_ends_with_one_plain_line(
    data: bytes, told: str, capsys: pytest.CaptureFixture[str]
) -> None:
    code, reply = run(data)
    text = capsys.readouterr().err
    assert code != 0 and reply == b""
    assert told in text and text.count("\n") == 1


def test_unknown_settings_are_ignored() -> None:
    settings = config.settings({**MINIMAL, "colour": "blue"})
    assert settings.max_attempts == 3 and settings.classes[0].aim_ms == 1000.0


def test_an_exception_becomes_the_instances_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: object, event: object, now: float) -> None:
        raise ValueError("odd")

    monkeypatch.setattr(adapter.Controller, "handle", broken)
    code, reply = run(frame(create(), table(), known()))
    assert code == 0
    assert reply[12] == 74 and reply.endswith(b"ValueError: odd")


@given(st.binary(max_size=80))
def test_any_bytes_decode_or_are_told(body: bytes) -> None:
    try:
        wire.Decoder().batch(1, 1, body)
    except wire.WireError as error:
        assert "\n" not in str(error) and str(error).startswith(("batch 1", "settings"))


@given(st.integers(0, 65535), st.integers(0, 2**32 - 1), st.floats(0, 1e9))
def test_actions_round_trip(inst: int, req: int, value: float) -> None:
    data = wire.encode_action(inst, api.Refuse(req, value))
    assert struct.unpack("<BIHId", data) == (66, 14, inst, req, value)
    data = wire.encode_action(inst, api.Wake(value, req))
    assert struct.unpack("<BIHdI", data) == (69, 14, inst, value, req)
    data = wire.encode_action(inst, api.Send(req, b"sixsix", value))
    assert struct.unpack("<BIHI6sd", data) == (64, 20, inst, req, b"sixsix", value)
