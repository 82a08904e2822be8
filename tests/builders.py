"""Builders of test data that more than one test module uses."""

from vanillabeam.readiness import Readiness

NOTICE_S = 5.0
DEADLINE_S = 60.0


def make_readiness(notice_s: float = NOTICE_S, deadline_s: float = DEADLINE_S):
    return Readiness(notice_s=notice_s, deadline_s=deadline_s)
