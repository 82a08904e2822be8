"""Large deployments on their way to entry VMs with thin links, on virtual time.

Guards against entry VMs that obey an older deployment for good: eight control VMs sent
the whole document to each of them at once, over a link that took longer for the eight
than a reply may last, so that each was given up and asked for again.
"""

import pytest
import trio
import trio.testing

from tests.fleet.thinlinks import ThinFleet, make_document
from vanillabeam.fleet.machine import make_deploy

DOCUMENT_PATH = "/peer/fleet/document"

#: The users' bounds: a confirmed deployment, and an evacuation, is in force by then.
APPLY_S = 2.5
EVACUATION_S = 5.0
ROUTES = 1_400


def play(tmp_path, function, entries=3, controls=8):
    async def main():
        fleet = ThinFleet(tmp_path, entries, controls)
        async with trio.open_nursery() as nursery:
            for follower in fleet.followers:
                nursery.start_soon(follower.run)
            await fleet.deploy(make_document(1, 30))
            await trio.sleep(3.0)
            assert all(each.view.deployment.number == 1 for each in fleet.followers)
            await function(fleet, nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def has_number(number):
    return lambda view: view.deployment.number == number


@pytest.mark.parametrize("routes", [350, 1_400, 5_600])
def test_a_large_deployment_is_in_force_in_time_over_a_thin_link(tmp_path, routes):
    async def check(fleet, nursery):
        await fleet.deploy(make_document(2, routes))
        assert await fleet.wait_all(has_number(2), 3 * APPLY_S) <= APPLY_S

    play(tmp_path, check)


def test_an_evacuation_is_not_held_up_by_a_large_deployment_on_its_way(tmp_path):
    async def check(fleet, nursery):
        await fleet.deploy(make_document(2, 4 * ROUTES))
        fleet.apply({"kind": "evacuate", "data_centre": "b"})
        took_s = await fleet.wait_all(lambda view: view.evacuated == {"b"}, 30.0)
        assert took_s <= 0.2

    play(tmp_path, check)


def test_an_evacuation_sends_no_document_again(tmp_path):
    async def check(fleet, nursery):
        await fleet.deploy(make_document(2, ROUTES))
        await trio.sleep(18.0)
        before = fleet.received_bytes()
        fleet.apply({"kind": "evacuate", "data_centre": "b"})
        took_s = await fleet.wait_all(lambda view: view.evacuated == {"b"}, 30.0)
        assert took_s <= EVACUATION_S
        await trio.sleep(3.0)
        for link, earlier in zip(fleet.entry_links, before, strict=True):
            assert link.sent_bytes - earlier < len(make_document(2, ROUTES)) / 10

    play(tmp_path, check)


def test_one_copy_of_a_large_deployment_comes_to_each_entry_vm(tmp_path):
    async def check(fleet, nursery):
        before = fleet.received_bytes()
        document = make_document(2, ROUTES)
        await fleet.deploy(document)
        await fleet.wait_all(has_number(2), 30.0)
        for link, earlier in zip(fleet.entry_links, before, strict=True):
            assert link.sent_bytes - earlier < len(document)

    play(tmp_path, check)


def test_a_small_change_of_a_large_deployment_sends_a_small_part_of_it(tmp_path):
    async def check(fleet, nursery):
        await fleet.deploy(make_document(2, ROUTES))
        await trio.sleep(18.0)
        before = fleet.received_bytes()
        document = make_document(3, ROUTES, changed=700)
        await fleet.deploy(document)
        assert await fleet.wait_all(has_number(3), 30.0) <= APPLY_S
        view = fleet.followers[0].view
        assert "/new-700/" in view.deployment.routes
        for link, earlier in zip(fleet.entry_links, before, strict=True):
            assert link.sent_bytes - earlier < len(document) / 10

    play(tmp_path, check)


def test_changes_in_quick_succession_end_with_the_last_one_in_force(tmp_path):
    async def check(fleet, nursery):
        for number in range(2, 8):
            await fleet.deploy(make_document(number, ROUTES, changed=number))
            await trio.sleep(0.15)
        assert await fleet.wait_all(has_number(7), 30.0) <= APPLY_S

    play(tmp_path, check)


@pytest.mark.parametrize("trouble", ["frozen", "gone"])
def test_a_control_vm_that_is_lost_with_a_document_on_its_way_costs_little(
    tmp_path, trouble
):
    async def check(fleet, nursery):
        await fleet.deploy(make_document(2, ROUTES))
        await trio.sleep(0.1)
        lost = {address for address, path in fleet.calls if path == DOCUMENT_PATH}
        assert lost
        getattr(fleet, trouble).update(lost)
        assert await fleet.wait_all(has_number(2), 30.0) <= APPLY_S

    play(tmp_path, check, entries=1)


def test_a_document_whose_only_source_is_lost_is_fetched_from_one_that_follows(
    tmp_path,
):
    async def check(fleet, nursery):
        leader, *others = fleet.addresses
        command = make_deploy(2, make_document(2, ROUTES))
        fleet.apply(command, [leader])
        await trio.sleep(0.01)
        fleet.frozen.add(leader)
        await trio.sleep(5.0)
        fleet.index -= 1
        fleet.apply(command, others)
        assert await fleet.wait_all(has_number(2), 30.0) <= APPLY_S

    play(tmp_path, check)


def test_all_entry_vms_that_start_at_once_have_a_large_deployment_in_time(tmp_path):
    async def check(fleet, nursery):
        await fleet.deploy(make_document(2, ROUTES))
        await trio.sleep(5.0)
        fleet.followers = [fleet.make_follower(n) for n in range(len(fleet.followers))]
        for follower in fleet.followers:
            nursery.start_soon(follower.run)
        assert await fleet.wait_all(has_number(2), 30.0) <= APPLY_S
        assert all(follower.is_ready for follower in fleet.followers)

    play(tmp_path, check, entries=6)


def test_a_new_start_is_not_ready_with_an_older_deployment_than_it_knows_of(tmp_path):
    async def check(fleet, nursery):
        behind = fleet.addresses[0]
        command = make_deploy(2, make_document(2, ROUTES))
        fleet.apply(command, fleet.addresses[1:])
        fleet.followers = [follower] = [fleet.make_follower(0)]
        assert fleet.controls[behind].machine.state["number"] == 1
        nursery.start_soon(follower.run)
        await follower.wait_ready()
        assert follower.view.deployment.number == 2

    play(tmp_path, check, entries=1)


def test_a_document_that_could_not_be_put_in_force_is_tried_again(tmp_path):
    async def check(fleet, nursery):
        news = fleet.followers[0]._state
        failures, read = [TypeError()], news._read

        def fail_once(document):
            if failures:
                raise failures.pop()
            return read(document)

        news._read = fail_once
        await fleet.deploy(make_document(2, ROUTES))
        assert await fleet.wait_all(has_number(2), 30.0) <= APPLY_S
        assert not failures

    play(tmp_path, check, entries=1)


@pytest.mark.parametrize("old", [8, 7, 4])
def test_documents_come_from_control_vms_of_two_releases(tmp_path, old):
    async def check(fleet, nursery):
        fleet.restart_as_older_release(fleet.addresses[:old])
        await fleet.deploy(make_document(2, 100))
        assert await fleet.wait_all(has_number(2), 30.0) <= APPLY_S
        fleet.apply({"kind": "evacuate", "data_centre": "b"})
        took_s = await fleet.wait_all(lambda view: view.evacuated == {"b"}, 30.0)
        assert took_s <= EVACUATION_S

    play(tmp_path, check)


def test_a_document_comes_whole_if_those_that_named_it_return_as_an_older_release(
    tmp_path,
):
    async def check(fleet, nursery):
        await fleet.deploy(make_document(2, 100))
        await trio.sleep(0.03)
        fleet.restart_as_older_release(fleet.addresses)
        assert await fleet.wait_all(has_number(2), 30.0) <= APPLY_S

    play(tmp_path, check)
