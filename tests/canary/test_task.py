"""The shell on control VMs: orders and their answers, decisions of the leader."""

import time
from math import inf, nan

import msgspec
import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from vanillabeam.canary.ages import RolloutAges
from vanillabeam.canary.capacity import VersionTarget
from vanillabeam.canary.messages import RolloutReply
from vanillabeam.canary.plan import Exposure
from vanillabeam.canary.records import Step
from vanillabeam.canary.state import apply_rollout, make_order, make_step
from vanillabeam.canary.task import RolloutTask
from vanillabeam.log.exceptions import NoLeader, OutcomeUnknown, Overtaken

OLD = [VersionTarget(f"o-{i}", "v1", 6, "a", True) for i in range(4)]
NEW = [VersionTarget(f"n-{i}", "v2", 6, "a", True) for i in range(4)]


class FakeLog:
    """A log that commits at once; failures of its calls are played.

    :ivar failures: next results of ``propose`` in place of a commit.
    :ivar hidden: next commits whose results are replaced by a failure.
    """

    def __init__(self):
        self.is_leader = True
        self.applied = 3
        self.known = {}
        self.failures = []
        self.hidden = []
        self.reads = Success(3)
        self.on_change = lambda: None

    def index(self):
        return self.applied

    def rollouts(self):
        return self.known

    async def confirm(self):
        return self.reads

    async def propose(self, change, after=None):
        await trio.sleep(0.01)
        if self.failures:
            return Failure(self.failures.pop(0))
        self.apply(change)
        return Failure(self.hidden.pop(0)) if self.hidden else Success(None)

    def apply(self, change):
        self.applied += 1
        self.known = apply_rollout(self.known, change, self.applied)
        self.on_change()


class FakeTargets:
    def __init__(self):
        self.targets = OLD

    def knows(self, service):
        return service in ("shop", "cart")

    def listed(self, service, now_s):
        return self.targets

    def entry_vms(self, now_s):
        return ["e-1"]


class Setup:
    def __init__(self, share=0.1):
        self.log, self.targets = FakeLog(), FakeTargets()
        self.is_paused = False
        self.task = RolloutTask(
            self.log, self.targets, Exposure(share, 50.0), lambda now_s: self.is_paused
        )
        self.log.on_change = self.task.observe

    async def start(self, *order):
        return await self.task.start(*(order or ("shop", "v2", 12.0)))


def run(main, *args):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *args, clock=clock)


def start(*order, setup=None):
    return run((setup or Setup()).start, *order)


def failure(result):
    assert isinstance(result, Failure), result
    return (result.failure().type, int(result.failure().status))


def test_an_order_is_committed_and_answered_with_its_record():
    setup = Setup()
    record = start(setup=setup).unwrap()
    assert (record["order"], record["step"]) == (4, Step.WAITING)
    assert setup.log.known["shop"] == record


@pytest.mark.parametrize("duration_s", [0, -1, inf, nan, 86_401])
def test_a_duration_that_is_not_positive_or_over_a_day_is_refused(duration_s):
    setup = Setup()
    answer = start("shop", "v2", duration_s, setup=setup)
    assert failure(answer) == ("duration-invalid", 400)
    assert setup.log.known == {}


def test_orders_that_have_no_meaning_are_refused():
    assert failure(start("none", "v2", 12.0)) == ("unknown-service", 404)
    assert failure(start("", "v2", 12.0)) == ("unknown-service", 404)
    assert failure(start("shop", "", 12.0)) == ("version-missing", 400)
    assert failure(start(setup=Setup(share=0.0))) == ("rollouts-disabled", 404)


# Guards against an accepted order whose answer was lost and that is refused the
# second time: its operator would take it as not accepted.
@pytest.mark.parametrize("is_ended", [False, True])
def test_a_repeated_order_is_acknowledged_again(is_ended):
    setup = Setup()

    async def main():
        first = (await setup.start()).unwrap()
        if is_ended:
            record = setup.log.known["shop"]
            setup.log.apply(make_step(record, Step.ROLLED_BACK, 0.0, "bad"))
        setup.targets.knows = lambda service: False
        return first["order"], (await setup.start()).unwrap()["order"]

    assert run(main) == (4, 4)


def test_another_running_rollout_of_the_service_is_a_conflict():
    setup = Setup()

    async def main():
        await setup.start()
        other = await setup.start("shop", "v3", 12.0)
        cart = await setup.start("cart", "v3", 12.0)
        return failure(other), cart.unwrap()["to"]

    assert run(main) == (("rollout-running", 409), "v3")


# Guards against a definite refusal of an order that may have been committed.
def test_an_order_that_was_committed_without_a_reply_is_accepted():
    setup = Setup()
    setup.log.hidden = [OutcomeUnknown()]
    assert start(setup=setup).unwrap()["order"] == 4


def test_an_order_is_proposed_again_where_the_log_went_on_meanwhile():
    setup = Setup()
    setup.log.failures = [Overtaken()]
    assert start(setup=setup).unwrap()["order"] == 4


def test_without_a_quorum_an_order_has_no_definite_answer():
    setup = Setup()
    setup.log.reads = Failure(NoLeader())
    assert failure(start(setup=setup)) == ("rollout-unconfirmed", 503)
    setup = Setup()
    setup.log.failures = [OutcomeUnknown(), OutcomeUnknown()]
    assert failure(start(setup=setup)) == ("rollout-unconfirmed", 503)


def test_an_order_that_the_log_never_answers_is_given_up():
    setup = Setup()
    setup.log.confirm = trio.sleep_forever
    assert failure(start(setup=setup)) == ("rollout-unconfirmed", 503)


# Guards against a copy of an order that lay in a socket while the process was paused.
def test_an_order_that_is_read_after_a_pause_is_sent_to_another_vm():
    setup = Setup()
    setup.is_paused = True
    assert failure(start(setup=setup)) == ("process-paused", 503)
    assert setup.log.known == {}


def test_the_state_is_that_of_the_newest_rollout():
    setup = Setup()

    async def main():
        none = await setup.task.state("shop")
        unknown = await setup.task.state("none")
        await setup.start()
        known = await setup.task.state("shop")
        setup.log.reads = Failure(NoLeader())
        return none, unknown, known, await setup.task.state("shop")

    none, unknown, known, unconfirmed = run(main)
    assert failure(none) == ("no-rollout", 404)
    assert failure(unknown) == ("unknown-service", 404)
    assert known.unwrap()["to"] == "v2"
    assert failure(unconfirmed) == ("rollout-unconfirmed", 503)


def test_the_command_line_starts_rollouts_and_lists_them():
    setup = Setup()

    async def ask(**request):
        reply = await setup.task.handle(msgspec.json.encode(request))
        return reply.map(lambda body: msgspec.json.decode(body, type=RolloutReply))

    async def main():
        order = {"service": "shop", "to": "v2", "duration_s": 12}
        started = (await ask(service="", start=order)).unwrap()
        listed = (await ask(service="")).unwrap()
        assert started == listed
        assert failure(await ask(service="cart")) == ("no-rollout", 404)
        wrong = order | {"duration_s": 0}
        answer = await ask(service="", start=wrong | {"service": "cart"})
        assert failure(answer) == ("duration-invalid", 400)
        return listed["rollouts"]["shop"]["step"]

    assert run(main) == "waiting"


def report(sent, failures=0, order=4, boot="b"):
    counts = {
        "sent": sent,
        "answers": sent,
        "failures": failures,
        "slowness": [0, 0, 0, 0, sent - failures],
    }
    old = counts | {"sent": 500, "answers": 500, "failures": 5}
    return {
        "service": "shop",
        "order": order,
        "boot": boot,
        "new": {"r": counts},
        "old": {"r": old | {"slowness": [0, 0, 0, 0, 495]}},
        "targets": {},
        "open_old": 0,
    }


async def decide(setup, seconds, reports):
    """Run the task for some time; entry VMs report each tenth of a second."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(setup.task.run)
        for number in range(round(10 * seconds)):
            for vm, make in reports.items():
                now_s = trio.current_time()
                setup.task.update(vm, make(number), now_s, setup.log.applied)
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


def test_the_leader_takes_a_good_version_to_its_completion():
    setup = Setup()
    setup.targets.targets = OLD + NEW
    steps = []

    def record_step():
        setup.task.observe()
        steps.append(str(setup.log.known["shop"]["step"]))

    setup.log.on_change = record_step

    async def main():
        await setup.start()
        await decide(setup, 12, {"e-1": report})
        return setup.log.known["shop"]["step"]

    assert run(main) == Step.COMPLETE
    assert list(dict.fromkeys(steps)) == ["waiting", "trial", "shift", "complete"]


def test_the_leader_rolls_a_bad_version_back_at_once():
    setup = Setup()
    setup.targets.targets = OLD + NEW

    async def main():
        await setup.start()
        await decide(
            setup,
            2,
            {vm: lambda number: report(number, number) for vm in ("e-1", "e-2")},
        )
        return setup.log.known["shop"]

    record = run(main)
    assert (record["step"], record["reason"]) == (Step.ROLLED_BACK, "bad")
    assert "failures" in record["evidence"]


def test_other_vms_than_the_leader_decide_nothing():
    setup = Setup()
    setup.targets.targets = OLD + NEW
    setup.log.is_leader = False

    async def main():
        await setup.start()
        await decide(setup, 13, {})
        return setup.log.known["shop"]["step"]

    assert run(main) == Step.WAITING


# Guards against a rollback for missing targets by a leader that has just started and
# knows only some of them.
def test_a_leader_that_may_miss_targets_decides_nothing():
    setup = Setup()
    setup.targets.targets = None

    async def main():
        await setup.start()
        await decide(setup, 13, {})
        return setup.log.known["shop"]["step"]

    assert run(main) == Step.WAITING


# Guards against evidence of an earlier rollout that is taken for this one's.
def test_reports_on_another_order_do_not_count():
    setup = Setup()

    async def main():
        await setup.start()
        setup.task.update("e-1", report(40, 40, order=3), trio.current_time())
        return setup.task.sums()["shop"].all_new.sent

    assert run(main) == 0


def test_an_order_to_the_version_of_all_targets_completes():
    setup = Setup()
    setup.targets.targets = NEW

    async def main():
        await setup.start()
        await decide(setup, 1, {})
        return setup.log.known["shop"]["step"]

    assert run(main) == Step.COMPLETE


# Guards against a rollout that is never due, or due at once, on a VM that has read its
# order from disk: it takes the age from the time of day.
def test_the_age_of_a_restored_order_is_taken_from_the_time_of_day():
    now_ms = 1000 * time.time()
    rollouts = apply_rollout({}, make_order("shop", "v2", 12.0, int(now_ms) - 5_000), 4)
    ages = RolloutAges(born_ms=now_ms)
    ages.observe(rollouts, 4, 100.0, now_ms)
    assert ages.age_s(rollouts["shop"], 101.0) == pytest.approx(6.0, abs=0.01)
    ages = RolloutAges(born_ms=now_ms - 60_000)
    ages.observe(rollouts, 9, 100.0, now_ms)
    assert ages.age_s(rollouts["shop"], 101.0) == pytest.approx(6.0, abs=0.01)


# Guards against a wrong clock of another VM: an order that is applied live begins when
# it is applied.
def test_the_age_of_a_live_order_does_not_depend_on_the_time_of_day():
    now_ms = 1000 * time.time()
    rollouts = apply_rollout({}, make_order("shop", "v2", 12.0, int(now_ms) - 5_000), 4)
    ages = RolloutAges(born_ms=now_ms - 60_000)
    ages.observe(rollouts, 4, 100.0, now_ms)
    ages.observe(rollouts, 6, 103.0, now_ms + 90_000)
    assert ages.age_s(rollouts["shop"], 104.0) == 4.0
    assert ages.step_since(rollouts["shop"]) == (100.0, 4)
