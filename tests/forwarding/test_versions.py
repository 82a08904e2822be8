"""What an entry VM counts of requests to two versions of a service, end to end."""

import pytest
import trio

from tests.canary.builders import make_record
from tests.forwarding.builders import make_prompt
from tests.forwarding.exchanges import REFUSED, RESET, EntryVm, Reply, play
from vanillabeam.canary.counts import bucket
from vanillabeam.canary.records import Step
from vanillabeam.fleet import RouteKind
from vanillabeam.forwarding.choosing.versions import TargetVersions

NEW, OLD = "n-0", "o-0"


class RollingVm(EntryVm):
    """An entry VM in front of one target of each version.

    :ivar record: the rollout in force.
    """

    def __init__(self, monkeypatch, step=Step.SHIFT, share=1.0, **route):
        super().__init__(monkeypatch, (OLD, NEW), **({"attempts": 1} | route))
        versions = TargetVersions(True, self.directory, self.chooser._rng)
        self.chooser.versions = versions
        self.targets = [
            target._replace(software="v2" if target.name == NEW else "v1")
            for target in self.targets
        ]
        self.announce()
        versions.rollouts = lambda: self.rollouts
        self.roll(step, share)

    def roll(self, step, share):
        self.rollouts = {"llm": make_record(step, share, service="llm")}

    def report(self):
        (report,) = self.chooser.versions.reports()
        return report

    def new(self):
        """Return the counts of the new version."""
        return self.report()["new"].get("orders", {})


def test_an_answer_is_counted_with_its_time(monkeypatch):
    async def main():
        vm = RollingVm(monkeypatch)
        vm.replies[NEW] = [Reply(after_s=0.3)]
        await vm.request()
        counts = vm.new()
        assert (counts["sent"], counts["answers"], counts["failures"]) == (1, 1, 0)
        assert counts["slowness"][bucket(0.3)] == 1
        assert vm.report()["targets"][NEW]["answers"] == 1
        assert vm.report()["old"] == {}

    play(main)


@pytest.mark.parametrize("reply", [Reply(500), RESET, Reply(404)])
def test_failures_that_may_have_run_are_counted(monkeypatch, reply):
    async def main():
        vm = RollingVm(monkeypatch)
        vm.replies[NEW] = [reply]
        await vm.request()
        counts = vm.new()
        assert counts["answers"] == 1
        assert counts["failures"] == (reply.status != 404)

    play(main)


# Guards against refusals for lack of room that are held against a version.
def test_refusals_that_say_not_run_are_no_answers(monkeypatch):
    async def main():
        vm = RollingVm(monkeypatch)
        vm.replies[NEW] = [Reply(REFUSED)]
        await vm.request()
        counts = vm.new()
        assert (counts["sent"], counts["answers"], counts["failures"]) == (1, 0, 0)

    play(main)


# Guards against a version that answers nothing and is not found out, as the requests
# end by their time limit.
def test_a_request_without_an_answer_in_time_is_a_failure(monkeypatch):
    async def main():
        vm = RollingVm(monkeypatch)
        vm.replies[NEW] = [Reply(after_s=60.0)]
        await vm.request(limit_s=1.0)
        counts = vm.new()
        assert (counts["sent"], counts["answers"], counts["failures"]) == (1, 1, 1)

    play(main)


def test_a_caller_that_leaves_tells_nothing(monkeypatch):
    async def main():
        vm = RollingVm(monkeypatch)
        vm.replies[NEW] = [Reply(after_s=60.0)]
        with trio.move_on_after(0.5):
            await vm.request(limit_s=4.0)
        assert vm.new()["answers"] == 0

    play(main)


def test_a_prompt_counts_with_its_first_event(monkeypatch):
    async def main():
        vm = RollingVm(monkeypatch, kind=RouteKind.STREAM, resumable=True)
        vm.targets = [each._replace(versions={"m": 1}) for each in vm.targets]
        vm.announce()
        vm.replies[NEW] = [Reply(body=b"id: 1\ndata: x\n\n", after_s=0.2)]
        await vm.request(metadata=make_prompt())
        counts = vm.new()
        assert (counts["answers"], counts["failures"]) == (1, 0)
        assert sum(counts["slowness"]) == 1

    play(main)


# Guards against a completion while a request is open at an old target, which is then
# stopped without draining.
def test_requests_that_are_open_at_old_targets_are_reported(monkeypatch):
    async def main():
        vm = RollingVm(monkeypatch, Step.TRIAL, 0.0)
        vm.replies[OLD] = [Reply(after_s=1.0)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.request)
            await trio.sleep(0.5)
            vm.roll(Step.SHIFT, 1.0)
            assert vm.report()["open_old"] == 1
        assert vm.report()["open_old"] == 0

    play(main)


# Guards against a request that is sent to a version after its rollback, as it waited
# for a connection meanwhile.
def test_a_request_that_waits_for_a_connection_is_not_sent_after_a_rollback(
    monkeypatch,
):
    async def main():
        vm = RollingVm(monkeypatch, attempts=2)
        vm.connect_s = 0.5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.request)
            await trio.sleep(0.2)
            vm.roll(Step.ROLLED_BACK, 0.0)
        assert vm.targets_sent_to() == [OLD]

    play(main)


def test_a_retry_goes_to_the_other_version_only_if_it_is_allowed(monkeypatch):
    async def main():
        vm = RollingVm(monkeypatch, kind=RouteKind.SAFE, attempts=2)
        vm.replies[NEW] = [RESET]
        await vm.request()
        assert vm.targets_sent_to() == [NEW, OLD]
        vm.roll(Step.COMPLETE, 1.0)
        vm.sent.clear()
        vm.announce()
        await trio.sleep(3.0)
        vm.announce()
        await vm.request()
        assert vm.targets_sent_to() == [NEW]

    play(main)


# Guards against a VM that is cut off once all requests go to the new version, and sends
# to it without end though it fails: the leader's rollback doesn't reach this VM.
def test_without_news_old_targets_come_first_once_the_new_version_fails(monkeypatch):
    async def main():
        vm = RollingVm(monkeypatch)
        vm.chooser.versions.news_age_s = lambda: 60.0
        vm.replies[NEW] = [Reply(500)]
        for _ in range(6):
            await vm.request()
            await trio.sleep(1.0)
            vm.announce()
        assert vm.targets_sent_to() == [NEW, NEW, NEW, OLD, OLD, OLD]
        vm.replies[OLD] = [RESET]
        vm.sent.clear()
        await vm.request(kind=RouteKind.SAFE, attempts=2)
        assert vm.targets_sent_to() == [OLD, NEW]

    play(main)


# Guards against a stream that goes on at a version that was rolled back.
def test_a_stream_resumes_at_an_allowed_version_only(monkeypatch):
    broken = Reply(
        headers=((b"content-type", b"text/event-stream"),),
        body=b"id: 1\ndata: x\n\nid: 2",
    )

    async def main():
        options = {"kind": RouteKind.STREAM, "resumable": True, "attempts": 3}
        vm = RollingVm(monkeypatch, Step.ROLLED_BACK, 0.0, **options)
        vm.replies[OLD] = [broken]
        await vm.request()
        assert vm.targets_sent_to() == [OLD]
        vm.sent.clear()
        vm.roll(Step.SHIFT, 1.0)
        vm.replies[NEW] = [broken]
        vm.replies[OLD] = [Reply(body=b"id: 2\ndata: y\n\n")]
        await trio.sleep(3.0)
        vm.announce()
        await vm.request()
        assert vm.targets_sent_to() == [NEW, OLD]

    play(main)
