"""Rollouts of weights on real processes, with few faults or none."""

import random
from collections import Counter

import trio

from tests.soak.checks import check
from tests.soak.fleet import SMALL, running_fleet
from tests.soak.known import KNOWN_S, check_known
from tests.soak.proxy import running_proxy
from tests.soak.rollouts import cut_from_core
from tests.soak.scenario import Scenario
from tests.soak.touch import CONTACT_S
from tests.soak.versions import ALL_S, check_weights

#: Seconds of a cut, longer than a target may be silent, and when a version is named.
CUT_S = 7.0
NAMED_SHARE = 0.8


# Guards against targets that a control VM drops as silent while it is cut off from the
# one that they call, and never lists again: they get no order to load new weights.
def test_targets_of_a_control_vm_that_was_cut_off_get_new_weights(tmp_path):
    findings = trio.run(play_cut, tmp_path)
    assert findings == [], "\n".join(["findings:", *findings])


async def play_cut(folder):
    """Cut the control VM that most targets call; return the findings."""
    rng = random.Random(1)
    with running_proxy() as proxy:
        options = {"rng": rng, "proxy": proxy.address}
        async with (
            trio.open_nursery() as nursery,
            running_fleet(folder, SMALL, **options) as fleet,
        ):
            run = Scenario(fleet, proxy, nursery, rng)
            await run.start()
            targets = run.targets.targets.values()
            ((host, _),) = Counter(target.host for target in targets).most_common(1)
            (name,) = [vm.name for vm in fleet.controls if vm.host == host]
            await cut_from_core(run, name, CUT_S, NAMED_SHARE)
            healed_s = trio.current_time()
            await trio.sleep(KNOWN_S)
            await check_known(run)
            await trio.sleep_until(healed_s + CONTACT_S + ALL_S)
            check_weights(run.history)
            findings = check(run.history, fleet.ends)
            nursery.cancel_scope.cancel()
    return findings
