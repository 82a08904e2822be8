"""Settings of the replicated log of a fleet."""

from vanillabeam.fleet.machine import order_subject
from vanillabeam.fleet.records import Bounds
from vanillabeam.log import LogSettings

__all__ = ["LOG_SETTINGS", "log_settings"]

LOG_SETTINGS = LogSettings(
    heartbeat_s=0.2,
    election_s=0.7,
    propose_timeout_s=3.0,
    allow_any_vm=True,
    open_requires_all=True,
    subject=order_subject,
)
#: Share of the time to catch up after which a silent voter gives way to a learner; the
#: rest is for an election, a join and two changes of membership.
REPLACE_SHARE = 0.5
#: Multiple of that time after which a voter is removed without one.
REMOVE_FACTOR = 2.0


def log_settings(bounds: Bounds) -> LogSettings:
    """Return the settings of the fleet log for an operator's bounds.

    A voter is never found absent before its silence has lasted for two elections.
    """
    shortest_s = 2 * LOG_SETTINGS.election_s
    return LOG_SETTINGS._replace(
        losses=bounds.losses,
        replace_after_s=max(REPLACE_SHARE * bounds.catch_up_s, shortest_s),
        remove_after_s=max(REMOVE_FACTOR * bounds.catch_up_s, shortest_s),
    )
