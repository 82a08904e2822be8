"""Requests of a VM's operators, and the records that answer them."""

from vanillabeam.operators.accounting import Accounting
from vanillabeam.operators.auth import Operators
from vanillabeam.operators.observedvm import ObservedVm
from vanillabeam.operators.paths import OperatorApi, operator_routes
from vanillabeam.operators.service import OperatorService
from vanillabeam.operators.traces import Traces

__all__ = [
    "Accounting",
    "ObservedVm",
    "OperatorApi",
    "OperatorService",
    "Operators",
    "Traces",
    "operator_routes",
]
