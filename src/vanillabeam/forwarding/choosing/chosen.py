"""A chosen target and the inputs of the choice."""

from typing import NamedTuple

from vanillabeam.fleet import Target

__all__ = ["Choice"]


class Choice(NamedTuple):
    """A chosen target and the inputs of the choice.

    :param candidates: number of targets that could have taken the request.
    :param is_cold: whether the target is in its cold window.
    :param age_s: seconds since the target's last announcement.
    :param work: work that the request causes at the target, in tokens to prefill.
    :param loads_age_s: seconds since the load of other entry VMs arrived; ``None``
        before.
    :param failing: by how much more often the target fails than its service does.
    :param wait_s: expected time to the first event; 0 if it is unknown.
    :param memory_tokens: tokens of memory that the request takes at the target.
    :param tries_speed: whether the expected time is to be tried, as it is of old.
    """

    target: Target
    candidates: int = 1
    is_cold: bool = False
    age_s: float = 0.0
    loads_age_s: float | None = None
    failing: float = 0.0
    work: int = 0
    wait_s: float = 0.0
    memory_tokens: int = 0
    tries_speed: bool = False
