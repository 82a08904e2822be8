"""Orders to workers and their reports, as the platform writes them."""

import json

import httpcore
import pytest
import trio

from tests.fleet.builders import make_target
from tests.platform.builders import ODD_VALUES
from vanillabeam.fleet.orderrun import OrderReply, WeightsReport
from vanillabeam.fleet.rollout import WeightsOrder
from vanillabeam.fleet.runwaits import Strategy
from vanillabeam.platform.orders import WorkerOrders

TARGET = make_target(versions={"m": 1})


class Client:
    def __init__(self, status, content=b"{}"):
        self.bodies = []
        self._answer = httpcore.Response(status, content=content)

    async def call(self, method, address, path, body, headers):
        self.bodies.append(body)
        await self._answer.aread()
        return self._answer


@pytest.mark.parametrize("strategy", list(Strategy))
def test_an_order_says_what_becomes_of_the_runs(strategy):
    client = Client(202)
    order = WeightsOrder("m", 2, "core-1", 41, strategy)
    reply = trio.run(WorkerOrders(client).load_weights, TARGET, order, 7)
    assert reply is OrderReply.ACCEPTED
    assert json.loads(client.bodies[0]) == {
        "op": "version",
        "model": "m",
        "version": 2,
        "strategy": str(strategy),
        "holder": "core-1",
        "fence": 41,
        "precondition": 7,
    }


REPORT = {"models": [{"name": "m", "version": 2}], "busy": False}


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        ({}, WeightsReport(2, False)),
        ({"seq": 3, "running": 12}, WeightsReport(2, False, 3, 12)),
        ({"busy": True, "running": 1}, WeightsReport(None, True, None, 1)),
    ],
)
def test_a_report_says_how_many_runs_there_are(more, expected):
    client = Client(200, json.dumps(REPORT | more).encode())
    assert trio.run(WorkerOrders(client).report, TARGET, "m") == expected


# Guards against one odd report of a worker that ends the rollout to all workers.
@pytest.mark.parametrize("odd", ODD_VALUES, ids=lambda odd: odd[:12].decode())
@pytest.mark.parametrize(
    "report",
    [
        b'{"models":[{"name":"m","version":1}],"busy":false,"seq":%s}',
        b'{"models":[{"name":"m","version":%s}],"busy":false}',
    ],
)
def test_an_odd_report_of_a_worker_is_no_report(report, odd):
    client = Client(200, report % odd)
    assert trio.run(WorkerOrders(client).report, TARGET, "m") is None
