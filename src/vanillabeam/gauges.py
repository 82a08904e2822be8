"""Periodic gauges and totals of a VM, sent to statsd."""

import trio

from vanillabeam.metrics import Counter, Gauge, Metrics
from vanillabeam.operators import ObservedVm

__all__ = ["Gauges"]

#: Seconds between two reports to statsd.
PERIOD_S = 10.0


class Gauges:
    """Reads the state of a VM's components and sends it as metrics.

    :param vm: the VM; its components must have been made.
    """

    def __init__(self, vm: ObservedVm):
        self._vm = vm
        self._components = vm.components
        self._metrics: Metrics = vm.metrics
        self._totals: dict[tuple[Counter, str], int] = {}

    async def run(self) -> None:
        """Send all metrics every :data:`PERIOD_S` seconds until cancelled."""
        while True:
            self.send()
            await trio.sleep(PERIOD_S)

    def send(self) -> None:
        """Send all metrics once."""
        self._send_config()
        self._send_members()
        self._send_targets()
        self._send_logs()
        self._send_blocks()
        self._metrics.gauge(Gauge.OPEN_REQUESTS, self._vm.lifecycle.open_requests)
        share = self._vm.accounting.recomputed_share()
        self._metrics.gauge(Gauge.RECOMPUTED_SHARE, share)

    def _send_config(self) -> None:
        config = self._components.config()
        self._metrics.gauge(Gauge.CONFIG_INDEX, config.index)
        for name, data_centre in config.data_centres.items():
            self._metrics.gauge(Gauge.IN_SERVICE, int(data_centre.in_service), by=name)

    def _send_members(self) -> None:
        view = self._components.members.view()
        alive_indexes = [member.state.config_index for member in view.alive]
        remote_indexes = [summary.highest_index for summary in view.summaries.values()]
        self._metrics.gauge(Gauge.PEERS_ALIVE, len(alive_indexes))
        self._metrics.gauge(
            Gauge.CONFIG_INDEX_SEEN, max(alive_indexes + remote_indexes, default=0)
        )

    def _send_targets(self) -> None:
        ready: dict[str, int] = {}
        for view in self._components.targets.router.views.values():
            ready[view.data_centre] = ready.get(view.data_centre, 0) + int(view.open)
        for name, count in ready.items():
            self._metrics.gauge(Gauge.READY_TARGETS, count, by=name)
        status = self._components.targets.status()
        self._metrics.gauge(Gauge.TARGETS_OWNED, len(status["owned"]))
        for priority, count in status["waiting"].items():
            self._metrics.gauge(Gauge.QUEUED, count, by=priority)

    def _send_logs(self) -> None:
        for status in (
            self._components.control.status() if self._components.is_control else ()
        ):
            group = status["group"]
            self._metrics.gauge(Gauge.COMMIT_INDEX, status["commit"], by=group)
            self._count_total(Counter.LOG_COMMITS, status["commit"], group)
            self._count_total(Counter.ELECTIONS, status["term"], group)
            if status["losses_left"] is not None:
                losses_left = status["losses_left"]
                self._metrics.gauge(Gauge.LOSSES_LEFT, losses_left, by=group)

    def _send_blocks(self) -> None:
        report = self._components.cache.report()
        self._count_total(Counter.LINK_BYTES, report.imported_bytes, "import")
        self._count_total(Counter.LINK_BYTES, report.exported_bytes, "export")
        if self._components.store is not None:
            store_report = self._components.store.report()
            self._metrics.gauge(
                Gauge.STORE_BYTES, store_report["memory_used"], by="memory"
            )
            self._metrics.gauge(Gauge.STORE_BYTES, store_report["disk_used"], by="disk")

    def _count_total(self, counter: Counter, total: int, by: str) -> None:
        previous = self._totals.get((counter, by), total)
        self._totals[counter, by] = total
        if total > previous:
            self._metrics.count(counter, total - previous, by=by)
