"""Fleets and events of the simulated prompts under which targets end."""

from typing import NamedTuple

__all__ = ["LARGE", "POISON_FROM_S", "SCENARIOS", "SMALL", "Scenario", "Shape"]

POISON_FROM_S = 3.0


class Shape(NamedTuple):
    """A fleet and its traffic.

    :param sound_s: sound prompts a second.
    :param poll_s: seconds between two polls of the leader by an entry VM.
    """

    entries: int
    targets: int
    sound_s: float
    poll_s: float
    contact_s: float


SMALL = Shape(9, 9, 30.0, 0.25, 3.0)
LARGE = Shape(194, 59, 400.0, 0.65, 4.0)


class Scenario(NamedTuple):
    """Events from ``POISON_FROM_S`` on.

    :param poison_s: prompts with the part a second.
    :param killed: times at which targets are killed, and the share of them.
    :param flap_s: mean seconds for which each target runs; 0 if it doesn't end.
    :param lost: share of answers that are lost while their target goes on.
    :param hot: share of the prompts that have the same first part.
    """

    poison_s: float = 0.0
    killed: tuple[tuple[float, float], ...] = ()
    flap_s: float = 0.0
    lost: float = 0.0
    hot: float = 0.25


SCENARIOS = {
    "part, 7 a second": Scenario(7.0),
    "part, 0.3 a second": Scenario(0.3),
    "part, 30 a second": Scenario(30.0),
    "part beside targets that flap": Scenario(2.0, flap_s=6.0),
    "half killed at once": Scenario(killed=((4.0, 0.5),)),
    "killed in series": Scenario(killed=tuple((4 + 0.3 * n, 0.2) for n in range(20))),
    "all killed, hot part": Scenario(
        killed=((4.0, 1.0), (9.0, 1.0), (14.0, 1.0)), hot=0.8
    ),
    "targets flap": Scenario(flap_s=4.0),
    "targets flap fast, hot part": Scenario(flap_s=0.7, hot=0.8),
    "answers lost": Scenario(lost=0.5),
}
