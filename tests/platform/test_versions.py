"""Rollouts of a service to another software version, before several entry VMs."""

import json
import random
from functools import partial

import trio
from typer.testing import CliRunner

from tests.platform.builders import make_document
from tests.platform.standin import Worker, running_platform, send_answer, wait_until
from vanillabeam.canary.records import is_running
from vanillabeam.cli import app

ENTRIES = 3
WORKERS = 4
#: Callers' requests a second, evenly over the entry VMs.
REQUESTS_S = 45.0
DURATION_S = 10.0
#: Time that each request takes at a worker.
RUN_S = 0.02
#: What operators ask for: see docs/design/exposure.md.
BOUNDS = {"expose_share": 0.1, "expose_slack": 50, "rollback_ms": 5000}
BAD_RESPONSES, ROLLBACK_S = 50, 5.0
#: Longest time from the end of a rollout until it is read, on a busy machine.
READ_S = 5.0
ORDER = {"service": "app", "to": "v2", "duration_s": DURATION_S}


class VersionWorker(Worker):
    """A worker of some version that may fail a share of its requests.

    :ivar arrivals_s: times at which requests came.
    :ivar bad_s: times at which requests failed.
    """

    def __init__(self, name, version, failures=0.0):
        super().__init__(name)
        self.software = version
        self.failures = failures
        self.arrivals_s = []
        self.bad_s = []
        self._scope = trio.CancelScope()
        self._rng = random.Random(name)

    @property
    def script(self):
        return [self._answer]

    @script.setter
    def script(self, answers):
        """Ignore the answers of the base class: all requests are answered alike."""

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        with self._scope:
            await super().run(task_status=task_status)

    def stop(self):
        """Stop at once, with all requests that run."""
        self._scope.cancel()

    async def _answer(self, headers, send):
        self.arrivals_s.append(trio.current_time())
        await trio.sleep(RUN_S)
        is_bad = self._rng.random() < self.failures
        if is_bad:
            self.bad_s.append(trio.current_time())
        await send_answer(send, 500 if is_bad else 200, b"{}", headers)


class Run:
    """A rollout under load.

    :ivar states: state by the operator's API, with the time, at each change.
    :ivar why: reason and evidence of its end.
    :ivar statuses: time of each request and status of its answer.
    """

    def __init__(self, platform):
        self.platform = platform
        self.old = [VersionWorker(f"o-{i}", "v1") for i in range(WORKERS)]
        self.new = []
        self.states = []
        self.statuses = []

    async def play(self, failures, after_s):
        """Roll out workers of which a share of the answers are failures."""
        platform = self.platform
        for number in range(1, ENTRIES):
            await platform.start_entry(number)
        await platform.call_control("POST", "/api/Config.Put", make_document())
        for worker in self.old:
            await platform.add_worker(worker, service="app", version="v1")
        async with trio.open_nursery() as nursery:
            for entry in range(ENTRIES):
                await platform.wait_ready(entry)
                nursery.start_soon(self._call_forever, entry)
            await trio.sleep(1.0)
            await self._order()
            self.ordered_s = trio.current_time()
            self.new = [VersionWorker(f"n-{i}", "v2", failures) for i in range(WORKERS)]
            for worker in self.new:
                await platform.add_worker(worker, service="app", version="v2")
            nursery.start_soon(self._watch_end)
            await self._watch()
            if self.states[-1] == "complete":
                for worker in self.old:
                    worker.stop()
                    del platform.workers[worker.name]
            await trio.sleep(after_s)
            nursery.cancel_scope.cancel()

    async def _order(self):
        for _ in range(2):
            res = await self.platform.call_control("POST", "/api/Rollouts.Start", ORDER)
            assert res.status == 200, res.content

    async def _watch(self):
        with trio.fail_after(DURATION_S + READ_S):
            while not self.states or self.states[-1] == "running":
                res = await self.platform.call_control("GET", "/api/Rollouts.Get/app")
                document = json.loads(res.content)
                assert (res.status, document["to"]) == (200, "v2")
                if self.states[-1:] != [document["state"]]:
                    self.states.append(document["state"])
                await trio.sleep(0.1)

    async def _watch_end(self):
        """Record when the end of the rollout is in force on a control VM.

        A read by the API may take seconds where the machine is busy.
        """
        controls = [vm.control for vm, _ in self.platform.vms.values() if vm.control]
        while True:
            await trio.sleep(0.02)
            records = [c.machine.state["rollouts"]["app"] for c in controls]
            if not all(map(is_running, records)):
                self.ended_s = trio.current_time()
                self.why = "{reason}: {evidence}".format_map(records[0])
                return

    async def _call_forever(self, entry):
        rng = random.Random(entry)
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(rng.expovariate(REQUESTS_S / ENTRIES))
                nursery.start_soon(self._call, entry)

    async def _call(self, entry):
        at_s = trio.current_time()
        answer = await self.platform.send_request(entry=entry)
        self.statuses.append((at_s, answer.status))

    def arrivals(self, workers, since_s=0.0):
        """Return the number of requests that came to some workers."""
        return sum(at_s >= since_s for w in workers for at_s in w.arrivals_s)


def play(folder, failures, after_s=1.5):
    async def main():
        async with running_platform(folder, bounds=BOUNDS) as platform:
            run = Run(platform)
            await run.play(failures, after_s)
            return run

    return trio.run(main)


# Guards against a sound version that is not completed in time, or whose completion
# costs requests when the old workers stop without draining.
def test_a_good_version_is_completed_and_no_request_is_lost(tmp_path):
    run = play(tmp_path, failures=0.0)
    assert run.states == ["running", "complete"], run.why
    assert run.ended_s - run.ordered_s <= DURATION_S + 0.2
    assert {status for _, status in run.statuses} == {200}
    # Every one of the new workers takes its part of all requests.
    assert all(run.arrivals([worker], run.ended_s) for worker in run.new)


# Guards against a bad version that receives more than the operators allow, or anything
# after its rollback.
def test_a_bad_version_is_rolled_back_within_its_bounds(tmp_path):
    run = play(tmp_path, failures=0.5)
    assert run.states == ["running", "rolled_back"], run.why
    new = run.arrivals(run.new, run.ordered_s)
    total = new + run.arrivals(run.old, run.ordered_s)
    assert new <= BOUNDS["expose_share"] * total + BOUNDS["expose_slack"]
    bad_s = sorted(at_s for worker in run.new for at_s in worker.bad_s)
    if len(bad_s) >= BAD_RESPONSES:
        limit_s = bad_s[BAD_RESPONSES - 1] + ROLLBACK_S
        assert run.arrivals(run.new, limit_s) == 0
    # Entry VMs learn of the rollback within their poll of a control VM.
    assert run.arrivals(run.new, run.ended_s + 1.0) == 0
    # Requests that went to the old workers were all served.
    assert not any(worker.bad_s for worker in run.old)
    late = [status for at_s, status in run.statuses if at_s > run.ended_s + 1.0]
    assert late
    assert set(late) == {200}


async def call(platform, method, path, document=None):
    """Return the status of a call, also of a server error."""
    body = b"" if document is None else json.dumps(document).encode()
    url = f"http://{platform.hosts[0]}:{platform.control_port}{path}"
    return (await platform.pool.request(method, url, content=body)).status


# Guards against answers that end an operator's call, or have it retried, by mistake.
def test_each_outcome_of_an_operators_call_has_its_status(tmp_path):
    async def main():
        async with running_platform(tmp_path, bounds=BOUNDS) as platform:
            start, get = "/api/Rollouts.Start", "/api/Rollouts.Get"
            await platform.call_control("POST", "/api/Config.Put", make_document())
            await platform.wait_ready()
            assert await call(platform, "GET", f"{get}/app") == 404
            assert await call(platform, "GET", f"{get}/none") == 404
            for changes in (
                {"duration_s": 0},
                {"duration_s": -1},
                {"duration_s": 90_000},
                {"duration_s": "soon"},
                {"to": ""},
                {"to": 2},
            ):
                assert await call(platform, "POST", start, ORDER | changes) == 400
            assert await call(platform, "POST", start, {"service": "app"}) == 400
            assert await call(platform, "POST", start, ORDER | {"service": "x"}) == 404
            assert await call(platform, "POST", start, ORDER) == 200
            assert await call(platform, "POST", start, ORDER) == 200
            assert await call(platform, "POST", start, ORDER | {"to": "v3"}) == 409
            assert await call(platform, "GET", f"{get}/app") == 200
            for name in [name for name in platform.vms if name.startswith("core")][1:]:
                platform.kill(name)
            assert (
                await call(platform, "POST", start, ORDER | {"service": "llm"}) == 503
            )
            assert await call(platform, "GET", f"{get}/app") == 503

    trio.run(main)


def test_an_operator_starts_and_watches_a_rollout_by_the_command_line(tmp_path):
    runner = CliRunner()

    async def run_command(platform, *words):
        address = ["--address", f"127.0.0.2:{platform.peer_port}"]
        arguments = ["rollout", *words, *address]
        return await trio.to_thread.run_sync(runner.invoke, app, arguments)

    async def main():
        async with running_platform(tmp_path, bounds=BOUNDS) as platform:
            await platform.call_control("POST", "/api/Config.Put", make_document())
            await platform.wait_ready()
            run = partial(run_command, platform)
            none = await run("state", "app")
            assert none.exit_code == 1
            assert "no-rollout" in none.stderr
            unknown = await run("start", "none", "v2", "--within", "10")
            assert unknown.exit_code == 1
            assert "unknown-service" in unknown.stderr
            for seconds in ("0", "-1", "86401", "nan", "inf", "soon"):
                wrong = await run("start", "app", "v2", "--within", seconds)
                assert wrong.exit_code == 2, seconds
            started = await run("start", "app", "v2", "--within", "60", "--json")
            assert started.exit_code == 0, started.output
            record = json.loads(started.stdout)["rollouts"]["app"]
            assert (record["to"], record["step"]) == ("v2", "waiting")
            again = await run("start", "app", "v2", "--within", "60", "--json")
            assert json.loads(again.stdout)["rollouts"]["app"] == record
            other = await run("start", "app", "v3", "--within", "60")
            assert other.exit_code == 1
            assert "rollout-running" in other.stderr
            for words in (["state"], ["state", "app"]):
                shown = await run(*words)
                assert shown.exit_code == 0
                assert "waiting" in shown.stdout
                assert "v2" in shown.stdout
            known = await run("state", "--json")
            assert json.loads(known.stdout)["rollouts"] == {"app": record}
            front = platform.vms["front"][0].follower
            await wait_until(lambda: "app" in front.view.rollouts)

    trio.run(main)


# Guards against a fleet whose settings have no bounds, and that takes orders which
# nothing would keep.
def test_without_bounds_orders_are_refused(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await platform.call_control("POST", "/api/Config.Put", make_document())
            await platform.wait_ready()
            assert await call(platform, "POST", "/api/Rollouts.Start", ORDER) == 404

    trio.run(main)
