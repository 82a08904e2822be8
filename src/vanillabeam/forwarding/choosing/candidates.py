"""Choice of the few targets that an entry VM compares for a prompt.

Entry VMs hear of each other's requests late. If all of them compared all targets,
many would send their next prompts to the one target that was least loaded a moment
ago. Each therefore compares the target that prefers the prompt's shared parts, those
that have them cached, and a few others at random.
"""

import random
from collections.abc import Mapping, Sequence

from vanillabeam.fleet import Target

__all__ = ["sample_candidates"]

#: Targets at random beside the preferred one. One is enough to level the load of
#: many targets, and each further one makes simultaneous choices more alike.
RANDOM_CANDIDATES = 1


def sample_candidates(
    preferred: Sequence[str],
    targets: Mapping[str, Target],
    holders: frozenset[tuple[str, int]],
    data_centre: str,
    rng: random.Random,
) -> set[str]:
    """Return the names of the targets to compare.

    :param preferred: names of all usable targets, the preferred one first.
    :param targets: the usable targets by name.
    :param holders: incarnations that have probably cached the shared parts.
    :param data_centre: data centre in which the others are picked, if it has any.
    """
    first, *others = preferred
    nearby = [name for name in others if targets[name].data_centre == data_centre]
    pool = nearby or others
    picked = rng.sample(pool, min(RANDOM_CANDIDATES, len(pool)))
    cached = [name for name in others if targets[name].incarnation in holders]
    return {first, *picked, *cached}
