"""Sums of the reports of many entry VMs, with lost, late and repeated ones."""

import random

from hypothesis import given, strategies as st

from vanillabeam.canary.tally import Tally


def report(sent, boot="b-1", failures=0, open_old=0, target="t-1"):
    return {
        "service": "shop",
        "order": 7,
        "boot": boot,
        "new": {
            "r": {
                "sent": sent,
                "answers": sent,
                "failures": failures,
                "slowness": [0, sent - failures],
            }
        },
        "old": {"r": {"sent": 9 * sent, "answers": 0, "failures": 0, "slowness": []}},
        "targets": {target: {"answers": sent, "failures": failures, "slow": [0, sent]}},
        "open_old": open_old,
    }


# Guards against evidence that is lost when entry VMs restart: their counts begin at 0.
def test_the_sum_over_70_vms_keeps_the_counts_of_restarted_processes():
    rng = random.Random(4)
    tally = Tally()
    expected = failures = 0
    messages = []
    for vm in range(70):
        for boot in range(rng.randint(1, 3)):
            sent = 0
            for _ in range(rng.randint(1, 6)):
                sent += rng.randint(0, 5)
                messages.append((f"e-{vm}", report(sent, f"b-{vm}-{boot}", sent // 3)))
            expected += sent
            failures += sent // 3
    for number, (vm, message) in enumerate(messages):
        tally.update(vm, message, float(number))
    sums = tally.sums()
    assert sums.all_new.sent == expected
    assert sums.all_new.failures == failures
    assert sums.targets["t-1"].answers == expected
    assert sum(of["r"].sent for of in sums.vms.values()) == expected


# Guards against counts that fall, or count twice, as reports are lost or overtaken.
@given(
    st.lists(st.integers(0, 30), min_size=1, max_size=8),
    st.lists(st.integers(0, 30), min_size=1, max_size=8),
    st.randoms(use_true_random=False),
)
def test_the_sum_does_not_depend_on_lost_late_or_repeated_reports(first, second, rng):
    messages = []
    for boot, counts in (("b-1", sorted(first)), ("b-2", sorted(second))):
        messages += [report(count, boot) for count in counts]
    delayed = messages + rng.choices(messages, k=4)
    rng.shuffle(delayed)
    tally = Tally()
    for number, message in enumerate(delayed):
        tally.update("e-1", message, float(number))
    assert tally.sums().all_new.sent == max(first) + max(second)


def test_what_was_counted_since_a_time_is_the_difference():
    tally = Tally()
    tally.update("e-1", report(10, failures=2), 1.0)
    earlier = tally.sums()
    tally.update("e-1", report(25, failures=9), 2.0)
    since = tally.sums().minus(earlier)
    assert (since.all_new.answers, since.all_new.failures) == (15, 7)


# Guards against a rollout that completes while an entry VM still sends requests to the
# old targets: it reported before it knew of the shift, or not at all.
def test_old_targets_are_drained_once_all_vms_say_so_after_the_shift():
    tally = Tally()
    vms = ["e-1", "e-2"]
    tally.update("e-1", report(3), 5.0, index=9)
    assert not tally.is_drained(vms, since_s=4.0, index=9)
    tally.update("e-2", report(3), 5.0, index=8)
    assert not tally.is_drained(vms, since_s=4.0, index=9)
    tally.update("e-2", report(4, open_old=1), 6.0, index=9)
    assert not tally.is_drained(vms, since_s=4.0, index=9)
    tally.update("e-2", report(4), 7.0, index=9)
    assert tally.is_drained(vms, since_s=4.0, index=9)
    assert not tally.is_drained(vms, since_s=6.0, index=9)


def test_requests_open_in_a_process_that_has_ended_are_open_no_more():
    tally = Tally()
    tally.update("e-1", report(3, "b-1", open_old=5), 5.0)
    tally.update("e-1", report(1, "b-2", open_old=1), 6.0)
    tally.update("e-1", report(4, "b-1", open_old=5), 7.0)
    assert tally.sums().open_old == 1
    assert tally.sums().all_new.sent == 5
