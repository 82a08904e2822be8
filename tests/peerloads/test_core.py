from tests.peerloads.builders import notice
from vanillabeam.peerloads.core import SILENCE_S, PeerLoads


def test_the_open_work_of_all_others_is_summed():
    loads = PeerLoads()
    loads.update(notice("e-1", work={"t": {1: 5}}, room={"t": 50}), 0.0)
    loads.update(notice("e-2", work={"t": {1: 7, 2: 1}}, room={"u": 9}), 0.0)
    assert loads.total["work"] == {"t": {1: 12, 2: 1}}
    assert loads.total["room"] == {"t": 50, "u": 9}


def test_a_late_copy_does_not_bring_back_work_that_has_ended():
    loads = PeerLoads()
    loads.update(notice(sequence=2), 0.0)
    assert not loads.update(notice(sequence=1, work={"t": {1: 5}}), 0.1)
    assert loads.total["work"] == {}


def test_the_work_of_a_restarted_vm_replaces_that_of_its_last_process():
    loads = PeerLoads()
    loads.update(notice(sequence=90, work={"t": {1: 5}}), 0.0)
    assert loads.update(notice(sequence=1, boot="b-2", work={"u": {1: 3}}), 0.1)
    assert loads.total["work"] == {"u": {1: 3}}


def test_a_vm_that_died_takes_no_room_for_long():
    loads = PeerLoads()
    loads.update(notice("e-1", room={"t": 50}), 0.0)
    loads.update(notice("e-2", room={"t": 7}), 1.0)
    loads.drop_silent(SILENCE_S + 0.1)
    assert loads.total["room"] == {"t": 7}
    assert loads.vms() == ["e-2"]


def test_nothing_of_the_last_group_counts_in_the_next_one():
    loads = PeerLoads()
    loads.update(notice(work={"t": {1: 5}}), 0.0)
    loads.clear()
    assert loads.total["work"] == {}
    assert loads.update(notice(sequence=1), 0.1)
