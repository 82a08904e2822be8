"""What answers cost: a token through one process, a first token, a claim."""

import random
import subprocess
import sys
import time
from statistics import median
from typing import Any

import msgspec
import trio
from hypercorn.config import Config as HypercornConfig
from hypercorn.trio import serve as serve_http
from returns.result import Success

from bench.cost import cpu_seconds, held_bytes
from bench.streampeer import CHUNK
from vanillabeam.answers import PromptRequest, Runner
from vanillabeam.answers.events import EventReader
from vanillabeam.claims import Claim, ClaimMachine, ClaimsClient, ClaimSettings, Finish
from vanillabeam.targets import Permit, RouteRequest

__all__ = ["run"]

STREAMS = 200
TOKENS = 150
INTERVAL_S = 0.03
FLOOD_STREAMS = 10
FLOOD_TOKENS = 5_000
CLAIMS = 20_000
EVENTS_A_READ = 10
READS = 2_000
OUTCOME_BODY = "x" * 200


def run(seed: int) -> dict[str, Any]:
    """Measure every part once.

    :param seed: names the keys of the claims.
    """
    return {
        "paced": trio.run(_through, STREAMS, TOKENS, INTERVAL_S),
        "flood": trio.run(_through, FLOOD_STREAMS, FLOOD_TOKENS, 0.0),
        "events": _read_events(),
        "claims": _claims(seed),
    }


async def _through(streams: int, tokens: int, interval_s: float) -> dict[str, float]:
    """Send streams through this process; the far ends are in another."""
    async with trio.open_nursery() as nursery:
        proxy = _Proxy()
        await nursery.start(proxy.runner.run)
        port = await proxy.serve(nursery)
        peer = _start_peer(port, streams, tokens, interval_s)
        line = await trio.to_thread.run_sync(peer.stdout.readline)
        proxy.address = f"127.0.0.1:{int(line)}"
        await _go(peer)
        began_s = time.process_time()
        line = await _go(peer)
        used_s = time.process_time() - began_s
        peer.wait()
        nursery.cancel_scope.cancel()
    report = msgspec.json.decode(line)
    direct_s, through_s = report["direct_s"], report["through_s"]
    return {
        "tokens": report["pieces"],
        "tokens_wanted": streams * tokens,
        "tokens_s": report["pieces"] / report["seconds"],
        "cpu_us_a_token": used_s / report["pieces"] * 1e6,
        "direct_first_token_ms": median(direct_s) * 1e3,
        "through_first_token_ms": median(through_s) * 1e3,
        "added_first_token_ms": (median(through_s) - median(direct_s)) * 1e3,
        "added_first_token_p95_ms": (_p95(through_s) - _p95(direct_s)) * 1e3,
    }


def _start_peer(*arguments: float) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "bench.streampeer", *map(str, arguments)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )


async def _go(peer: subprocess.Popen) -> bytes:
    """Let the peer go on and return its next line."""
    peer.stdin.write(b"go\n")
    peer.stdin.flush()
    return await trio.to_thread.run_sync(peer.stdout.readline)


class _Proxy:
    """The callers' side of an entry, without anything but answers."""

    def __init__(self):
        self.address = ""
        self.requests = 0
        claims = ClaimsClient("e1", [], random.Random(1))
        self.runner = Runner(self._acquire, lambda permit, outcome: None, claims)

    async def serve(self, nursery: trio.Nursery) -> int:
        http = HypercornConfig()
        http.bind = ["127.0.0.1:0"]
        http.errorlog = None
        binds = await nursery.start(serve_http, self._app, http)
        return int(binds[0].rpartition(":")[2])

    async def _acquire(self, route: RouteRequest) -> Success[Permit]:
        number = f"p{self.requests}"
        return Success(
            Permit(number, "t1", "b1", self.address, "dc1", "e1", "v1", 1, 1e9)
        )

    async def _app(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            raise RuntimeError("no lifespan")
        self.requests += 1
        body = msgspec.json.decode(await _body(receive))
        route = RouteRequest(f"r{self.requests}", "w", model="m", version="v1")
        prompt = PromptRequest(route, scope["path"], body, stream=True)
        answer = (await self.runner.prompts.open(prompt)).unwrap()
        headers = [(b"content-type", answer.content_type.encode())]
        head = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(head)
        async for data in answer:
            part = {"type": "http.response.body", "body": data, "more_body": True}
            await send(part)
        await send({"type": "http.response.body", "body": b""})
        await answer.aclose()


async def _body(receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


def _read_events() -> dict[str, float]:
    event = b"id: 1\ndata: " + CHUNK % b"null" + b"\n\n"
    data = event * EVENTS_A_READ

    def work() -> None:
        reader = EventReader()
        for _ in range(READS):
            reader.feed(data)

    return {"cpu_us_an_event": cpu_seconds(work) / (READS * EVENTS_A_READ) * 1e6}


def _claims(seed: int) -> dict[str, float]:
    commands = _commands(seed)

    def work() -> ClaimMachine:
        machine = ClaimMachine(ClaimSettings())
        for index, command in enumerate(commands, 1):
            machine.apply(index, command)
        return machine

    seconds = cpu_seconds(work)
    machine = work()
    snapshot = machine.snapshot()
    restored = ClaimMachine(ClaimSettings())
    return {
        "claims_s": CLAIMS / seconds,
        "bytes_a_done_claim": held_bytes(work) / CLAIMS,
        "snapshot_bytes_a_claim": len(snapshot) / CLAIMS,
        "snapshot_ms": cpu_seconds(machine.snapshot) * 1e3,
        "restore_ms": cpu_seconds(lambda: restored.restore(snapshot)) * 1e3,
    }


def _commands(seed: int) -> list[str]:
    commands = []
    outcome = {
        "status": 200,
        "headers": [("content-type", "application/json")],
        "body": OUTCOME_BODY,
        "bytes": len(OUTCOME_BODY),
    }
    for number in range(CLAIMS):
        key = f"{seed:08x}-0000-4000-8000-{number:012x}"
        named = ("workspace", key, f"t{number}", "e1", 1_700_000_000_000 + number)
        commands.append(Claim(*named, digest="0" * 32, lease_ms=60_000))
        commands.append(Finish(*named, outcome=outcome))
    return [msgspec.json.encode(command).decode() for command in commands]


def _p95(times: list[float]) -> float:
    return times[len(times) * 95 // 100]
