"""Repeats of a request whose targets answer with errors."""

import pytest

from tests.forwarding.exchanges import REFUSED, RESET, EntryVm, Reply, play
from vanillabeam.fleet import RouteKind

NAMES = ("t-0", "t-1", "t-2", "t-3")


def serve(monkeypatch, replies, entry_vms=("vm-1",), **route):
    """Return the targets that a request was sent to, and the caller's status.

    :param replies: each target's answer, or its status, in the order of the attempts.
    """
    vm = EntryVm(monkeypatch, NAMES, **route)
    vm.entry_vms = entry_vms
    queue = [
        reply if isinstance(reply, Reply) else Reply(reply) for reply in [*replies, 200]
    ]
    vm.replies = dict.fromkeys(NAMES, queue)

    async def main():
        vm.announce()
        return await vm.request()

    result = play(main)
    return vm.targets_sent_to(), result.status


def test_a_safe_request_is_sent_to_another_target_after_an_error(monkeypatch):
    sent, status = serve(monkeypatch, [500, 200], kind=RouteKind.SAFE, attempts=2)
    assert status == 200
    assert sent[0] != sent[1]


def test_no_more_targets_get_a_request_than_its_route_allows(monkeypatch):
    sent, status = serve(monkeypatch, [500, 500, 200], kind=RouteKind.SAFE, attempts=2)
    assert (len(sent), status) == (2, 500)


def test_a_refusal_of_the_last_target_is_not_passed_on_after_a_run(monkeypatch):
    sent, status = serve(monkeypatch, [500, REFUSED], kind=RouteKind.SAFE, attempts=2)
    assert len(set(sent)) == 2
    assert status == 500


# Guards against "not run" for a request that the target before may have run.
def test_a_refusal_is_not_passed_on_if_an_earlier_target_may_have_run(monkeypatch):
    sent, status = serve(monkeypatch, [RESET, REFUSED], kind=RouteKind.SAFE, attempts=2)
    assert len(set(sent)) == 2
    assert status != REFUSED


@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
def test_a_request_that_may_run_once_is_not_repeated(monkeypatch, kind):
    sent, status = serve(monkeypatch, [500, 200], kind=kind, attempts=2)
    assert (len(sent), status) == (1, 500)


def test_retries_draw_on_the_retry_budget(monkeypatch):
    entry_vms = tuple(f"vm-{n}" for n in range(100))
    sent, status = serve(
        monkeypatch, [500, 200], entry_vms, kind=RouteKind.SAFE, attempts=2
    )
    assert (len(sent), status) == (1, 500)
