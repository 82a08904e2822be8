from collections import Counter

import pytest

from vanillabeam.peerloads.groups import (
    MAX_GROUP_VMS,
    belongs_to,
    group_bits,
    group_of,
)


@pytest.mark.parametrize("vms", [1, MAX_GROUP_VMS])
def test_a_small_data_centre_is_one_group(vms):
    assert group_bits(vms) == 0
    assert belongs_to(group_of("e-1", "dc-a", 0), "t-1", "dc-a")


@pytest.mark.parametrize("vms", [49, 85, 340])
def test_groups_stay_small_as_the_fleet_grows(vms):
    bits = group_bits(vms)
    sizes = Counter(group_of(f"e-{n}", "dc-a", bits) for n in range(vms))
    assert max(sizes.values()) <= 1.6 * MAX_GROUP_VMS


def test_each_target_belongs_to_one_group():
    groups = {group_of(f"e-{n}", "dc-a", 2) for n in range(200)}
    assert len(groups) == 4
    for number in range(50):
        near = [g for g in groups if belongs_to(g, f"t-{number}", "dc-a")]
        assert len(near) == 1


def test_no_group_knows_the_targets_of_another_data_centre():
    assert not belongs_to(group_of("e-1", "dc-a", 0), "t-1", "dc-b")
