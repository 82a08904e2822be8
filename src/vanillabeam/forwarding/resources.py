"""State that all requests of an entry VM share."""

from typing import NamedTuple

from vanillabeam.counters import Counters
from vanillabeam.fleet import Follower
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.forwarding.dialect import Dialect
from vanillabeam.forwarding.judging.endings import TargetEnds
from vanillabeam.forwarding.judging.endprobe import EndProbe
from vanillabeam.forwarding.judging.gate import QuarantineGate
from vanillabeam.forwarding.sending.pools import Pools
from vanillabeam.forwarding.sending.sentparts import SentParts
from vanillabeam.memory import MemoryBudget

__all__ = ["Resources"]


class Resources(NamedTuple):
    """State that all requests of an entry VM share.

    :param follower: follows the state of the fleet.
    :param sent_parts: prompt parts that targets were sent recently.
    :param memory: bytes of bodies that all requests may hold.
    :param ends: requests that broke with their targets.
    :param probe: checks whether targets have ended.
    :param gate: bars requests with quarantined parts.
    """

    dialect: Dialect
    follower: Follower
    chooser: Chooser
    pools: Pools
    sent_parts: SentParts
    counters: Counters
    memory: MemoryBudget
    ends: TargetEnds
    probe: EndProbe
    gate: QuarantineGate
