"""In-memory cache of the traces of recently finished requests."""

from collections import OrderedDict
from typing import Any

from returns.result import Failure, Result, Success

from vanillabeam.exceptions import UnknownTrace

__all__ = ["Traces"]

MAX_TRACES = 20_000


class Traces:
    """Bounded cache of traces by request id.

    :param max_traces: number of traces to keep; the oldest is evicted first.
    """

    def __init__(self, max_traces: int = MAX_TRACES):
        self._kept = max_traces
        self._traces: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def add(self, request_id: str, trace: dict[str, Any]) -> None:
        """Store the trace of a request.

        :param trace: JSON object without prompts and keys.
        """
        self._traces[request_id] = trace
        self._traces.move_to_end(request_id)
        if len(self._traces) > self._kept:
            self._traces.popitem(last=False)

    def get(self, request_id: str) -> Result[dict[str, Any], UnknownTrace]:
        """Return the trace of a request."""
        trace = self._traces.get(request_id)
        if trace is None:
            return Failure(UnknownTrace(request_id))
        return Success(trace)
