"""A partner fails, its endpoint is taken out for a restart and called back: what it gets while it is cold."""

from __future__ import annotations

import math
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import (
    BROKEN,
    HELD,
    HERE,
    TROUBLE,
    CannotRun,
    Client,
    Courier,
    Discovery,
    Endpoint,
    Record,
    Request,
    TcpServer,
    delivered,
    free_port,
    http,
    leuven_main,
    main,
    read_request,
    response,
)

PARTNER, OTHER, COURIERS = 1, 2, 3
CAPACITY, TOLD = 10.0, 1.45  # calls a second; the list's rough figure is "up to half too high or too low"
WORK_S, WAITING, CONNECTIONS = 0.15, 6, 16
COLD, WARM_S, FACTOR, FALL_S = (
    0.19,
    11.0,
    2.0,
    3.0,
)  # contract: cold_share, warm_up, overload_factor, overload_for
FAILS_S, REFUSES_S, DOWN_S = 1.5, 2.5, 6.0  # it fails, refuses, and is taken out; in all 6.2 to 16 s
TRAFFIC, SHARE = 0.8, 0.26  # of its capacity, and of all traffic: "partners that get up to 27%"


class Partner:
    """One endpoint of kind `small-mvno`: its capacity, a short queue and few connections are all its limits.

    What comes above them is turned away with 503. Each courier dials a port of its own.
    """

    def __init__(self, record: Record) -> None:
        self.record, self.lock = record, threading.Lock()
        self.state, self.back_at, self.busy_until = "up", -1e9, 0.0
        self.connections = 0
        self.calls: list[tuple[float, int]] = []  # since it is back: when, and from which courier
        self.told: set[int] = set()  # couriers that had a call fail while it was out
        self.ports = [Port(self, number) for number in range(COURIERS)]

    def share(self, at: float) -> float:
        """How much of its capacity it has at a time: from COLD, evenly, to all of it."""
        return min(1.0, COLD + (1.0 - COLD) * (at - self.back_at) / WARM_S)

    def begin(self, courier: int, known: bool) -> tuple[int, float]:
        """A call has come: the status that it gets, and after how long."""
        with self.lock:
            now = time.monotonic()
            if self.state == "fails":
                self.told.add(courier)
                return 500, 0.05
            self.calls.append((now, courier))
            start = max(now, self.busy_until)
            rate = CAPACITY * self.share(now)
            if not known or (start - now) * rate > WAITING:
                return 503, 0.0
            self.busy_until = start + 1.0 / rate
            return 200, start - now + WORK_S

    def windows(self) -> list[tuple[float, int, float, float]]:
        """Of each window that a call begins: the part of what it bears, the calls, what it bears, and which
        part of the calls came from couriers that had been told of the outage."""
        found = []
        for at, _ in self.calls:
            inside = [courier for other, courier in self.calls if at <= other < at + FALL_S]
            count, told = len(inside), sum(courier in self.told for courier in inside)
            n = FACTOR * CAPACITY * sum(self.share(at + FALL_S * k / 100) for k in range(100)) * FALL_S / 100
            bears = n + 2 * math.sqrt(n) + 2 if n >= 30 else n + 3 * math.sqrt(n) + 3
            found.append((count / bears, count, bears, told / count))
        return found


class Port(TcpServer):
    """Where one courier dials the endpoint."""

    def __init__(self, partner: Partner, number: int) -> None:
        self.partner, self.number = partner, number
        self.open: set[socket.socket] = set()
        super().__init__()

    def down(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.open):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def up(self) -> None:
        self.listener = socket.create_server((HERE, self.port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        partner = self.partner
        with partner.lock:
            known = partner.connections < CONNECTIONS
            partner.connections += 1
        self.open.add(sock)
        try:
            with sock.makefile("rb") as file:
                while (request := read_request(file)) is not None:
                    status, after = partner.begin(self.number, known)
                    if after:
                        time.sleep(after)
                    close = not known or request.headers.get("connection", "").lower() == "close"
                    id = request.headers["request-id"]
                    partner.record(f"partner: {id} of n{self.number} answered {status}")
                    sock.sendall(response(status, close=close))
                    if close:
                        return
        finally:
            self.open.discard(sock)
            with partner.lock:
                partner.connections -= 1


def case(record: Record, place: Path, couriers: list[Courier]) -> int:
    partner, over, doors = Partner(record), threading.Event(), list[int]()
    clients: dict[int, list[Client]] = {PARTNER: [], OTHER: []}

    def work(endpoint: Endpoint, request: Request, parts: list[tuple[str, str, bytes]]) -> bytes:
        time.sleep(WORK_S)
        return delivered(request, parts)

    well = Endpoint("direct-1", Record(), work)  # the partner that has the rest of the traffic
    for number, port in enumerate(partner.ports):
        discovery = Discovery(record)  # `dial` may vary between couriers
        discovery.list("mvno-1", port.dial, PARTNER, "small-mvno", "building-a", CAPACITY * TOLD)
        discovery.list("direct-1", well.dial, OTHER, "direct", "building-a", 60.0)
        doors.append(free_port())
        courier = Courier(record, place / f"n{number}", f"n{number}", discovery)
        courier.environ["LB_OPERATOR"] = f"{HERE}:{doors[-1]}"
        couriers.append(courier)
        courier.settings = leuven_main() | {"peers_total": COURIERS, "slot_no": number}
        courier.start()
        clients[PARTNER].append(Client(record, "kempen-mobiel"))
        clients[OTHER].append(Client(Record(), "ardenne-tel"))

    def traffic(number: int, dest: int, rate: float) -> None:
        due = time.monotonic()
        while not over.is_set():
            due += COURIERS / rate
            time.sleep(max(0.0, due - time.monotonic()))
            clients[dest][number].hand_in(couriers[number], "rate-update", dest, 28000)

    rate = TRAFFIC * CAPACITY
    for number in range(COURIERS):
        for dest, each in ((PARTNER, rate), (OTHER, rate / SHARE - rate)):
            threading.Thread(target=traffic, args=(number, dest, each), daemon=True).start()
    time.sleep(4.0)

    def call(what: str) -> None:
        for number, door in enumerate(doors):
            status = http(door, "POST", f"/endpoints/mvno-1/{what}", b" ")
            record(f"operator: POST /endpoints/mvno-1/{what} at n{number}: {status}")
            if status != 200:
                raise CannotRun(f"{what} was answered {status}")

    if TROUBLE != "0":
        record("partner: fails all calls")
        partner.state = "fails"
        time.sleep(FAILS_S)
        record("partner: refuses connections")
        for port in partner.ports:
            port.down()
        time.sleep(REFUSES_S)
        if TROUBLE != "outage":  # that value: the same outage, and nobody calls
            call("maint")
        time.sleep(DOWN_S)
        with partner.lock:
            partner.state, partner.back_at, partner.busy_until = "up", time.monotonic(), 0.0
            partner.calls.clear()
        for port in partner.ports:
            port.up()
        record("partner: is back, and cold")
        if TROUBLE != "outage":
            call("ready")
    time.sleep(WARM_S + FALL_S)
    over.set()
    windows = partner.windows()
    if not windows:
        raise CannotRun("no call reached the partner")
    _, count, bears, _ = max(windows)
    record(f"couriers that had a call fail: {sorted(partner.told)}; calls since: {len(partner.calls)}")
    record(f"most calls in {FALL_S:.0f} s: {count}; it falls at more than {bears:.1f}")
    taken = {dest: sum(len(c.taken) for c in found) for dest, found in clients.items()}
    share = taken[PARTNER] / sum(taken.values())
    record(f"taken on for it: {taken[PARTNER]}, {100 * share:.1f}% of the traffic")
    if share > 0.27:
        raise CannotRun("it got more of the traffic than the page allows")
    fall = next((window for window in windows if window[0] > 1.0), None)
    if fall is not None:
        record(
            f"it falls: {fall[1]} calls, {fall[2]:.1f} borne, {100 * fall[3]:.0f}% by couriers that were told"
        )
        if fall[3] > 2 / 3:
            record("broken: it is pushed over by couriers that saw it fail")
            return BROKEN
    return HELD


main(case, Path(__file__).resolve().parent)
