"""Answers as evidence of a target's speed, or only of that of a link to it."""

from collections.abc import Sequence

from vanillabeam.capacity.counts import Sums

__all__ = ["SLOW_FACTOR", "contradicts", "is_own_link", "pick_evidence"]

#: Factor on the known time per unit from which a target counts as slow.
SLOW_FACTOR = 1.5
#: Factor between the times of one VM and those of the others from which they differ,
#: and the answers from which a difference is no chance.
DIFFERENCE_FACTOR = 2.0
MIN_ANSWERS = 4


def contradicts(mine: Sums | None, theirs: Sums | None) -> bool:
    """Return whether answers are much later at one VM than at the others."""
    return (
        mine is not None
        and theirs is not None
        and min(mine.answers, theirs.answers) >= MIN_ANSWERS
        and mine.pace_s > DIFFERENCE_FACTOR * theirs.pace_s
    )


def is_own_link(pairs: Sequence[tuple[str, Sums | None, Sums | None]]) -> bool:
    """Return whether this VM's answers are late because of itself or its link.

    They are if most targets that others use too seem slow only from here.
    """
    comparable = late = 0
    for _, mine, theirs in pairs:
        if mine is None or theirs is None:
            continue
        if min(mine.answers, theirs.answers) >= MIN_ANSWERS:
            comparable += 1
            late += contradicts(mine, theirs)
    return late >= 2 and 2 * late > comparable


def pick_evidence(
    mine: Sums | None, theirs: Sums | None, known_s: float, blames_link: bool
) -> Sums | None:
    """Return the answers that show a target's speed for this VM, if any do.

    :param known_s: known seconds per unit; 0 if unknown.
    :param blames_link: whether this VM's answers are late because of itself.
    """
    if theirs is None:
        return mine
    if mine is None:
        is_rumour = theirs.vms < 2 and 0 < known_s * SLOW_FACTOR < theirs.pace_s
        return None if is_rumour else theirs
    if contradicts(mine, theirs):
        return theirs if blames_link else mine
    if theirs.vms < 2 and contradicts(theirs, mine):
        return mine
    return mine.plus(theirs)
