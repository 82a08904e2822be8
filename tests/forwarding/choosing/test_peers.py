"""Load: the prompts of fifteen entry VMs of a data centre in the same 0.2 s.

The loads that control VMs report are 0.3 s old, longer than a prefill takes, so each VM
sees the same targets idle.
"""

import random

from tests.peerloads.builders import Bus
from vanillabeam.fleet import Target
from vanillabeam.forwarding.choosing.costs import PromptCosts
from vanillabeam.forwarding.choosing.load import Load
from vanillabeam.forwarding.choosing.ordering import TargetOrder

VMS, TARGETS, TOKENS = 15, 18, 9_000
NEAR = [
    Target(f"t-{n}", 1, 1, "llm", f"10.0.0.{n}:80", "dc-a", 12) for n in range(TARGETS)
]
FAR = [
    Target(f"u-{n}", 1, 1, "llm", f"10.0.1.{n}:80", "dc-b", 12) for n in range(TARGETS)
]


def prompt(number):
    return PromptCosts(f"part-{number}", TOKENS, 0, {}, False, 0, TOKENS, frozenset())


def send_all(loads, rng, targets=NEAR):
    """Send one prompt from each VM in turn; return the busiest target's prompts."""
    sent = {}
    for number, load in enumerate(loads):
        order = TargetOrder("dc-a", rng)
        costs = prompt(rng.random())
        target, work = next(order.sort(load, "llm", targets, costs, 60, 1.0))
        load.record_start(target.name, 0, work, 1.0, memory_tokens=TOKENS)
        sent.setdefault(target.name, []).append(number)
    return max(len(numbers) for numbers in sent.values())


def test_no_target_gets_a_second_prompt_while_others_are_idle():
    rng = random.Random(1)
    for _ in range(20):
        bus, loads = Bus(), [Load() for _ in range(VMS)]
        for number, load in enumerate(loads):
            bus.join(f"e-{number}", load)
        assert send_all(loads, rng, NEAR + FAR) == 1


def test_without_the_exchange_prompts_meet_at_one_target():
    rng = random.Random(1)
    busiest = [send_all([Load() for _ in range(VMS)], rng) for _ in range(20)]
    assert sum(busiest) / len(busiest) > 2
