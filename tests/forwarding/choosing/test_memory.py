"""Free memory of targets, with many entry VMs that see it at the same moment.

Load reports arrive late. If entry VMs ignored what the others may have sent
meanwhile, all of them would fill the same target.
"""

from tests.fleet.builders import make_target
from vanillabeam.fleet import Engine
from vanillabeam.forwarding.choosing.load import Load
from vanillabeam.forwarding.choosing.memory import MemoryDemand, with_free_memory
from vanillabeam.forwarding.choosing.openwork import REPORT_DELAY_S

ENGINE = Engine(slots=64, kv_tokens=100_000)
PROMPT = MemoryDemand(rank=1, tokens=12_000)
ENTRIES = 9
TARGETS = [make_target("t")]


def fits(load, demand=PROMPT, entries=ENTRIES, now_s=0.0):
    return with_free_memory(TARGETS, ENGINE, demand, load, entries, now_s) == TARGETS


def send(load, now_s=0.0, demand=PROMPT):
    return load.record_start("t", demand.rank, 100, now_s, memory_tokens=demand.tokens)


def tokens_sent_before_report(entries):
    """Return the memory that all entry VMs take before the first load report."""
    total = 0
    for _ in range(entries):
        load = Load()
        for step in range(3):
            while fits(load, entries=entries, now_s=step * REPORT_DELAY_S / 3):
                send(load, now_s=step * REPORT_DELAY_S / 3)
                total += PROMPT.tokens
    return total


def test_all_entry_vms_together_do_not_overfill_a_target_that_becomes_free():
    assert tokens_sent_before_report(ENTRIES) <= 1.2 * ENGINE.kv_tokens


def test_a_vm_alone_fills_a_target_to_its_limit():
    assert tokens_sent_before_report(1) == 7 * PROMPT.tokens


def test_reported_load_is_not_counted_twice():
    load = Load()
    send(load)
    assert not fits(load, now_s=REPORT_DELAY_S / 2)
    assert fits(load, now_s=REPORT_DELAY_S)


def test_other_entry_vms_are_assumed_to_send_as_much_as_this_one():
    load = Load()
    send(load)
    assert load.unreported_load("t", ENTRIES, REPORT_DELAY_S / 2) == (
        800,
        8 * PROMPT.tokens,
    )
    assert load.unreported_load("other", ENTRIES, REPORT_DELAY_S / 2) == (0, 0)
    assert load.unreported_load("t", 1, REPORT_DELAY_S / 2) == (0, 0)
    assert load.unreported_load("t", ENTRIES, REPORT_DELAY_S) == (0, 0)


def test_less_urgent_prompts_leave_memory_for_urgent_ones():
    load = Load()
    send(load, demand=MemoryDemand(0, 70_000))
    assert fits(load, MemoryDemand(0, 20_000), entries=1)
    assert not fits(load, MemoryDemand(5, 20_000), entries=1)


def test_a_prompt_larger_than_the_limit_goes_to_an_empty_target():
    assert fits(Load(), MemoryDemand(9, 95_000))
