import random

from tests.fleet.builders import BOUNDS
from vanillabeam.fleet import Directory
from vanillabeam.forwarding.choice import Chooser
from vanillabeam.forwarding.dialect import PromptPart, RequestMetadata


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
