"""Records of the log lines about the fleet state and the control VMs."""

from typing import NamedTuple

__all__ = [
    "ControlForgotten",
    "ControlHeard",
    "DeploymentRefused",
    "DeploymentUnreadable",
    "HomeChosen",
    "LoadsExchanged",
    "MemberRemoved",
    "OrderRead",
    "OrderSettled",
    "OrderUnsettled",
    "StateInForce",
]


class StateInForce(NamedTuple):
    """A newer fleet state came into force on this VM.

    :param quarantined: parts of prompts that are kept from targets; some of them if
        there are many.
    """

    index: int
    number: int
    evacuated: list[str]
    weights: dict[str, int]
    quarantined: list[str]


class OrderRead(NamedTuple):
    """An operator's order, of those that undo each other, was read.

    :param index: index up to which this VM had applied the fleet log then.
    :param connection_s: age of the caller's connection in seconds.
    :param pause_s: length of this process's last pause in seconds; 0 for none.
    """

    kind: str
    subject: str
    index: int
    connection_s: float
    pause_s: float


class OrderSettled(NamedTuple):
    """An operator's order is settled for good.

    :param subject: data centre or model that the order concerns.
    """

    kind: str
    number: int | None
    subject: str | None
    index: int


class OrderUnsettled(NamedTuple):
    """An operator's order was refused, or its outcome is unknown."""

    kind: str
    number: int | None
    subject: str | None
    failure: str
    run: str


class DeploymentRefused(NamedTuple):
    """A deployment document sent by an operator is invalid."""

    detail: str


class DeploymentUnreadable(NamedTuple):
    """A committed deployment can't be read here; the one in force stays."""

    number: int
    detail: str


class ControlHeard(NamedTuple):
    """A control VM's process answered for the first time."""

    address: str
    epoch: str
    index: int


class ControlForgotten(NamedTuple):
    """A control VM is no longer watched."""

    address: str


class HomeChosen(NamedTuple):
    """An entry VM reports its load to another control VM from now on.

    :param previous: address of the one before; empty at first.
    """

    address: str
    previous: str


class LoadsExchanged(NamedTuple):
    """The group of entry VMs that this one exchanges loads with has changed.

    :param group: data centre, number of halvings and part of it; empty for no group.
    :param members: other VMs of the group.
    :param heard: those whose load was received lately.
    """

    group: str
    members: int
    heard: int


class MemberRemoved(NamedTuple):
    """An absent voter was removed from the log's group, or could not be.

    :param failure: type of the failure, empty if the voter was removed.
    """

    peer: str
    failure: str
