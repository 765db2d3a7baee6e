"""Replies of mail servers that come twice: a copy must not pass for the reply to a later command."""

from __future__ import annotations

import pytest

from ashvale.lab.mail import Client, Partner, Script
from ashvale.lab.stand_ins import DROP, run
from ashvale.loop import Connection, Coroutine, Loop, sleep
from ashvale.rehearsal import MESSAGE, RATE, USAGE, staged
from tests.test_mail import SENDER, codes

COPY_FIRST_MS = 60.0  # a copy comes so long before the command's own reply


class RepeatingPartner(Partner):
    """Before its reply to one step of its first session, brings the reply to an earlier step again."""

    def __init__(self, loop: Loop, lmtp: bool, copied: str, before: str, own: str, times: int = 1) -> None:
        super().__init__(loop, lmtp, [{before: own} if own else {}])
        self.copied, self.before, self.times = copied, before, times
        self.replies: dict[str, str] = {}
        self.accepted = 0  # messages of which all recipients had 250

    def _say(self, connection: Connection, script: Script, step: str, usual: str) -> Coroutine[bool]:
        self.replies.setdefault(step, script.get(step, usual))
        if self.connections == 1 and step == self.before and self.copied in self.replies:
            copy = self.replies[self.copied].encode() + b"\r\n"
            yield from connection.send(copy * self.times, self.loop.now() + 1000.0)
            yield from sleep(self.loop, COPY_FIRST_MS)
        if step.startswith("dot") and script.get(step, usual).startswith("250"):
            self.accepted += 1
        return (yield from super()._say(connection, script, step, usual))


@pytest.mark.parametrize("recipient", [RATE, USAGE])
@pytest.mark.parametrize("lmtp", [False, True])
@pytest.mark.parametrize("own", ["451 4.2.0 busy", "554 5.0.0 no", DROP])
@pytest.mark.parametrize(("copied", "times"), [("rcpt", 1), ("mail", 2), ("hello", 1)])
def test_a_copy_of_an_earlier_reply_is_no_delivery(
    recipient: str, lmtp: bool, own: str, copied: str, times: int
) -> None:
    """Guards against loss: the 250 to an envelope came again behind the message, which was not taken."""

    def other(loop: Loop) -> Partner:
        return RepeatingPartner(loop, lmtp, copied, "dot", own, times)

    with staged(other) as (loop, partner, stage):
        assert isinstance(partner, RepeatingPartner)
        client = Client(loop, stage.address())
        (reply,) = run(loop, client.send(SENDER, [recipient], MESSAGE))
        assert not reply.startswith("250") or partner.accepted >= 1, partner.deliveries


@pytest.mark.parametrize(
    ("copied", "before"), [("connect", "hello"), ("hello", "mail"), ("mail", "rcpt"), ("rcpt", "data")]
)
def test_a_copy_within_the_envelope_leaves_no_message_behind(copied: str, before: str) -> None:
    """Guards against a shift: each reply was read for the command behind its own."""

    def other(loop: Loop) -> Partner:
        return RepeatingPartner(loop, False, copied, before, "")

    with staged(other) as (loop, partner, stage):
        replies = run(loop, Client(loop, stage.address()).send(SENDER, [RATE], MESSAGE))
        assert codes(replies) == ["250"] and len(partner.deliveries) == 1


def test_a_copy_of_354_is_no_refusal() -> None:
    """Guards against a failure that nobody told: a reply that asks for the message came as its outcome."""

    def other(loop: Loop) -> Partner:
        return RepeatingPartner(loop, False, "data", "dot", "")

    with staged(other) as (loop, partner, stage):
        replies = run(loop, Client(loop, stage.address()).send(SENDER, [RATE], MESSAGE))
        assert codes(replies) == ["250"]


def test_a_recipients_repeated_reply_is_not_that_of_the_next() -> None:
    """Guards against loss: with LMTP the first recipient's reply came again in the place of the second's."""

    def other(loop: Loop) -> Partner:
        return RepeatingPartner(loop, True, "dot1", "dot2", "451 4.2.0 busy")

    with staged(other) as (loop, partner, stage):
        assert isinstance(partner, RepeatingPartner)
        partner.scripts[0]["dot1"] = "250 taken"
        recipients = [RATE, RATE.replace("@", "2@")]
        replies = run(loop, Client(loop, stage.address()).send(SENDER, recipients, MESSAGE))
        assert not replies[0].startswith("250") or partner.accepted >= len(partner.deliveries[-1].recipients)


class BriefPartner(Partner):
    """Ends its session right behind its reply to the final dot, without waiting for QUIT."""

    def _say(self, connection: Connection, script: Script, step: str, usual: str) -> Coroutine[bool]:
        more = yield from super()._say(connection, script, step, usual)
        return more and not step.startswith("dot")


@pytest.mark.parametrize("recipient", [RATE, USAGE])
@pytest.mark.parametrize("lmtp", [False, True])
@pytest.mark.parametrize("reply", ["250 taken", "250 2.0.0 ok: queued as 4F2", "554 5.0.0 no"])
def test_a_session_that_ends_behind_its_reply_has_told_the_messages_end(
    recipient: str, lmtp: bool, reply: str
) -> None:
    """Guards against a second delivery: without QUIT's 221 a reply unlike all before it counted as lost."""

    def other(loop: Loop) -> Partner:
        return BriefPartner(loop, lmtp, [{"dot": reply}] * 9)

    with staged(other) as (loop, partner, stage):
        replies = run(loop, Client(loop, stage.address()).send(SENDER, [recipient], MESSAGE))
        run(loop, sleep(loop, 1500.0))
        assert codes(replies) == [reply[:3]] and len(partner.deliveries) == 1


def test_a_session_that_ends_behind_its_refusal_is_followed_by_another() -> None:
    """Guards against loss: without QUIT's 221 a refusal for now counted as a call that may have run."""

    def other(loop: Loop) -> Partner:
        partner = BriefPartner(loop, False, [{"dot": "451 4.2.0 busy"}])
        return partner

    with staged(other) as (loop, partner, stage):
        replies = run(loop, Client(loop, stage.address()).send(SENDER, [USAGE], MESSAGE))
        assert codes(replies) == ["250"] and len(partner.deliveries) == 2


def test_a_reply_like_an_earlier_one_at_a_sessions_end_sends_nothing_again() -> None:
    """Guards against a second delivery: a partner says the same each time, and ends behind the last."""

    def other(loop: Loop) -> Partner:
        return BriefPartner(loop, False, [{"dot": "250 ok"}] * 9)

    with staged(other) as (loop, partner, stage):
        replies = run(loop, Client(loop, stage.address()).send(SENDER, [RATE], MESSAGE))
        run(loop, sleep(loop, 1500.0))
        assert len(replies) == 1 and len(partner.deliveries) == 1
