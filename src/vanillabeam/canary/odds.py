"""Sequential test of a share of bad responses against the share of a baseline.

Each response multiplies the odds that the share is higher than the baseline's by the
ratio of the two probabilities of that response. The alternative is a mixture over all
shares that are higher by a margin, so it need not be known how bad a version is. If the
share is not higher, the odds exceed ``1 / e`` at any time of the whole test with a
probability of at most ``e`` (Ville's inequality), so they may be read after each
response.
"""

from math import exp, inf, log, sqrt

__all__ = ["MIN_BAD", "PRIOR_SHARE", "base_share", "log_odds"]

#: Smallest baseline: a few failures of a service that never failed convict nothing.
MIN_SHARE = 0.02
#: Least excess over the baseline that counts, and its increase with the baseline.
MARGIN = 0.05
MARGIN_FACTOR = 0.35
#: Standard errors by which the baseline is estimated higher.
ERRORS = 1.0
#: Responses that a prior estimate of the baseline counts for, and the estimate while
#: nothing is known.
PRIOR_RESPONSES = 10.0
PRIOR_SHARE = 0.1
#: Number of bad responses below which a version is never called bad.
MIN_BAD = 5.0
#: Shares in the mixture, and the highest one.
SHARES = 16
MAX_SHARE = 0.98


def base_share(bad: float, responses: float, prior: float = PRIOR_SHARE) -> float:
    """Return a cautious estimate of the share of bad responses of the baseline.

    :param prior: estimate without these responses.
    """
    count = responses + PRIOR_RESPONSES
    share = min(1.0, (bad + PRIOR_RESPONSES * prior) / count)
    error = sqrt(share * (1 - share) / count)
    return max(MIN_SHARE, share + ERRORS * error)


def log_odds(bad: float, responses: float, base: float) -> float:
    """Return the logarithm of the odds that the share is above ``base``.

    :param bad: bad responses; fractions of one are allowed.

    >>> round(log_odds(12, 20, 0.14), 1) > 9.0
    True
    """
    low = base + MARGIN + MARGIN_FACTOR * base
    if bad < MIN_BAD or low >= MAX_SHARE or responses <= 0:
        return -inf
    good = max(0.0, responses - bad)
    step = (MAX_SHARE - low) / SHARES
    ratios = []
    for number in range(SHARES):
        share = low + (number + 0.5) * step
        ratios.append(bad * log(share / base) + good * log((1 - share) / (1 - base)))
    highest = max(ratios)
    return highest + log(sum(exp(ratio - highest) for ratio in ratios) / SHARES)
