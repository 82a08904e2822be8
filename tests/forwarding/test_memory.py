"""Many entry VMs find room, or nothing to do, at one target at one moment."""

from tests.fleet.builders import make_target
from vanillabeam.fleet import Engine
from vanillabeam.forwarding.load import REPORT_DELAY_S, Load
from vanillabeam.forwarding.memory import MemoryDemand, with_free_memory

ENGINE = Engine(slots=64, kv_tokens=100_000)
PROMPT = MemoryDemand(rank=1, tokens=12_000)
ENTRIES = 9
TARGETS = [make_target("t")]


def fits(load, demand=PROMPT, entries=ENTRIES, now_s=0.0):
    return with_free_memory(TARGETS, ENGINE, demand, load, entries, now_s) == TARGETS


def send(load, now_s=0.0, demand=PROMPT):
    return load.record_start("t", demand.rank, 100, now_s, memory_tokens=demand.tokens)


def sent_before_news(entries):
    """Return the memory that all take until they hear of each other."""
    total = 0
    for _ in range(entries):
        load = Load()
        for look in range(3):
            while fits(load, entries=entries, now_s=look * REPORT_DELAY_S / 3):
                send(load, now_s=look * REPORT_DELAY_S / 3)
                total += PROMPT.tokens
    return total


def test_all_together_fill_a_target_that_turns_free_about_once():
    assert sent_before_news(ENTRIES) <= 1.2 * ENGINE.kv_tokens


def test_a_vm_alone_fills_a_target_to_its_limit():
    assert sent_before_news(1) == 7 * PROMPT.tokens


def test_what_others_have_heard_of_counts_once():
    load = Load()
    send(load)
    assert not fits(load, now_s=REPORT_DELAY_S / 2)
    assert fits(load, now_s=REPORT_DELAY_S)


def test_others_are_taken_to_do_as_this_vm_does():
    load = Load()
    send(load)
    assert load.unreported_load("t", ENTRIES, REPORT_DELAY_S / 2) == (
        800,
        8 * PROMPT.tokens,
    )
    assert load.unreported_load("other", ENTRIES, REPORT_DELAY_S / 2) == (0, 0)
    assert load.unreported_load("t", 1, REPORT_DELAY_S / 2) == (0, 0)
    assert load.unreported_load("t", ENTRIES, REPORT_DELAY_S) == (0, 0)


def test_the_less_urgent_leave_room_to_the_more_urgent():
    load = Load()
    send(load, demand=MemoryDemand(0, 70_000))
    assert fits(load, MemoryDemand(0, 20_000), entries=1)
    assert not fits(load, MemoryDemand(5, 20_000), entries=1)


def test_what_is_larger_than_the_limit_goes_to_an_empty_target():
    assert fits(Load(), MemoryDemand(9, 95_000))
