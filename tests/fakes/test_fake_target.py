import contextlib
import functools

import httpcore
import msgspec
import trio

from bench.fake_target import FakeTarget, FakeTargetSettings, Faults, serve


def run_with(settings, scenario):
    """Run ``scenario(fake, call)`` against a fake target served on loopback."""

    async def main():
        fake = FakeTarget(settings)
        start = functools.partial(serve, settings, target=fake)
        async with (
            httpcore.AsyncConnectionPool() as pool,
            trio.open_nursery() as nursery,
        ):
            port = await nursery.start(start)

            async def call(method, path, body=None, **headers):
                content = None if body is None else msgspec.json.encode(body)
                names = {k.replace("_", "-"): v for k, v in headers.items()}
                url = f"http://127.0.0.1:{port}{path}"
                return await pool.request(method, url, content=content, headers=names)

            await scenario(fake, call)
            nursery.cancel_scope.cancel()

    trio.run(main)


def prompt(tokens=3):
    return {"model": "m", "prompt": "count", "max_tokens": tokens}


def test_a_stream_has_numbered_events_and_can_be_resumed():
    async def scenario(fake, call):
        complete = await call(
            "POST", "/v1/completions", prompt(), vanillabeam_run_id="r"
        )
        events = complete.content.split(b"\n\n")
        assert [e.split(b"\n")[0] for e in events[:4]] == [
            b"id: %d" % n for n in range(1, 5)
        ]
        rest = await call("GET", "/runs/r?after=2")
        assert rest.content == b"\n\n".join(events[2:])

    run_with(FakeTargetSettings(), scenario)


def test_a_cold_engine_restarts_when_overloaded():
    async def scenario(fake, call):
        async def quietly():
            with contextlib.suppress(httpcore.RemoteProtocolError):
                await call("POST", "/v1/completions", prompt())

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(quietly)
        assert fake.engine.overload_restarts == 1
        assert fake.engine.boot_id == "t1-boot2"

    run_with(FakeTargetSettings(cold_capacity=2, decode_tokens_s=20.0), scenario)


def test_prefix_cache_matches_only_under_its_salt():
    async def scenario(fake, call):
        async def cached(salt):
            reply = await call(
                "POST",
                "/v1/completions",
                {**prompt(), "prompt": "x" * 80},
                vanillabeam_blocks="a,b",
                vanillabeam_cache_salt=salt,
            )
            last = reply.content.split(b"data: ")[-2].split(b"\n")[0]
            usage = msgspec.json.decode(last)["usage"]
            return usage["prompt_tokens_details"]["cached_tokens"]

        tokens = [await cached(salt) for salt in ("s1", "s1", "s2")]
        assert tokens == [0, 16, 0]

    run_with(FakeTargetSettings(block_tokens=8), scenario)


def test_old_fencing_number_is_refused_or_ignored():
    order = {"role": "serving", "models": {"m": {"version": "v1"}}, "adapters": {}}

    async def statuses(call):
        replies = [
            await call("PUT", "/order", {**order, "index": index}) for index in (5, 4)
        ]
        return [msgspec.json.decode(r.content)["status"] for r in replies]

    async def checked(fake, call):
        assert await statuses(call) == ["obeyed", "stale"]

    async def ignored(fake, call):
        assert await statuses(call) == ["obeyed", "obeyed"]

    run_with(FakeTargetSettings(checks_fencing=True), checked)
    run_with(FakeTargetSettings(checks_fencing=False), ignored)


def test_a_service_counts_executions_and_deduplicates_by_idempotency_key():
    async def scenario(fake, call):
        for key in ("k1", "k1", "k2"):
            await call(
                "POST", "/services/refunds/pay", {"order": 7}, idempotency_key=key
            )
        assert fake.executions == {"key:k1": 1, "key:k2": 1, "order:7": 2}

    run_with(FakeTargetSettings(service="refunds"), scenario)


def test_a_refusal_states_that_nothing_was_run():
    async def scenario(fake, call):
        fake.engine.faults = Faults(refuse="loading")
        reply = await call("POST", "/v1/completions", prompt())
        assert reply.status == 503
        assert (b"vanillabeam-run", b"not-run") in reply.headers
        assert fake.engine.started == []

    run_with(FakeTargetSettings(), scenario)
