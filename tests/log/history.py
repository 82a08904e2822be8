"""Linearizability of proposals and reads on an append-only list.

Proposals answer the command's place, reads the length. An operation without
an answer may have taken effect at any time after its invocation, or never.
"""

import math
from typing import NamedTuple


class Operation(NamedTuple):
    """One call; ``answer_s`` is infinite where no answer came."""

    number: int
    kind: str
    value: str | None
    invoke_s: float
    answer_s: float = math.inf
    answer: int | None = None


class NotLinearizable(AssertionError):
    """No order of the operations explains their answers."""


class History:
    """Operations as they were seen from outside."""

    def __init__(self):
        self.operations = {}
        self.count = 0

    def __len__(self):
        return self.count

    def invoke(self, now_s, kind, value):
        self.count += 1
        operation = Operation(self.count, kind, value, now_s)
        self.operations[operation.number] = operation
        return operation

    def answer(self, operation, now_s, answer):
        answered = operation._replace(answer_s=now_s, answer=answer)
        self.operations[operation.number] = answered

    def forget(self, operation):
        """Drop an operation that certainly had no effect."""
        del self.operations[operation.number]

    def check(self):
        if not is_linearizable(list(self.operations.values())):
            raise NotLinearizable(self.operations)


def is_linearizable(operations):
    """Return whether some order explains the answers.

    The state is the list's length: an answered proposal must be the one that
    makes it its answer, a read must see its answer. Proposals without an
    answer only ever add one, so they are tried where a gap needs filling.
    """
    answered = [o for o in operations if o.answer is not None]
    open_times = sorted(o.invoke_s for o in operations if _may_add(o))
    done, open_used, length = set(), 0, 0
    while len(done) < len(answered):
        ready = _ready(answered, done)
        step = next((o for o in ready if _fits(o, length)), None)
        if step is not None:
            length += step.kind == "propose"
            done.add(step.number)
            continue
        limit_s = min(o.answer_s for o in answered if o.number not in done)
        if open_used == len(open_times) or open_times[open_used] > limit_s:
            return False
        open_used += 1
        length += 1
    return True


def _may_add(operation):
    return operation.answer is None and operation.kind == "propose"


def _ready(answered, done):
    """Return what may come next: invoked before any other's answer."""
    left = [o for o in answered if o.number not in done]
    limit_s = min(o.answer_s for o in left)
    ready = [o for o in left if o.invoke_s <= limit_s]
    return sorted(ready, key=lambda o: o.kind == "propose")


def _fits(operation, length):
    if operation.kind == "propose":
        return operation.answer == length + 1
    return operation.answer == length
