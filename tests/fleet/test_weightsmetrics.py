"""Metrics of a control VM on the weights of its targets."""

from types import SimpleNamespace

import trio
import trio.testing

from bench.rollout_model import StandInControl, StandInTarget
from tests.fleet.builders import make_target
from vanillabeam.counters import Counters
from vanillabeam.fleetgauges import add_weights_gauges


def test_targets_on_older_weights_are_counted_with_the_age_of_the_newest():
    async def main():
        targets = [
            make_target(f"t-{n}", versions={"m": v}, address=f"10.0.0.{n}:80")
            for n, v in enumerate((1, 1, 2))
        ]
        control = StandInControl([StandInTarget(each) for each in targets])
        control.name("m", 2)
        await trio.sleep(7.0)
        vm = SimpleNamespace(counters=Counters())
        add_weights_gauges(vm.counters, control)
        return vm.counters.text().decode()

    clock = trio.testing.MockClock(autojump_threshold=0)
    text = trio.run(main, clock=clock)
    assert 'vanillabeam_targets_behind{model="m"} 2.0' in text
    assert 'vanillabeam_weights_age_seconds{model="m"} 7.0' in text
    assert 'vanillabeam_weights_targets{model="m",version="1"} 2.0' in text
