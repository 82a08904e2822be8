import random

from hypothesis import given, settings, strategies as st

from vanillabeam.admission import (
    FairQueue,
    QueuedRequest,
    ReservedShares,
    RetryBudget,
    WeightedShares,
)
from vanillabeam.config import Priority
from vanillabeam.shares import Share

INTERACTIVE = Priority.INTERACTIVE
BATCH = Priority.BATCH


def make_queue(limit=1000, shares=None):
    shares = shares or {}
    return FairQueue(limit, WeightedShares(lambda name: shares.get(name, Share())))


def wait(key, workspace="a", priority=INTERACTIVE, cost=1.0, deadline_s=100.0):
    return QueuedRequest(key, workspace, priority, cost, deadline_s)


def drain(queue, count):
    return [queue.pop(0.0).workspace for _ in range(count)]


def test_interactive_goes_before_batch():
    queue = make_queue()
    queue.push(wait("b", priority=BATCH))
    queue.push(wait("i"))
    assert queue.pop(0.0).key == "i"
    assert queue.pop(0.0, batch=False) is None
    assert queue.pop(0.0).key == "b"


def test_a_full_queue_sheds_batch_first_then_from_the_workspace_with_most_requests():
    queue = make_queue(limit=3)
    for key, workspace in (("a1", "a"), ("a2", "a")):
        assert queue.push(wait(key, workspace)) == []
    queue.push(wait("b1", "b", BATCH))
    assert [w.key for w in queue.push(wait("c1", "c"))] == ["b1"]
    assert [w.key for w in queue.push(wait("c2", "d"))] == ["a2"]


def test_an_expired_request_is_returned_once():
    queue = make_queue()
    queue.push(wait("late", deadline_s=1.0))
    queue.push(wait("fine", deadline_s=3.0))
    assert [w.key for w in queue.expire(1.0)] == ["late"]
    assert queue.expire(1.0) == []
    assert queue.pop(1.0).key == "fine"


def test_shares_follow_weights_by_cost():
    queue = make_queue(shares={"a": Share(3.0), "b": Share(1.0)})
    for number in range(200):
        queue.push(wait(f"a{number}", "a", cost=10.0))
        queue.push(wait(f"b{number}", "b", cost=10.0))
    served = drain(queue, 100)
    assert 70 <= served.count("a") <= 80


def test_an_idle_workspace_accumulates_no_credit():
    queue = make_queue()
    for number in range(100):
        queue.push(wait(f"a{number}", "a"))
    drain(queue, 50)
    for number in range(100):
        queue.push(wait(f"b{number}", "b"))
    assert drain(queue, 20).count("b") <= 11


def test_a_due_reservation_goes_before_the_fair_share():
    shares = {"small": Share(0.01, reservation_tokens_s=100.0)}
    queue = FairQueue(100, ReservedShares(lambda name: shares.get(name, Share())))
    for number in range(50):
        queue.push(wait(f"big{number}", "big", cost=100.0))
        queue.push(wait(f"small{number}", "small", cost=100.0))
    served = [queue.pop(now_s * 0.5).workspace for now_s in range(20)]
    assert served.count("small") == 10


def test_retries_stay_a_share_of_the_requests():
    budget = RetryBudget(ratio=0.1, burst=5.0)
    for _ in range(100):
        budget.earn()
    assert sum(budget.spend() for _ in range(100)) == 5


@settings(derandomize=True, max_examples=60)
@given(st.integers(0, 2**32), st.integers(1, 12))
def test_nothing_is_lost_or_given_twice(seed, limit):
    rng = random.Random(seed)
    queue = make_queue(limit)
    waiting, gone = set(), []
    for number in range(80):
        key = f"k{number}"
        waiting.add(key)
        entry = wait(key, rng.choice("abc"), rng.choice(list(Priority)), rng.random())
        entry = entry._replace(deadline_s=rng.uniform(0, 100))
        out = queue.push(entry)
        if rng.random() < 0.4 and len(queue):
            out.append(queue.pop(number))
        out.extend(queue.expire(number))
        gone.extend(w.key for w in out)
        assert len(queue) <= limit
    assert len(set(gone)) == len(gone)
    assert {w.key for w in queue.clear()} == waiting - set(gone)
