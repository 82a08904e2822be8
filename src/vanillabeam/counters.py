"""Metrics of a fleet VM in the Prometheus text format."""

from collections.abc import Callable, Iterator

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import GaugeMetricFamily
from starlette.responses import Response

from vanillabeam.decisions import LINE_BUDGETS

__all__ = ["Counters", "CountersApp"]

TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
#: Upper bounds of the histograms' buckets in seconds.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Counters:
    """The metrics of one VM, described in ``docs/OPERATIONS.md``.

    >>> counters = Counters()
    >>> counters.requests.labels("orders", "answered", "200").inc()
    >>> b"vanillabeam_requests_total" in counters.text()
    True
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "requests", "Callers' requests that ended.", "route", "outcome", "reason"
        )
        self.attempts = self._counter(
            "attempts", "Requests sent to targets.", "service", "outcome"
        )
        self.answer_ends = self._counter(
            "answer_ends",
            "Ends of targets' answers, by framing, outcome and last event.",
            "framing",
            "outcome",
            "event",
        )
        self.repeats = self._counter(
            "repeats", "Requests sent to one more target.", "service"
        )
        self.parts = self._counter(
            "prompt_parts", "Shared parts of prompts.", "outcome"
        )
        self.limited_requests = self._counter(
            "limited_requests", "Requests sent to targets that name a limit.", "target"
        )
        self.version_requests = self._counter(
            "version_requests",
            "Requests sent while a rollout of their service ran, by version role.",
            "service",
            "role",
        )
        self.total_s = self._histogram(
            "request_seconds", "Time to the end of an answer.", "route"
        )
        self.first_event_s = self._histogram(
            "first_event_seconds", "Time to a target's head.", "service"
        )

    def count_version(self, service: str, role: str) -> None:
        """Count a request that is sent while a rollout of its service runs.

        :param role: ``new`` or ``old``.
        """
        self.version_requests.labels(service, role).inc()

    def add_gauge(self, name: str, help_text: str, value: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each request for the metrics.

        :param name: name of the metric without the prefix ``vanillabeam_``.
        :param help_text: help text of the metric.
        :param value: returns the current value.
        """
        gauge = Gauge(f"vanillabeam_{name}", help_text, registry=self.registry)
        gauge.set_function(value)

    def add_gauges(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        values: Callable[[], dict[tuple[str, ...], float]],
    ) -> None:
        """Add a gauge for each set of labels that ``values`` returns at a request.

        :param name: name of the metric without the prefix ``vanillabeam_``.
        :param values: returns the current values by the values of the labels.
        """
        self.registry.register(
            _Gauges(f"vanillabeam_{name}", help_text, labels, values)
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"vanillabeam_{name}", help_text, labels, registry=self.registry)

    def _histogram(self, name: str, help_text: str, *labels: str) -> Histogram:
        return Histogram(
            f"vanillabeam_{name}",
            help_text,
            labels,
            buckets=BUCKETS_S,
            registry=self.registry,
        )


class _Gauges:
    """Gauges whose labels are only known when they are read."""

    def __init__(self, name, help_text, labels, values):
        self._family = (name, help_text)
        self._labels = labels
        self._values = values

    def describe(self) -> list[GaugeMetricFamily]:
        return [GaugeMetricFamily(*self._family, labels=self._labels)]

    def collect(self) -> Iterator[GaugeMetricFamily]:
        family = GaugeMetricFamily(*self._family, labels=self._labels)
        for labels, value in self._values().items():
            family.add_metric(labels, value)
        yield family


class CountersApp:
    """ASGI application that serves the metrics at ``/metrics``."""

    def __init__(self, counters: Counters):
        self._counters = counters
        counters.add_gauge(
            "log_lines_dropped",
            "Log lines over their budget.",
            lambda: float(LINE_BUDGETS.dropped),
        )

    async def __call__(self, scope, receive, send) -> None:
        """Answer a request; any path but ``/metrics`` gets status 404."""
        is_metrics_path = scope["path"] == "/metrics"
        body = self._counters.text() if is_metrics_path else b""
        response = Response(body, 200 if is_metrics_path else 404, media_type=TEXT_TYPE)
        await response(scope, receive, send)
