"""Times of plain calls, as a request records them for the choice of later ones."""

import pytest

from tests.forwarding.exchanges import EntryVm, Reply, play


def answer(monkeypatch, *replies):
    """Return the sums of one VM after its only target has given some answers."""
    vm = EntryVm(monkeypatch, ("t-0",))

    async def main():
        vm.announce()
        vm.replies["t-0"] = list(replies)
        for _ in replies:
            await vm.request()
        return vm.chooser.load.capacity.own(0.5)["ended"]

    return play(main)


def test_an_answered_call_shows_the_speed_of_its_target(monkeypatch):
    vms, answers, _, _, calls = answer(monkeypatch, Reply(after_s=0.2))["t-0"]
    assert (vms, answers, calls) == (1, 1, 1)


# Guards against targets that look fast as they answer at once with a failure.
@pytest.mark.parametrize("status", [404, 429, 500])
def test_a_failure_shows_none(monkeypatch, status):
    assert answer(monkeypatch, Reply(status)) == {}
