"""Parts of a VM that its reports and answers to operators read."""

from typing import Protocol

from vanillabeam.burn import BurnCounter
from vanillabeam.components import Components
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.metrics import Metrics
from vanillabeam.operators.accounting import Accounting
from vanillabeam.operators.traces import Traces
from vanillabeam.settings import Settings

__all__ = ["ObservedVm"]


class ObservedVm(Protocol):
    """A running VM whose components are made."""

    cfg: Settings
    components: Components
    lifecycle: Lifecycle
    accounting: Accounting
    metrics: Metrics
    traces: Traces
    burn: BurnCounter
