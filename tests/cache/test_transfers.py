from tests.cache.builders import (
    make_ids,
    make_import,
    make_offer,
    make_sized,
)
from vanillabeam.cache import transfers
from vanillabeam.cache.costs import Prices, blocks_to_import, should_export
from vanillabeam.cache.link import Link
from vanillabeam.cache.transferrecords import (
    CancelTransfer,
    ImportAbandoned,
    ImportAnswer,
    StartTransfer,
    StoreLost,
    TargetChanged,
    Tick,
    TransferEnded,
    TransferKind,
)
from vanillabeam.cache.transfers import Transfers, handle

IDS = make_ids(6)


def starts(effects):
    return [effect for effect in effects if isinstance(effect, StartTransfer)]


def test_import_requests_for_the_same_blocks_share_one_transfer():
    state = Transfers(1e6)
    (start,) = handle(make_import(1, IDS[:2]), state, 0.0)
    (rest,) = handle(make_import(2, IDS[:3]), state, 0.0)
    assert rest.blocks == IDS[2:3]
    assert handle(TransferEnded(1, IDS[:2], 2_000, 0.1), state, 0.1) == [
        ImportAnswer(1, 2)
    ]
    assert handle(TransferEnded(2, IDS[2:3], 1_000, 0.1), state, 0.1) == [
        ImportAnswer(2, 3)
    ]


def test_only_leading_blocks_count_as_imported_after_a_partial_failure():
    state = Transfers(1e6)
    handle(make_import(1, IDS[:3]), state, 0.0)
    assert handle(TransferEnded(1, IDS[1:3], 2_000, 0.1), state, 0.1) == [
        ImportAnswer(1, 0)
    ]


def test_a_transfer_is_cancelled_when_its_last_request_is_abandoned():
    state = Transfers(1e6)
    handle(make_import(1), state, 0.0)
    handle(make_import(2), state, 0.0)
    assert handle(ImportAbandoned(1), state, 0.0) == []
    assert handle(ImportAbandoned(2), state, 0.0) == [CancelTransfer(1)]
    assert state.all() == [] and state.imports == {}


def test_imports_start_before_exports_and_exports_in_order_of_value():
    state = Transfers(10_000)
    (first,) = starts(handle(make_import(1, IDS[:1], 10_000), state, 0.0))
    handle(make_offer(IDS[:1], 1_000, value=1.0), state, 0.0)
    handle(make_offer(IDS[1:2], 1_000, value=2.0), state, 0.0)
    handle(make_import(2, IDS[1:2], 1_000), state, 0.0)
    effects = handle(Tick(), state, 0.9)
    order = [(start.kind, start.blocks) for start in starts(effects)]
    assert order[0] == (TransferKind.IMPORT, IDS[1:2])
    assert order[1:] == [
        (TransferKind.EXPORT, IDS[1:2]),
        (TransferKind.EXPORT, IDS[:1]),
    ]


def test_a_changed_boot_or_version_ends_the_transfers_of_a_target():
    for boot, versions in [("b2", {"ledger": "v1"}), ("b1", {"ledger": "v2"})]:
        state = Transfers(1e6)
        handle(make_import(1), state, 0.0)
        handle(make_offer(IDS), state, 0.0)
        changed = TargetChanged("engine-1", boot, versions)
        assert ImportAnswer(1, 0) in handle(changed, state, 0.0)
        assert state.all() == []
    state = Transfers(1e6)
    handle(make_import(1), state, 0.0)
    assert handle(TargetChanged("engine-1", "b1", {"ledger": "v1"}), state, 0.0) == []


def test_a_lost_store_answers_its_import_requests_at_once():
    state = Transfers(1e6)
    handle(make_import(1), state, 0.0)
    assert handle(StoreLost("s1"), state, 0.0) == [
        CancelTransfer(1),
        ImportAnswer(1, 0),
    ]


def test_queues_of_imports_and_exports_are_bounded(monkeypatch):
    monkeypatch.setattr(transfers, "MAX_QUEUED_EXPORTS", 3)
    monkeypatch.setattr(transfers, "MAX_QUEUED_IMPORTS", 2)
    state = Transfers(1_000)
    handle(make_offer(IDS, 1_000), state, 0.0)
    assert sum(map(len, state.queued.values())) <= 3
    chains = [make_ids(1, filler=letter) for letter in "abcdefgh"]
    effects = [
        handle(make_import(n, ids, 900), state, 0.0) for n, ids in enumerate(chains, 2)
    ]
    assert effects[-1] == [ImportAnswer(9, 0)]


def test_the_rate_estimate_falls_while_a_slow_transfer_still_runs():
    state = Transfers(1e6)
    handle(make_import(1, IDS[:1], 1_000_000), state, 0.0)
    handle(Tick(), state, 3.0)
    link = state.link("dc1", "s1", 3.0)
    assert link.rate_bytes_s < 400_000
    handle(TransferEnded(1, IDS[:1], 1_000_000, 10.0), state, 10.0)
    for _ in range(10):
        link.record_transfer(1_000_000, 1.0, sharing=1)
    assert link.rate_bytes_s > 900_000


# Guards against a link that is never used again: a stalled transfer lowered its rate so
# far that no transfer paid, and only transfers raised it.
def test_a_low_rate_estimate_rises_while_no_transfer_shows_the_rate():
    link = Link(1_000_000, now_s=0.0)
    link.record_overdue(1_000_000, elapsed_s=1_000.0, sharing=1)
    link.expected_s(1, 0, now_s=1.0)
    assert link.rate_bytes_s == 1_000
    for now_s in range(2, 61):
        link.expected_s(1, 0, float(now_s))
    assert link.rate_bytes_s == 1_000
    for now_s in range(61, 1_000):
        link.expected_s(1, 0, float(now_s))
    assert link.rate_bytes_s == 1_000_000
    link.record_transfer(10_000, 1.0, sharing=1)
    assert link.rate_bytes_s < 1_000_000


def test_bytes_started_stay_within_the_bucket():
    link = Link(1_000, now_s=0.0)
    started = 0
    for step in range(1_000):
        size = 1 + (step * 7919) % 700
        if link.take(size, reserve=step % 2 == 0, now_s=step / 100):
            started += size
        assert started <= link.burst + 1_000 * step / 100


def test_blocks_to_import_depends_on_time_and_prices_and_may_be_partial():
    lengths = (1_000,) * 4

    def linear(size):
        return size / 4_000

    def bucket(size):
        return size / 1e6 + max(0, size - 2_000)

    free = Prices()
    assert blocks_to_import(lengths, 4_000, 1_000, linear, free) == 4
    assert blocks_to_import(lengths, 4_000, 1e6, linear, free) == 0
    assert blocks_to_import(lengths, 4_000, 1_000, bucket, free) == 2
    expensive_link = Prices(link_byte_s=1.0)
    assert blocks_to_import(lengths, 4_000, 1_000, linear, expensive_link) == 0
    expensive_compute = Prices(recomputed_token_s=1.0)
    assert blocks_to_import(lengths, 4_000, 1e6, linear, expensive_compute) == 4


def test_an_export_must_save_more_than_export_and_import_cost():
    free, expensive_link = Prices(), Prices(link_byte_s=0.001)
    assert should_export(1_000, 0.5, compute_s=4.0, import_s=0.1, prices=free)
    assert should_export(1_000, 0.5, compute_s=4.0, import_s=0.1, prices=expensive_link)
    assert not should_export(
        1_000, 0.2, compute_s=4.0, import_s=0.1, prices=expensive_link
    )
    assert not should_export(1_000, 1.0, compute_s=0.1, import_s=0.2, prices=free)


def test_blocks_are_exported_once():
    state = Transfers(1e6)
    assert len(handle(make_offer(IDS), state, 0.0)) == 4
    assert handle(make_offer(IDS, boot_id="b2"), state, 0.0) == []
    assert make_sized(IDS)[0].size == 1_000


def test_the_relative_fill_level_of_a_bucket_is_kept_when_its_limit_changes():
    link = Link(1_000, now_s=0.0)
    assert link.take(500, reserve=False, now_s=0.0)
    link.set_limit(500)
    assert link.take(250, reserve=False, now_s=0.0)
    assert not link.take(1, reserve=False, now_s=0.0)
