"""Rules for weights: no old version for long, and one VM that orders targets."""

from collections import defaultdict

from tests.soak.checks import is_overdue
from tests.soak.fleet import BOUNDS
from tests.soak.touch import CONTACT_S, VM_KINDS, Touch, touch

VERSION_S = BOUNDS["version_ms"] / 1000
ALL_S = BOUNDS["version_all_ms"] / 1000
LEASE_S = BOUNDS["lease_ms"] / 1000
THAW_S = BOUNDS["thaw_ms"] / 1000
#: Shortest stretch without a fault that counts towards ``ALL_S``.
STRETCH_S = 2.0
#: Sum of all stretches, however short, that counts at the end of the traffic.
END_S = 1.5 * VERSION_S
MAX_OLDER, MAX_OLDER_SHARE = 1, 0.1
#: Faults of targets alone, which disturb neither the core nor any link.
TARGET_KINDS = ("target", "orders")


def check_weights(history):
    """Report what breaks the rules for weights in a whole run."""
    check_namings(history)
    check_begun(history)
    check_older(history)
    check_orders(history)


def check_namings(history):
    """A version that is named is confirmed as a configuration is."""
    for naming in history.namings:
        for at_s, status in naming.refused:
            text = f"weights {naming.number} were refused: {status}"
            history.report("VERSION", at_s, "core", text)
        end_s = naming.confirmed_s or float("inf")
        if is_overdue(history, naming.sent_s, min(end_s, history.now_s())):
            text = f"weights {naming.number} sent, confirmed at {end_s}"
            history.report("ACK", naming.sent_s, "core", text)


def check_begun(history):
    """No request begins on older weights, later than the bound in one stretch."""
    attempts = {attempt.id: attempt for attempt in history.attempts}
    for run in history.runs:
        attempt = attempts.get(run.id)
        if not run.version or attempt is None:
            continue
        older = [n for n in _confirmed(history) if n.number > run.version]
        for naming in older:
            gaps = stretches(history, naming.confirmed_s, run.at_s)
            if max((b - a for a, b in gaps), default=0.0) <= VERSION_S:
                continue
            if touch(history, attempt.vm, run.at_s, run.at_s) is not Touch.OUT:
                text = (
                    f"{run.id} begins on {run.version}; {naming.number} was confirmed "
                    f"at {naming.confirmed_s:.2f}, sent on by {attempt.vm}"
                )
                history.report("VERSION", run.at_s, run.target, text)
                break


def check_older(history):
    """Not more than one target and a tenth of all keep older weights for long."""
    end_s = history.now_s()
    for naming in _confirmed(history):
        late = {
            life: max(
                _reached_s(history, naming, life, ALL_S, STRETCH_S),
                naming.confirmed_s,
            )
            for life in history.lives
        }
        for at_s in sorted({s for s in late.values() if s < end_s}):
            _report_older(history, naming, at_s, late)
        at_end = {
            life: _reached_s(history, naming, life, END_S, 0.0)
            for life in history.lives
        }
        _report_older(history, naming, end_s, at_end)


def _report_older(history, naming, at_s, late):
    """Report the targets that are late at a moment, if they are too many."""
    alive = [
        life
        for life in history.lives
        if life.start_s <= at_s < min(life.end_s, life.leaving_s)
    ]
    older = [
        life
        for life in alive
        if late[life] <= at_s and life.gets_s(naming.number) > at_s
    ]
    if len(older) > max(MAX_OLDER, MAX_OLDER_SHARE * len(alive)):
        names = sorted(life.name for life in older)
        text = (
            f"{len(older)} of {len(alive)} targets older than {naming.number}, "
            f"confirmed at {naming.confirmed_s:.2f}: {', '.join(names)}"
        )
        history.report("VERSION", at_s, "targets", text)


def _reached_s(history, naming, life, sum_s, shortest_s):
    """Return when the stretches since a confirmation and a start add up to a sum."""
    total_s = 0.0
    since_s = max(naming.confirmed_s, life.start_s)
    for a, b in stretches(history, since_s, history.now_s(), life.name):
        if b - a < shortest_s:
            continue
        if total_s + b - a >= sum_s:
            return max(a + sum_s - total_s, a + shortest_s)
        total_s += b - a
    return float("inf")


def stretches(history, since_s, until_s, target=""):
    """Return the spans in which the core was stable and no link disturbed.

    :param target: a target whose own faults count as well.
    """
    spans = sorted(
        (fault.start_s, _calm_s(history, fault))
        for fault in history.outages
        if _disturbs(history, fault, target)
    )
    free = []
    for start_s, end_s in [*spans, (until_s, until_s)]:
        if min(start_s, until_s) > since_s:
            free.append((since_s, min(start_s, until_s)))
        since_s = max(since_s, end_s)
        if since_s >= until_s:
            break
    return free


def _disturbs(history, fault, target):
    if fault.kind in TARGET_KINDS:
        return target in fault.vms
    return fault.kind not in VM_KINDS or _is_of_core(history, fault)


def _calm_s(history, fault):
    """Return when a fault is over; the core is stable some time later only."""
    if fault.kind in TARGET_KINDS:
        return fault.end_s
    is_wide = fault.kind in ("busy", "lag") or _is_of_core(history, fault)
    return fault.end_s + (CONTACT_S if is_wide else 0.0)


def _is_of_core(history, fault):
    core = set(history.controls)
    if fault.kind in VM_KINDS:
        return bool(core & fault.vms)
    if fault.kind == "cut":
        return bool(core & fault.vms) and bool(core & fault.others)
    return any(fault.touches(vm) for vm in core)


def _confirmed(history):
    return [n for n in history.namings if n.confirmed_s is not None]


def check_orders(history):
    """Only one VM orders a target at a time, with fences that never go back."""
    orders = defaultdict(list)
    for order in history.orders:
        if not _is_delayed(history, order):
            orders[order.target, order.born_ms].append(order)
    for received in orders.values():
        for number, order in enumerate(received):
            for before in received[:number]:
                if text := _conflict(history, before, order):
                    text = f"{text}: {before}, {order}"
                    history.report("ONE", order.at_s, order.target, text)


def _conflict(history, before, order):
    if before.holder != order.holder and before.fence == order.fence:
        return "two holders with one fence"
    if not all(_is_in_touch(history, o) for o in (before, order)):
        return ""
    if order.fence < before.fence:
        return "a lower fence after a higher one"
    is_soon = order.at_s - before.at_s < LEASE_S
    return "turns within a lease" if is_soon and before.holder != order.holder else ""


def _is_in_touch(history, order):
    return touch(history, order.holder, order.at_s, order.at_s) is not Touch.OUT


def _is_delayed(history, order):
    """Return whether the sender was thawed, or its link healed, just before."""
    return any(
        0 <= order.at_s - fault.end_s < THAW_S
        for fault in history.outages
        if fault.kind in ("frozen", "cut", "slow") and fault.touches(order.holder)
    )
