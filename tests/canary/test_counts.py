from tests.canary.builders import make_record
from vanillabeam.canary.counts import VersionCounts, bucket
from vanillabeam.canary.records import BUCKETS, Step

OLD, NEW = ("app", "v1"), ("app", "v2")


def make_counts(record=None):
    counts = VersionCounts("boot-1")
    counts.update({"app": record or make_record()})
    return counts


def begin(counts, version=NEW, target="n-1", expected_s=None, is_cold=False):
    return counts.begin(version, "orders", target, expected_s, 10.0, is_cold)


def test_answers_and_failures_are_counted_by_role_route_and_target():
    counts = make_counts()
    for version, target in ((NEW, "n-1"), (OLD, "o-1")):
        good = begin(counts, version, target)
        good.record_sent()
        good.record_first(10.02)
        good.record_answer()
        bad = begin(counts, version, target)
        bad.record_sent()
        bad.record_failure()
    (report,) = counts.reports()
    expected = {"sent": 2, "answers": 2, "failures": 1, "slowness": [0, 1]}
    assert report["new"] == report["old"] == {"orders": expected}
    assert report["targets"] == {"n-1": {"answers": 2, "failures": 1, "slow": [0, 1]}}
    assert (report["service"], report["order"], report["boot"]) == ("app", 9, "boot-1")


# Guards against an answer that is counted twice: a stream that breaks off after its
# first event is one answer, and it has failed.
def test_a_stream_that_breaks_off_is_one_failed_answer():
    counts = make_counts()
    stream = begin(counts, expected_s=0.1)
    for now_s in (10.1, 10.2):
        stream.record_first(now_s)
        stream.record_answer()
    stream.record_failure()
    (report,) = counts.reports()
    route = report["new"]["orders"]
    assert (route["answers"], route["failures"], sum(route["slowness"])) == (1, 1, 1)


def test_the_slowness_of_a_prompt_is_a_multiple_of_the_expected_time():
    counts = make_counts()
    for expected_s in (0.5, 0.0):
        prompt = begin(counts, expected_s=expected_s)
        prompt.record_first(11.0)
        prompt.record_answer()
    (report,) = counts.reports()
    slowness = report["new"]["orders"]["slowness"]
    assert slowness[bucket(1.0 / 0.5)] == slowness[bucket(1.0 / 0.05)] == 1


def test_each_bucket_holds_up_to_twice_the_one_before():
    assert [bucket(0.01 * 2**n) for n in range(BUCKETS)] == list(range(BUCKETS))
    assert bucket(0.0) == 0
    assert bucket(1e12) == BUCKETS - 1


def test_cold_targets_tell_nothing_of_slowness():
    counts = make_counts()
    cold = begin(counts, is_cold=True)
    cold.record_first(12.0)
    cold.record_answer()
    (report,) = counts.reports()
    assert report["new"]["orders"]["slowness"] == []
    assert report["new"]["orders"]["answers"] == 1


# Guards against a completion while old targets still run requests of before the order.
def test_requests_of_before_the_order_count_as_open_at_the_old_version():
    counts = VersionCounts("boot-1")
    early = begin(counts, OLD, "o-1")
    begin(counts, NEW)
    counts.update({"app": make_record()})
    late = begin(counts, OLD, "o-1")
    assert counts.reports()[0]["open_old"] == 2
    early.record_failure()
    counts.end(early)
    counts.end(late)
    (report,) = counts.reports()
    assert report["open_old"] == 0
    # What was sent before the order tells nothing of this rollout.
    assert report["old"] == {}


def test_there_are_reports_of_running_rollouts_only():
    counts = make_counts()
    request = begin(counts)
    request.record_sent()
    counts.update({"app": make_record(Step.SHIFT, 1.0)})
    assert counts.reports()[0]["new"]["orders"]["sent"] == 1
    counts.update({"app": make_record(Step.ROLLED_BACK)})
    assert counts.reports() == []
    request.record_failure()
    counts.update({"app": make_record(order=20)})
    assert counts.reports()[0]["new"] == {}
