"""Trace of one request: its attempts, their times and its outcome."""

from typing import Any

from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.targets import Permit, RouteRequest

__all__ = ["TraceBuilder"]


class TraceBuilder:
    """Builds the trace of a request while it runs.

    The trace holds neither the prompt nor any key.

    :param kind: ``prompt`` or ``service``.
    :param ticket_index: index of the configuration that admitted the request.
    :param now_s: monotonic time at which the request was admitted.
    """

    def __init__(self, kind: str, route: RouteRequest, ticket_index: int, now_s: float):
        self._started_s = now_s
        self._attempts: list[dict[str, Any]] = []
        self._record: dict[str, Any] = {
            "request_id": route.request_id,
            "kind": kind,
            "workspace": route.workspace,
            "model": route.model,
            "service": route.service,
            "ticket_index": ticket_index,
            "attempts": self._attempts,
            "first_token_s": None,
        }

    def add_attempt(self, run_id: str, permit: Permit, now_s: float) -> None:
        """Add an attempt at a target."""
        self._attempts.append(
            {
                "run_id": run_id,
                "data_centre": permit.data_centre,
                "target": permit.target,
                "boot_id": permit.boot_id,
                "version": permit.version,
                "at_s": self._elapsed_s(now_s),
                "resumes": 0,
                "outcome": None,
            }
        )

    def add_resume(self) -> None:
        """Count a new connection to the current run."""
        self._attempts[-1]["resumes"] += 1

    def end_attempt(self, outcome: str, now_s: float) -> None:
        """Record the outcome and end of the current attempt."""
        if self._attempts and self._attempts[-1]["outcome"] is None:
            self._attempts[-1]["outcome"] = outcome
            self._attempts[-1]["ended_s"] = self._elapsed_s(now_s)

    def set_first_token(self, now_s: float) -> None:
        """Record the time of the first piece for the caller."""
        if self._record["first_token_s"] is None:
            self._record["first_token_s"] = self._elapsed_s(now_s)

    def finish(
        self, run: Run, failure: VanillabeamError | None, now_s: float, **extra: Any
    ) -> dict[str, Any]:
        """Return the finished trace.

        :param failure: the failure that ended the request, ``None`` if its
            answer is complete.
        :param extra: further fields of the trace.
        """
        return {
            **self._record,
            "run": str(run),
            "failure": failure.type if failure else None,
            "detail": failure.detail if failure else "",
            "total_s": self._elapsed_s(now_s),
            **extra,
        }

    def _elapsed_s(self, now_s: float) -> float:
        return round(now_s - self._started_s, 6)
