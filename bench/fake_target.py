"""Fake target over HTTP, for the demo, the tests and the measurements.

It implements the whole protocol of ``docs/targets.md``. In the same process it
is controlled through the attributes and methods of :class:`FakeTarget`, from
other processes by ``POST /fake/command`` with
``{"command": ..., "faults": {...}}``.
"""

from collections import Counter
from collections.abc import AsyncIterator
from typing import Annotated, Any

import msgspec
import trio
import typer
from hypercorn.config import Config as HypercornConfig
from hypercorn.trio import serve as serve_http
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from bench.fake_engine import FakeEngine, Run
from bench.fake_http import as_json, call, problem
from bench.fake_settings import FakeTargetSettings, Faults, Refusal
from bench.fake_stream import inject_faults, make_events, pieces_before_fault
from bench.fake_transfers import FakeTransfers

__all__ = ["FakeTarget", "FakeTargetSettings", "Faults", "serve"]

KEEPALIVE_PERIOD_S = 5.0
GRACEFUL_TIMEOUT_S = 1.0
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class FakeTarget:
    """Fake target: its state and its HTTP handlers.

    :ivar engine: fake engine; ``engine.faults`` are the injected faults.
    :ivar executions: number of executions by idempotency key (``key:K``) and by
        order (``order:O``).
    :ivar connections: number of streams opened so far.
    :ivar owner: ``host:port`` of the VM that receives announcements and reports.

    >>> target = FakeTarget(FakeTargetSettings(service="refunds"))
    >>> target.engine.faults = Faults(cut_after=3)
    >>> target.executions["order:17"]
    0
    """

    def __init__(self, settings: FakeTargetSettings):
        self.settings = settings
        self._announce_now = trio.Event()
        self.engine = FakeEngine(settings, self._request_announcement)
        self._transfers = FakeTransfers(self.engine)
        self.executions: Counter[str] = Counter()
        self.connections = 0
        self.address = ""
        self.owner = settings.listener
        self._answers: dict[str, bytes] = {}
        self._silence_events: list[trio.Event] = []
        self._nursery: trio.Nursery | None = None

    def silence_connections(self) -> None:
        """Stop sending on all open streams; later streams are not affected."""
        for silenced in self._silence_events:
            silenced.set()

    def leave(self) -> None:
        """Refuse new work from now on and announce it."""
        self.engine.leaving = True
        self._request_announcement()

    def _request_announcement(self) -> None:
        self._announce_now.set()

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/chat/completions", self._complete, methods=["POST"]),
                Route("/v1/completions", self._complete, methods=["POST"]),
                Route("/runs/{run}", self._resume, methods=["GET"]),
                Route("/runs/{run}", self._cancel, methods=["DELETE"]),
                Route("/order", self._order, methods=["PUT"]),
                Route(
                    "/blocks/export", self._transfers.export_blocks, methods=["POST"]
                ),
                Route(
                    "/blocks/import", self._transfers.import_blocks, methods=["POST"]
                ),
                Route("/blocks/summary", self._summary, methods=["POST"]),
                Route("/services/{name}/{path:path}", self._service, methods=METHODS),
                Route("/fake/command", self._command, methods=["POST"]),
            ]
        )

    async def run(self, address: str, nursery: trio.Nursery) -> None:
        """Start the background tasks.

        :param address: ``host:port`` at which the target is served.
        :param nursery: runs the tasks that generate, announce and report.
        """
        self.address = address
        self._nursery = nursery
        if self.settings.listener:
            nursery.start_soon(self._announce)
            nursery.start_soon(self._report)

    # Runs and streams.

    async def _complete(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body())
        await trio.sleep(self.engine.faults.delay_s)
        run = self.engine.admit(request.headers, body)
        if isinstance(run, Refusal):
            return problem(run)
        self._nursery.start_soon(self.engine.generate, run, body, request.headers)
        model = str(body["model"]).partition(":")[0]
        return self._stream(run, 0, self.engine.models[model])

    async def _resume(self, request: Request) -> Response:
        run = self.engine.runs.get(request.path_params["run"])
        if run is None or self.engine.faults.forget_runs:
            return problem(Refusal(404, "unknown-run"))
        after = int(request.query_params.get("after", "0"))
        version = next(iter(self.engine.models.values()))
        return self._stream(run, after, version)

    async def _cancel(self, request: Request) -> Response:
        run_id = request.path_params["run"]
        run = self.engine.runs.pop(run_id, None)
        if run is None:
            return problem(Refusal(404, "unknown-run"))
        self.engine.cancelled.append(run_id)
        run.scope.cancel()
        return Response(status_code=204)

    def _stream(self, run: Run, after: int, version: str) -> Response:
        headers = {"vanillabeam-model-version": version}
        events = self._events(run, after, version)
        return StreamingResponse(
            events, media_type="text/event-stream", headers=headers
        )

    async def _events(self, run: Run, after: int, version: str) -> AsyncIterator[bytes]:
        self.connections += 1
        silenced = trio.Event()
        self._silence_events.append(silenced)
        faults = self.engine.faults
        is_faulty = self.connections <= (faults.first_connections or self.connections)
        boot_id = self.engine.boot_id
        sent = after
        try:
            while True:
                await self._break_connection(silenced, sent if is_faulty else -1)
                new_pieces = run.pieces[sent:]
                if new_pieces:
                    if is_faulty:
                        new_pieces = new_pieces[: pieces_before_fault(faults, sent)]
                    events = make_events(sent, new_pieces)
                    if is_faulty:
                        events = inject_faults(
                            events, self.engine.faults, self.engine.rng
                        )
                    yield b"".join(events)
                    sent += len(new_pieces)
                elif run.done:
                    end = {"pieces": sent, "version": version, "boot_id": boot_id}
                    yield b"event: end\ndata: " + msgspec.json.encode(end) + b"\n\n"
                    return
                elif run.broken:
                    raise ConnectionAbortedError(run.run_id)
                elif not await run.wait_changed(KEEPALIVE_PERIOD_S):
                    yield b": alive\n\n"
        finally:
            self._silence_events.remove(silenced)

    async def _break_connection(self, silenced: trio.Event, sent: int) -> None:
        faults = self.engine.faults
        if faults.cut_after is not None and sent >= faults.cut_after:
            raise ConnectionAbortedError("cut on command")
        if faults.silent_after is not None and sent >= faults.silent_after:
            await trio.sleep_forever()
        if silenced.is_set():
            await trio.sleep_forever()

    # Orders and blocks.

    async def _order(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body())
        engine = self.engine
        if order["index"] < engine.order_index and self.settings.checks_fencing:
            return as_json({"status": "stale", "order_index": engine.order_index})
        if engine.loading:
            return as_json({"status": "in-progress", "order_index": engine.order_index})
        engine.order_index = order["index"]
        wanted = {name: model["version"] for name, model in order["models"].items()}
        engine.role = order["role"]
        engine.adapters = {k: a["version"] for k, a in order["adapters"].items()}
        if wanted == engine.models:
            self._request_announcement()
            return as_json({"status": "obeyed", "order_index": engine.order_index})
        self._nursery.start_soon(self._load, wanted)
        return as_json({"status": "in-progress", "order_index": engine.order_index})

    async def _load(self, models: dict[str, str]) -> None:
        changed = [m for m, v in models.items() if self.engine.models.get(m) != v]
        self.engine.loading = True
        await trio.sleep(self.settings.load_s * len(changed))
        self.engine.loading = False
        self.engine.models = models
        self.engine.go_cold()
        self._request_announcement()

    async def _summary(self, request: Request) -> Response:
        contents = {"kind": "stored", "blocks": list(self.engine.cache)}
        self.engine.events.clear()
        return as_json({**self._event_head(), "events": [contents], "summary": True})

    # Plain services.

    async def _service(self, request: Request) -> Response:
        if request.path_params["name"] != self.settings.service:
            return problem(Refusal(404, "unknown-service"))
        if self.engine.leaving:
            return problem(Refusal(503, "leaving"))
        body = await request.body()
        key = request.headers.get("idempotency-key", "")
        if key and self.settings.dedup_keys and key in self._answers:
            return Response(self._answers[key], media_type="application/json")
        order = _read_order(body)
        self.executions.update([f"key:{key}"] if key else [])
        self.executions.update([f"order:{order}"])
        executions = self.executions[f"order:{order}"]
        path = request.path_params["path"]
        answer = msgspec.json.encode({"path": path, "order": order, "ran": executions})
        self._answers[key] = answer
        await trio.sleep(self.engine.faults.delay_s)
        if self.engine.faults.silent_after is not None:
            await trio.sleep_forever()
        return Response(answer, media_type="application/json")

    async def _command(self, request: Request) -> Response:
        message = msgspec.json.decode(await request.body())
        if "faults" in message:
            self.engine.faults = Faults(**message["faults"])
        commands = {
            "cold": self.engine.go_cold,
            "restart": self.engine.restart,
            "silence": self.silence_connections,
            "leave": self.leave,
        }
        commands.get(message.get("command"), lambda: None)()
        return as_json({"executions": dict(self.executions)})

    # Announcements and reports.

    def announcement(self) -> dict[str, Any]:
        """Return the current announcement."""
        service = self.settings.service
        return {
            "target": self.settings.target,
            "boot_id": self.engine.boot_id,
            "data_centre": self.settings.data_centre,
            "address": self.address,
            "kind": "service" if service else "engine",
            **({"service": service} if service else {}),
            "models": {} if service else self.engine.models,
            "adapters": self.engine.adapters,
            "capacity": self.settings.capacity,
            "cold_capacity": self.settings.cold_capacity,
            "checks_fencing": self.settings.checks_fencing,
            "order_index": self.engine.order_index,
            "cached_tokens": self.settings.cached_tokens,
            "leaving": self.engine.leaving,
        }

    def _event_head(self) -> dict[str, Any]:
        return {
            "target": self.settings.target,
            "boot_id": self.engine.boot_id,
            "first": self.engine.next_event,
        }

    async def _announce(self) -> None:
        while True:
            self._announce_now = trio.Event()
            reply = await self._send("announce", self.announcement())
            if reply is None:
                self.owner = self.settings.listener
            else:
                self.owner = reply.get("owner") or self.owner
            with trio.move_on_after(self.settings.announce_every_s):
                await self._announce_now.wait()

    async def _report(self) -> None:
        sequence = 0
        while True:
            await trio.sleep(self.settings.load_every_s)
            sequence += 1
            await self._send("load", self._load_report(sequence))
            await self._send_events()

    def _load_report(self, sequence: int) -> dict[str, Any]:
        running = min(self.engine.active, self.settings.capacity)
        return {
            "target": self.settings.target,
            "boot_id": self.engine.boot_id,
            "sequence": sequence,
            "running": running,
            "queued": self.engine.active - running,
            "queued_prefill_tokens": self.engine.waiting_prefill_tokens,
            "cached_tokens": len(self.engine.cache) * self.settings.block_tokens,
            "age_s": 0.0,
        }

    async def _send_events(self) -> None:
        events, self.engine.events = self.engine.events, []
        if not events:
            return
        message = {**self._event_head(), "events": events}
        self.engine.next_event += len(events)
        await self._send("events", message)

    async def _send(self, kind: str, message: dict[str, Any]) -> dict[str, Any] | None:
        url = f"http://{self.owner}/target/{kind}"
        reply = await call("POST", url, msgspec.json.encode(message))
        if reply is None or reply.status >= 300:
            return None
        try:
            value = msgspec.json.decode(reply.content or b"{}")
        except msgspec.DecodeError:
            return {}
        return value if isinstance(value, dict) else {}


async def serve(
    settings: FakeTargetSettings,
    *,
    target: FakeTarget | None = None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a fake target on loopback until cancelled.

    ``task_status`` receives the port.

    :param target: fake target to serve; by default a new one.

    Usage: ``port = await nursery.start(serve, settings)``, or
    ``await nursery.start(functools.partial(serve, settings, target=fake))``.
    """
    target = target or FakeTarget(settings)
    http = HypercornConfig()
    http.bind = ["127.0.0.1:0"]
    http.graceful_timeout = GRACEFUL_TIMEOUT_S
    http.errorlog = None
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(serve_http, target.app(), http)
        address = binds[0].removeprefix("http://")
        await target.run(address, nursery)
        task_status.started(int(address.rpartition(":")[2]))


def _read_order(body: bytes) -> str:
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return ""
    return str(value.get("order", "")) if isinstance(value, dict) else ""


def main(
    listener: Annotated[
        str, typer.Option(help="host:port of a VM's listener for targets.")
    ],
    target: Annotated[str, typer.Option(help="Name of the target.")] = "gpu-1",
    data_centre: Annotated[str, typer.Option(help="Its data centre.")] = "dc-1",
    model: Annotated[
        str, typer.Option(help="Loaded model, name=version.")
    ] = "ledger=v1",
    service: Annotated[str, typer.Option(help="Name of a plain service.")] = "",
) -> None:
    """Run a fake target until interrupted."""
    name, _, version = model.partition("=")
    settings = FakeTargetSettings(
        target=target,
        data_centre=data_centre,
        listener=listener,
        models={} if service else {name: version},
        service=service,
    )
    trio.run(serve, settings)


if __name__ == "__main__":
    typer.run(main)
