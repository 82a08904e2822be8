"""Recording of each finished request: trace, log line, metrics and burn."""

from typing import Any

import trio
from loguru import logger

from vanillabeam.answers import CallerDisconnected, RetriesDenied
from vanillabeam.burn import BurnCounter, Outcome
from vanillabeam.claims import ClaimUnknown
from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.metrics import Counter, Metrics, Timer
from vanillabeam.operators.traces import Traces

__all__ = ["Accounting"]

CALLER_LEFT = CallerDisconnected.type
RETRIES_DENIED = RetriesDenied.type
CLAIM_UNKNOWN = ClaimUnknown.type


class Accounting:
    """Records finished and refused requests.

    :param traces: stores the records as traces.
    :param burn: counts requests against the service-level objectives.
    :param metrics: sends counts and durations to statsd.
    """

    def __init__(self, traces: Traces, burn: BurnCounter, metrics: Metrics):
        self._traces = traces
        self._burn = burn
        self._metrics = metrics
        self._prompt_tokens = 0
        self._recomputed_tokens = 0

    def recomputed_share(self) -> float:
        """Return the share of recomputed prompt tokens since the last call."""
        share = self._recomputed_tokens / max(1, self._prompt_tokens)
        self._prompt_tokens = self._recomputed_tokens = 0
        return share

    def record_finished(self, request_id: str, record: dict[str, Any]) -> None:
        """Record a finished request for which a target was requested."""
        self._traces.add(request_id, record)
        outcome = _outcome(record)
        data_centre = _last(record, "data_centre")
        now_s = trio.current_time()
        gap_s = _token_gap_s(record)
        prompt_tokens = record.get("prompt_tokens", 0)
        self._burn.record(
            now_s,
            record["workspace"],
            data_centre,
            record["first_token_s"],
            gap_s,
            outcome,
            prompt_tokens,
            record.get("recomputed_tokens", 0),
        )
        self._send_metrics(record, outcome, data_centre, gap_s)
        self._log(request_id, record, outcome)

    def record_refused(
        self, request_id: str, exc: VanillabeamError, **fields: Any
    ) -> None:
        """Record a request that was refused before a target was requested."""
        if exc.type == CLAIM_UNKNOWN:
            self._metrics.count(Counter.CLAIMS_UNKNOWN)
        self._metrics.count(Counter.REQUESTS, by=str(Outcome.REFUSED))
        self._metrics.count(Counter.SHEDS, by=exc.type)
        logger.bind(
            request_id=request_id,
            failure=exc.type,
            detail=exc.detail,
            status=int(exc.status),
            **fields,
        ).info("refused")

    def _send_metrics(
        self,
        record: dict[str, Any],
        outcome: Outcome,
        data_centre: str,
        gap_s: float | None,
    ) -> None:
        metrics = self._metrics
        metrics.count(Counter.REQUESTS, by=str(outcome))
        if outcome is Outcome.COMPLETED:
            metrics.count(Counter.SERVED, by=data_centre)
        if record["first_token_s"] is not None:
            metrics.time(Timer.FIRST_TOKEN, record["first_token_s"])
        if gap_s is not None:
            metrics.time(Timer.TOKEN_GAP, gap_s)
        self._count_tokens(record)
        self._count_attempts(record["attempts"])
        if record["failure"] == RETRIES_DENIED:
            metrics.count(Counter.RETRIES_DENIED)
        if record["failure"] is not None and record["run"] == Run.NOT_RUN:
            metrics.count(Counter.SHEDS, by=record["failure"])

    def _count_tokens(self, record: dict[str, Any]) -> None:
        prompt = record.get("prompt_tokens", 0)
        recomputed = record.get("recomputed_tokens", 0)
        self._prompt_tokens += prompt
        self._recomputed_tokens += recomputed
        self._metrics.count(Counter.PROMPT_TOKENS, prompt)
        self._metrics.count(Counter.RECOMPUTED_TOKENS, recomputed)

    def _count_attempts(self, attempts: list[dict[str, Any]]) -> None:
        if not attempts:
            return
        self._metrics.time(Timer.QUEUE_WAIT, attempts[0]["at_s"])
        if len(attempts) > 1:
            self._metrics.count(Counter.RETRIES, len(attempts) - 1)
        resumes = sum(attempt["resumes"] for attempt in attempts)
        if resumes:
            self._metrics.count(Counter.RESUMES, resumes)

    def _log(self, request_id: str, record: dict[str, Any], outcome: Outcome) -> None:
        bound_logger = logger.bind(
            request_id=request_id,
            workspace=record["workspace"],
            index=record["ticket_index"],
            target=_last(record, "target"),
            version=_last(record, "version"),
            run=record["run"],
            attempts=len(record["attempts"]),
            first_token_s=record["first_token_s"],
            total_s=record["total_s"],
        )
        if record["failure"] is not None:
            bound_logger = bound_logger.bind(
                failure=record["failure"], detail=record["detail"]
            )
        bound_logger.info(str(outcome))


def _outcome(record: dict[str, Any]) -> Outcome:
    if record["failure"] is None:
        return Outcome.COMPLETED
    if record["failure"] == CALLER_LEFT:
        return Outcome.CALLER_DISCONNECTED
    if record["run"] == Run.NOT_RUN:
        return Outcome.REFUSED
    return Outcome.FAILED


def _last(record: dict[str, Any], field: str) -> str:
    attempts = record["attempts"]
    return attempts[-1][field] if attempts else ""


def _token_gap_s(record: dict[str, Any]) -> float | None:
    pieces = record.get("pieces", 0)
    if record["first_token_s"] is None or pieces < 2:
        return None
    return (record["total_s"] - record["first_token_s"]) / (pieces - 1)
