import random

from tests.fleet.builders import BOUNDS
from vanillabeam.counters import Counters
from vanillabeam.fleet import Directory
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.forwarding.dialect import PromptPart, RequestMetadata
from vanillabeam.forwarding.judging.endings import TargetEnds
from vanillabeam.forwarding.judging.endprobe import EndProbe
from vanillabeam.forwarding.judging.gate import QuarantineGate
from vanillabeam.forwarding.resources import Resources
from vanillabeam.forwarding.sending.sentparts import SentParts
from vanillabeam.memory import MemoryBudget


def make_metadata(**changes):
    fields = {
        "request_id": "r-1",
        "host": "shop.example",
        "method": "POST",
        "path": "/orders/1",
        "target": b"/orders/1",
    }
    return RequestMetadata(**(fields | changes))


def make_prompt(session="s-1", **changes):
    parts = (PromptPart("sys", 10), PromptPart(session, 90), PromptPart("own", 5))
    return make_metadata(model="m", parts=parts, **changes)


def make_chooser(*targets, now_s=0.0):
    directory = Directory()
    for target in targets:
        directory.update(target, now_s)
    return Chooser("vm-1", "a", directory, BOUNDS, random.Random(1))


def make_resources(follower, chooser, **changes):
    """Return what the requests of one entry VM share, without a network."""
    ends = TargetEnds()
    fields = {
        "dialect": None,
        "follower": follower,
        "chooser": chooser,
        "pools": None,
        "sent_parts": SentParts(),
        "counters": Counters(),
        "memory": MemoryBudget(),
        "ends": ends,
        "probe": EndProbe(ends, chooser._directory, chooser),
        "gate": QuarantineGate("vm-1", ends),
    }
    return Resources(**(fields | changes))


def teach_speed(load, tokens_s, *targets, now_s=0.0):
    """Let other entry VMs have seen how fast targets are."""
    took_ms = round(10_000 / tokens_s * 1_000)
    sums = {name: [2, 1, 1, took_ms, 10_000] for name in targets or ("t-known",)}
    load.capacity.update_others({"prefills": sums}, now_s)
    for name in sums:
        load.capacity.tokens_s(name, "llm", now_s)
