"""Arrival processes: open loop, heavy-tailed gaps, skewed workspaces."""

from typing import NamedTuple

import numpy as np

__all__ = ["Arrival", "open_loop", "return_gaps", "skewed_workspaces"]

_GAP_SIGMA = 1.5


class Arrival(NamedTuple):
    """Request of an open-loop load.

    :param at_s: seconds after the start of the load.
    :param workspace: number of the workspace; 0 is the busiest.
    """

    at_s: float
    workspace: int


def open_loop(
    seed: int,
    rate_s: float,
    duration_s: float,
    workspaces: int = 1,
    skew: float = 1.0,
    burstiness: float = 1.0,
) -> list[Arrival]:
    """Return arrivals that don't wait for answers, in order of time.

    :param rate_s: mean requests per second.
    :param duration_s: length of the load in seconds.
    :param workspaces: number of workspaces.
    :param skew: exponent of the Zipf distribution over workspaces; 0 is uniform.
    :param burstiness: squared coefficient of variation of the gaps; 1 is a
        Poisson process, more is burstier.
    """
    rng = np.random.default_rng(seed)
    count = int(rate_s * duration_s)
    shape = 1.0 / burstiness
    gaps = rng.gamma(shape, 1.0 / (shape * rate_s), count)
    times = np.cumsum(gaps)
    owners = _zipf(rng, workspaces, skew, count)
    pairs = zip(times.tolist(), owners.tolist(), strict=True)
    return [Arrival(at_s, owner) for at_s, owner in pairs if at_s < duration_s]


def return_gaps(seed: int, count: int, median_s: float) -> list[float]:
    """Return log-normal gaps in seconds between a prompt and its follow-up.

    With a median of half an hour, one in a hundred is above 16 hours.

    :param count: number of gaps.
    :param median_s: median of the gaps in seconds.
    """
    rng = np.random.default_rng(seed)
    return rng.lognormal(np.log(median_s), _GAP_SIGMA, count).tolist()


def skewed_workspaces(seed: int, count: int, workspaces: int, skew: float) -> list[int]:
    """Return ``count`` workspace numbers from a Zipf distribution.

    :param workspaces: number of workspaces; 0 is the busiest.
    :param skew: exponent of the distribution; 0 is uniform.
    """
    rng = np.random.default_rng(seed)
    return _zipf(rng, workspaces, skew, count).tolist()


def _zipf(
    rng: np.random.Generator, workspaces: int, skew: float, count: int
) -> np.ndarray:
    weights = np.arange(1, workspaces + 1, dtype=float) ** -skew
    return rng.choice(workspaces, size=count, p=weights / weights.sum())
