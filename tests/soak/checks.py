"""Rules of the platform, checked against what callers, targets and operators saw."""

from collections import Counter, defaultdict

from tests.soak.fleet import BOUNDS
from tests.soak.touch import CONTACT_S, SLOW_KINDS, Touch, is_calm, touch

APPLY_S = BOUNDS["config_apply_ms"] / 1000
SKEW_S = BOUNDS["skew_max_ms"] / 1000
ROLLBACK_S = BOUNDS["rollback_slack_ms"] / 1000
SLOWED_FACTOR = 8
LOSS_S = BOUNDS["loss_slack_ms"] / 1000
ACK_S = BOUNDS["ack_ms"] / 1000
RECOVER_S = BOUNDS["recover_s"]
DENIED = (401, 403, 404)
PROMISES = (408, 421, 429, 503)
#: Shares of the rules: of requests that must be served, and of added routes.
MIN_SERVED = 0.4
MIN_ADDED = 0.25
MIN_ADDED_REQUESTS = 20


def check(history, ends):
    """Return the findings of a whole run, beside those of the clients."""
    for rule in (
        check_reads,
        check_changes,
        check_requests,
        check_regress,
        check_runs,
        check_added,
        check_stops,
        check_served,
    ):
        rule(history)
    for end in ends:
        if end.is_own:
            history.report("FAULT", end.at_s, end.vm, f"ended by itself: {end.code}")
    return history.findings


def newest_confirmed(history, before_s):
    """Return the highest number that was confirmed before a moment."""
    confirmed = [
        change.number
        for change in history.changes
        if change.confirmed_s is not None and change.confirmed_s <= before_s
    ]
    return max(confirmed, default=0)


def check_reads(history):
    """Reads of any VM, in touch or not: never older, never of other content."""
    contents = defaultdict(set)
    for change in history.changes:
        if change.is_valid:
            contents[change.number].add(change.body)
    seen = {}
    for read in sorted(history.reads, key=lambda read: read.sent_s):
        least = newest_confirmed(history, read.sent_s - APPLY_S)
        if read.number < least:
            text = f"read {read.number} though {least} was confirmed"
            history.report("CONFIG", read.sent_s, read.vm, text)
        if read.body not in contents[read.number]:
            text = f"read {read.number} with content that was not sent"
            history.report("CONFIG", read.sent_s, read.vm, text)
        if seen.setdefault(read.number, read.body) != read.body:
            text = f"the content of {read.number} has changed"
            history.report("CONFIG", read.sent_s, read.vm, text)
        if _was_held(history, read):
            text = f"{read.number} was confirmed with other content before"
            history.report("CONFIG", read.sent_s, read.vm, text)


def _was_held(history, read):
    """Return whether the content came after another was confirmed as that number."""
    same = [c for c in history.changes if c.is_valid and c.number == read.number]
    sent_s = min((c.sent_s for c in same if c.body == read.body), default=0.0)
    return any(
        c.body != read.body and c.confirmed_s is not None and c.confirmed_s < sent_s
        for c in same
    )


def check_changes(history):
    """Valid changes are never refused, invalid ones never confirmed."""
    for change in history.changes:
        for at_s, status in change.refused if change.is_valid else ():
            text = f"valid change {change.number} was refused: {status}"
            history.report("CONFIG", at_s, "core", text)
        if not change.is_valid and change.confirmed_s is not None:
            text = f"invalid change {change.number} was confirmed: {change.body[:200]}"
            history.report("CONFIG", change.confirmed_s, "core", text)
        end_s = change.confirmed_s or float("inf")
        until_s = min(end_s, history.now_s())
        if change.is_valid and is_overdue(history, change.sent_s, until_s):
            text = f"{change.number} sent at {change.sent_s:.2f}, confirmed at {end_s}"
            history.report("ACK", change.sent_s, "core", text)


def is_overdue(history, since_s, until_s):
    """Return whether a stretch without a fault was longer than a change may take."""
    start_s = max(since_s, 2 * RECOVER_S)
    ends = [fault.end_s + RECOVER_S for fault in history.outages]
    for begin_s in [start_s, *(s for s in ends if start_s < s < until_s)]:
        span = (begin_s, begin_s + ACK_S)
        if span[1] < until_s and is_calm(history, *span):
            return True
    return False


def outcomes(document, path, key):
    """Return the services that may run a request; none if it is denied."""
    routes = [r for r in document["routes"] if path.startswith(r["path_prefix"])]
    if not routes:
        return frozenset()
    keys = {k for tenant in document["tenants"] for k in tenant["api_keys"]}
    if key not in keys:
        return frozenset()
    route = max(routes, key=lambda route: len(route["path_prefix"]))
    return frozenset({route["service"]})


def allows(change, attempt):
    """Return whether a configuration allows what became of a request."""
    services = outcomes(change.document, attempt.path, attempt.key)
    if attempt.service:
        return attempt.service in services
    return not services


def check_requests(history):
    """A confirmed change is in force in time at every VM that is in touch."""
    valid = [change for change in history.changes if change.is_valid]
    for attempt in filter(_is_telling, history.attempts):
        sent = [c for c in valid if c.sent_s <= attempt.end_s]
        if not any(allows(change, attempt) for change in sent):
            _report_request(history, attempt, "no configuration allows it")
            continue
        state = touch(history, attempt.vm, attempt.sent_s, attempt.end_s)
        if state is Touch.OUT:
            continue
        bound_s = APPLY_S + (SKEW_S if state is Touch.OUTER else 0.0)
        least = newest_confirmed(history, attempt.sent_s - bound_s)
        if not any(allows(c, attempt) for c in sent if c.number >= least):
            text = f"as only older ones than {least} allow; {state.value}"
            _report_request(history, attempt, text)


def _is_telling(attempt):
    return bool(attempt.service) or attempt.status in DENIED


def _report_request(history, attempt, text):
    what = attempt.service or attempt.status
    text = f"{attempt.path} with {attempt.key}: {what}, {text}"
    history.report("CONFIG", attempt.sent_s, attempt.vm, text)


def check_regress(history):
    """No start of an entry VM goes back to an older configuration."""
    valid = [change for change in history.changes if change.is_valid]
    seen = defaultdict(list)
    for attempt in sorted(filter(_is_telling, history.attempts), key=_end):
        if not attempt.starts:
            continue
        sent = [c for c in valid if c.sent_s <= attempt.end_s]
        numbers = [c.number for c in sent if allows(c, attempt)]
        marks = seen[attempt.vm, attempt.starts]
        slack_s = _rollback_slack_s(history, attempt)
        before = [n for at_s, n in marks if at_s + slack_s < attempt.sent_s]
        if numbers and before and max(numbers) < max(before):
            text = f"regresses behind {max(before)} that it had served"
            _report_request(history, attempt, text)
        if numbers and attempt.service:
            marks.append((attempt.end_s, min(numbers)))


def _rollback_slack_s(history, attempt):
    """Return the slack of an attempt's VM, which is longer while it is slowed."""
    since_s = attempt.sent_s - CONTACT_S
    is_slowed = any(
        fault.kind in SLOW_KINDS
        and fault.touches(attempt.vm)
        and fault.overlaps(since_s, attempt.sent_s)
        for fault in history.outages
    )
    return ROLLBACK_S * (SLOWED_FACTOR if is_slowed else 1)


def _end(attempt):
    return attempt.end_s


def check_runs(history):
    """Unsafe requests run once at most; refusals are true; answers are whole."""
    runs = Counter(run.id for run in history.runs)
    for attempt in history.attempts:
        ran = runs[attempt.id]
        is_once = attempt.kind in ("unsafe", "stream")
        if is_once and ran > 1:
            history.report("TWICE", attempt.sent_s, attempt.vm, f"{attempt} ran {ran}")
        if is_once and ran and attempt.status in PROMISES:
            history.report("REFUSED", attempt.sent_s, attempt.vm, f"{attempt} has run")
        if attempt.fault:
            history.report("MIXED", attempt.sent_s, attempt.vm, str(attempt))
    for run in history.runs:
        late_s = run.at_s - history.drained.get(run.target, float("inf"))
        if late_s > BOUNDS["drain_ms"] / 1000:
            text = f"{run.id} {late_s:.2f} s after it had said that it leaves"
            history.report("DRAIN", run.at_s, run.target, text)


def served_share(attempts):
    """Return the share of requests that were answered with success."""
    served = sum(attempt.status == 200 for attempt in attempts)
    return served / len(attempts) if attempts else 1.0


def calm_attempts(history):
    """Return the callers' requests that no fault can have harmed."""
    return [
        attempt
        for attempt in history.attempts
        if attempt.group == "first"
        and is_calm(history, attempt.sent_s, attempt.end_s)
        and attempt.sent_s > 2 * RECOVER_S / 3
    ]


def check_added(history):
    """Routes that were added later are served as well as the first ones."""
    calm = [a for a in history.attempts if is_calm(history, a.sent_s, a.end_s)]
    added = [a for a in calm if a.group == "added"]
    first = [a for a in calm if a.group == "first"]
    if len(added) < MIN_ADDED_REQUESTS or not first:
        return
    shares = served_share(added), served_share(first)
    if shares[0] < MIN_ADDED * shares[1]:
        history.report("CONFIG", added[0].sent_s, "all", f"added, first: {shares}")


def check_stops(history):
    """A planned stop cuts no request that its VM has read."""
    runs = {run.id for run in history.runs}
    for stop in (o for o in history.outages if o.kind == "stopped"):
        for attempt in history.attempts:
            if attempt.vm not in stop.vms or attempt.status:
                continue
            age_s = attempt.end_s - attempt.sent_s
            is_cut = attempt.id in runs or age_s > LOSS_S
            if not stop.overlaps(attempt.sent_s, attempt.end_s) or not is_cut:
                continue
            if age_s < attempt.limit_s and not _was_disturbed(history, attempt, stop):
                history.report("LOST", attempt.sent_s, attempt.vm, f"{attempt}: {stop}")


def _was_disturbed(history, attempt, stop):
    since_s = attempt.sent_s - BOUNDS["contact_ms"] / 1000
    return any(
        fault is not stop and fault.overlaps(since_s, attempt.end_s)
        for fault in history.outages
    )


def check_served(history):
    """Enough is served in calm, also after everything was killed."""
    share = served_share(calm_attempts(history))
    if share < MIN_SERVED:
        text = f"served {share:.3f} in calm"
        history.report("SHORT", history.now_s(), "all", text)
