import math

import pytest

from bench.mechanisms import MECHANISMS, Mechanism
from bench.slopes import measure_slopes

SMALL = 4


def _param(mechanism):
    # These start processes and take long; the others take about a second.
    marks = [pytest.mark.soak] if mechanism.name.startswith("whole VM") else []
    return pytest.param(mechanism, id=mechanism.name, marks=marks)


@pytest.mark.parametrize("mechanism", [_param(each) for each in MECHANISMS])
def test_each_mechanism_measures_finite_numbers_that_are_not_all_zero(mechanism):
    sample = mechanism.measure(SMALL, 1)
    assert all(math.isfinite(value) for value in sample.values())
    assert any(value > 0 for value in sample.values())


def test_mechanisms_have_unique_names_and_at_least_four_sizes():
    names = [mechanism.name for mechanism in MECHANISMS]
    assert len(set(names)) == len(names)
    assert all(len(set(mechanism.sizes)) >= 4 for mechanism in MECHANISMS)


def test_slopes_are_fitted_to_the_measured_values():
    def measure(size, seed):
        return {"state_bytes": 100 + 3 * size, "cpu_s": seed * size}

    mechanism = Mechanism("sample", "things", (1, 2, 4, 8), measure)
    state, cpu = measure_slopes(seed=2, mechanisms=[mechanism])
    assert (state.quantity, cpu.quantity) == ("state_bytes", "cpu_s")
    assert state.line.base == pytest.approx(100)
    assert state.line.slope == pytest.approx(3)
    assert cpu.line.slope == pytest.approx(2)
