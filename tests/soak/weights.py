"""Weights of a stand-in target: orders to load a version, loads and reports."""

import json
import random
from typing import NamedTuple

import trio

from tests.platform.standin import send_answer

MODEL = "m"
#: Seconds that a load takes after the runs have ended.
LOAD_S = 1.5
#: Age in seconds of what a report says.
REPORT_AGE_S = 0.3
POLL_S = 0.02
#: Seconds after which an order is carried out late.
MIN_LATE_S, MAX_LATE_S = 2.0, 12.0
KV_TOKENS = 93_552
#: Ways in which a target does not obey orders for a time.
ORDER_MODES = ("refusing", "silent", "fencing", "crashing", "late")
STRATEGIES = ("wait", "truncate", "retain")


class Order(NamedTuple):
    """An order that has come to a target.

    :param born_ms: start of the target's incarnation.
    :param status: its answer; 0 if it gave none.
    """

    target: str
    born_ms: int
    at_s: float
    holder: str
    fence: int
    version: int
    status: int


class Life:
    """One incarnation of a target.

    :ivar versions: each version of its weights and the second since which it has it.
    :ivar leaving_s: second at which it began to leave; infinite if it doesn't.
    :ivar end_s: second at which it ended; infinite if it has not.
    """

    def __init__(self, name, start_s, version):
        self.name = name
        self.start_s = start_s
        self.versions = [(start_s, version)]
        self.leaving_s = float("inf")
        self.end_s = float("inf")

    def gets_s(self, version):
        """Return the second at which it had a version or a newer one."""
        later = [at_s for at_s, held in self.versions if held >= version]
        return min(later, default=float("inf"))


class Weights:
    """Version of one target's weights, which orders change.

    :param target: the target; it has a name, its start and a nursery of its own.
    :param on_crash: called with the target's name when it ends in a load.
    :ivar mode: ``fine`` or one of ``ORDER_MODES``.
    :ivar runs: scopes of the runs that are under way.
    """

    def __init__(self, target, history, version, rng, on_crash):
        self.target = target
        self.history = history
        self.version = version
        self.rng = rng or random.Random(target.name)
        self.mode = "fine"
        self.is_busy = False
        self.sequence = 0
        self.fence = 0
        self.runs: set[trio.CancelScope] = set()
        self.life = Life(target.name, history.now_s(), version)
        history.lives.append(self.life)
        self._on_crash = on_crash
        self._reports: list[tuple[float, dict]] = []
        self._record()

    @property
    def models(self):
        """Models as announcements and reports list them."""
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def answer_report(self, send):
        """Answer with the state of some hundred milliseconds ago."""
        self._record()
        until_s = self.history.now_s() - REPORT_AGE_S
        while len(self._reports) > 1 and self._reports[1][0] <= until_s:
            del self._reports[0]
        await send_answer(send, 200, json.dumps(self._reports[0][1]).encode())

    async def answer_order(self, body, send):
        """Answer an order, and carry it out, as the mode has it."""
        order = json.loads(body)
        if self.mode == "late":
            self.target.nursery.start_soon(self._obey_late, order)
            self._log(order, 0)
            await trio.sleep_forever()
        if self.mode == "refusing":
            status = 503
        elif self.mode == "fencing":
            status = 412
        else:
            is_lost = self.mode == "silent" and self.rng.random() < 0.5
            status = 0 if is_lost else self.obey(order)
        self._log(order, 0 if self.mode == "silent" else status)
        if self.mode == "silent":
            await trio.sleep_forever()
        await send_answer(send, status, b"{}")

    def obey(self, order):
        """Begin a load if the order is valid; return the status of the answer."""
        status = self._judge(order)
        if status == 202:
            self.sequence += 1
            self.is_busy = True
            self._record()
            self.target.nursery.start_soon(self._load, order)
        return status

    def _judge(self, order):
        named = {naming.number for naming in self.history.namings} | {1}
        is_known = order.get("op") == "version" and order.get("model") == MODEL
        is_known = is_known and order.get("strategy") in STRATEGIES
        if not is_known or not {"holder", "fence"} <= order.keys():
            return 400
        if order.get("version") not in named:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        expected = order.get("precondition", self.sequence)
        if self.is_busy or expected != self.sequence:
            return 409
        return 200 if order["version"] == self.version else 202

    async def _obey_late(self, order):
        await trio.sleep(self.rng.uniform(MIN_LATE_S, MAX_LATE_S))
        self.obey(order)

    async def _load(self, order):
        strategy = order["strategy"]
        if strategy == "truncate":
            for scope in self.runs:
                scope.cancel()
        while strategy != "retain" and self.runs:
            await trio.sleep(POLL_S)
        if self.mode == "crashing":
            await trio.sleep(LOAD_S / 2)
            self._on_crash(self.target.name)
            await trio.sleep_forever()
        await trio.sleep(LOAD_S)
        self.version = order["version"]
        self.life.versions.append((self.history.now_s(), self.version))
        self.is_busy = False
        self._record()

    def _record(self):
        report = {
            "stage": "colocated",
            "models": self.models,
            "busy": self.is_busy,
            "seq": self.sequence,
            "waiting": 0,
            "running": len(self.runs),
            "kv_used": 0,
            "kv_total": KV_TOKENS,
            "handles": 0,
        }
        self._reports.append((self.history.now_s(), report))

    def _log(self, order, status):
        target, at_s = self.target, self.history.now_s()
        what = order.get("holder", ""), order.get("fence", 0), order.get("version", 0)
        order = Order(target.name, target.born_ms, at_s, *what, status)
        self.history.orders.append(order)
