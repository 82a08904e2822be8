import pytest

from tests.fleet.builders import BOUNDS
from vanillabeam.forwarding.choosing.bounds import ColdTargetLimiter, ServiceRetryBudget


@pytest.mark.parametrize("entries", [1, 9, 60])
def test_retries_of_all_entry_vms_stay_within_the_limit(entries):
    budgets = [ServiceRetryBudget(BOUNDS) for _ in range(entries)]
    retries = requests = 0
    for budget in budgets:
        for step in range(20):
            budget.record_request(step / 10)
            requests += 1
        while budget.try_take(2.0, entries):
            retries += 1
    assert retries <= BOUNDS.retry_ratio * requests + BOUNDS.retry_floor
    assert retries > 0


def test_the_retry_budget_is_restored_after_its_window():
    budget = ServiceRetryBudget(BOUNDS._replace(retry_floor=1.0))
    assert budget.try_take(0.0, 1)
    assert not budget.try_take(5.0, 1)
    assert budget.try_take(10.5, 1)


@pytest.mark.parametrize("entries", [1, 9, 60])
@pytest.mark.parametrize("rate", [3.0, 8.9])
def test_requests_to_a_cold_target_stay_within_its_limit_in_any_second(entries, rate):
    names = [f"vm-{number}" for number in range(entries)]
    windows = {name: ColdTargetLimiter(BOUNDS) for name in names}
    sent = []
    for tick in range(400):
        now_s = tick / 100
        for name, window in windows.items():
            if window.may_send("t", rate, name, names, now_s):
                window.record_sent("t", rate, names, now_s)
                sent.append(now_s)
    limit = rate * BOUNDS.cold_factor + BOUNDS.cold_requests
    assert sent
    for start_s in sent:
        assert sum(1 for at in sent if start_s <= at < start_s + 1) <= limit
