"""Prints what a run has seen."""

from collections import Counter

from tests.soak.checks import calm_attempts, served_share

#: Requests that are printed of those that were not served.
SHOWN = 6


def summarise(history, folder, seed, memory_mb):
    """Print the figures and findings of a run."""
    calm = calm_attempts(history)
    confirmed = sum(change.confirmed_s is not None for change in history.changes)
    print(
        f"seed {seed}: {len(history.changes)} changes, {confirmed} confirmed, "
        f"{len(history.reads)} reads, {len(history.attempts)} requests, in calm "
        f"{len(calm)}, of which served {served_share(calm):.4f}; peak memory "
        f"{memory_mb:.0f} MB; logs in {folder}"
    )
    named = [f"{n.number} at {n.confirmed_s or 0:.2f}" for n in history.namings]
    statuses = dict(Counter(order.status for order in history.orders))
    print(f"  weights confirmed: {', '.join(named)}; orders by status: {statuses}")
    lags = [o.end_s - o.start_s for o in history.outages if o.kind == "lag"]
    print(f"  not scheduled {len(lags)} times, {max(lags, default=0.0):.2f} s at most")
    for outage in history.outages:
        print(f"  fault: {outage}")
    for attempt in [a for a in calm if a.status != 200][:SHOWN]:
        print(f"  not served in calm: {attempt}")
    for finding in history.findings:
        print(f"  finding, seed {seed}: {finding}")
