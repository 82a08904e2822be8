"""Notices of targets in the answers to requests: recorded and logged."""

import trio

from vanillabeam.decisions import (
    LimitUnreadable,
    TargetLeaving,
    TargetPaused,
    log_record,
)
from vanillabeam.fleet import Target
from vanillabeam.fleet.limitlog import log_limit
from vanillabeam.fleet.ratelimits import read_rate
from vanillabeam.forwarding.resources import Resources
from vanillabeam.forwarding.sending.upstream import OpenResponse
from vanillabeam.notices import AppliedNotice, Notice

__all__ = ["apply_notice"]

#: Characters of a header's value in a log line.
MAX_LOGGED_TEXT = 40


def apply_notice(
    resources: Resources,
    target: Target,
    request_id: str,
    response: OpenResponse,
    sent_s: float,
) -> Notice:
    """Record and return what a target said of itself in an answer.

    :param sent_s: monotonic time at which the request was sent.
    """
    notice = resources.dialect.read_notice(response.status, response.headers)
    applied = resources.chooser.notices.apply(
        target.incarnation, notice, trio.current_time()
    )
    _log_applied(target, request_id, notice, applied)
    _apply_limit(resources, target, request_id, notice, sent_s)
    return notice


def _log_applied(
    target: Target, request_id: str, notice: Notice, applied: AppliedNotice
) -> None:
    if applied.is_leaving:
        log_record(TargetLeaving(target.name, target.born_ms, request_id))
    if applied.reading is not None:
        log_record(
            TargetPaused(
                target.name,
                target.born_ms,
                request_id,
                notice.pause[:MAX_LOGGED_TEXT],
                applied.reading.is_literal,
                round(applied.pause_s, 3),
            )
        )


def _apply_limit(
    resources: Resources,
    target: Target,
    request_id: str,
    notice: Notice,
    sent_s: float,
) -> None:
    """Record the limit that an answer names, or that it names none."""
    reading = read_rate(notice.limits)
    if reading.is_odd:
        text = ", ".join(notice.limits)[:MAX_LOGGED_TEXT]
        log_record(
            LimitUnreadable(
                target.name, target.born_ms, request_id, text, reading.rate_s
            )
        )
        if reading.rate_s is None:
            return
    change = resources.chooser.rates.limits.record_answer(
        target.incarnation, reading.rate_s, sent_s, trio.current_time()
    )
    if change is not None:
        log_limit(change, request_id)
        if change.is_urgent:
            resources.follower.report_limits()
