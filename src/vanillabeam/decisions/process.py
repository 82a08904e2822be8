"""Records of the log lines about a process and its surroundings."""

from typing import NamedTuple

__all__ = [
    "LibraryWarned",
    "LinesDropped",
    "OverloadChanged",
    "PortFree",
    "PortTaken",
    "Ready",
    "SeedsChanged",
    "SettingsUnreadable",
    "Started",
    "Stopped",
    "TaskFailed",
]


class TaskFailed(NamedTuple):
    """A task beside the requests failed; it runs again, or its piece of work stops.

    :param task: name of the task.
    """

    task: str
    failure: str
    detail: str


class OverloadChanged(NamedTuple):
    """This entry VM has become short of processor time, or no longer is.

    It refuses requests that it would send to a target too late.

    :param overloaded: whether it is short of processor time now.
    :param ready: whether it reports itself ready. It doesn't while others can take
        over.
    :param delay_s: seconds until a request that is read now would be sent.
    :param waited_s: seconds that each recent request waited for its first step.
    :param lag_s: median lateness of timers in seconds.
    :param others: other entry VMs that are overloaded; ``None`` if not known.
    :param refused: requests refused for this since the start of the process.
    """

    overloaded: bool
    ready: bool
    delay_s: float
    waited_s: float
    lag_s: float
    others: int | None
    refused: int


class Started(NamedTuple):
    """The process has started.

    :param digest: digest of its settings.
    """

    version: str
    role: str
    digest: str


class PortTaken(NamedTuple):
    """A listener waits for its port; the rest of the VM goes on meanwhile.

    :param listener: name of the listener.
    """

    listener: str
    address: str
    failure: str
    detail: str


class PortFree(NamedTuple):
    """A listener has the port that it waited for.

    :param listener: name of the listener.
    :param waited_s: seconds that it waited.
    """

    listener: str
    address: str
    waited_s: float


class Ready(NamedTuple):
    """The VM is ready to take requests."""

    index: int


class Stopped(NamedTuple):
    """The process exits; the code is 0 if no request was cut off."""

    code: int


class SeedsChanged(NamedTuple):
    """The list of seeds in the settings has changed."""

    seeds: list[str]


class SettingsUnreadable(NamedTuple):
    """The settings file could not be reloaded; the old settings stay in force."""

    detail: str


class LibraryWarned(NamedTuple):
    """A library logged a warning, for instance that no connection could be accepted.

    :param library: name of its logger.
    """

    library: str
    detail: str


class LinesDropped(NamedTuple):
    """Lines of a kind were dropped because they were over its budget."""

    dropped: str
    count: int
