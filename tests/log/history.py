"""Linearizability check of proposals and reads on an append-only list.

A proposal is answered with the command's position in the list, a read with the
list's length. An operation without an answer may have taken effect at any time
after its invocation, or never.
"""

import math
from typing import NamedTuple


class Operation(NamedTuple):
    """One call; ``answer_s`` is infinite if it has no answer."""

    number: int
    kind: str
    value: str | None
    invoke_s: float
    answer_s: float = math.inf
    answer: int | None = None


class NotLinearizable(AssertionError):
    """No order of the operations is consistent with their answers."""


class History:
    """Operations and their answers as clients observed them."""

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

    def discard(self, operation):
        """Remove an operation that certainly had no effect."""
        del self.operations[operation.number]

    def check(self):
        if not is_linearizable(list(self.operations.values())):
            raise NotLinearizable(self.operations)


def is_linearizable(operations):
    """Return whether some order of the operations is consistent with their answers.

    The state is the list's length. An answered proposal must increase the length
    to its answer, and a read must find the length equal to its answer. A proposal
    without an answer only ever adds one, so one is inserted only if no answered
    operation matches the current length.
    """
    answered = [o for o in operations if o.answer is not None]
    invoke_times_s = sorted(o.invoke_s for o in operations if _may_append(o))
    done, used, length = set(), 0, 0
    while len(done) < len(answered):
        candidates = _next_candidates(answered, done)
        step = next((o for o in candidates if _matches_state(o, length)), None)
        if step is not None:
            length += step.kind == "propose"
            done.add(step.number)
            continue
        limit_s = min(o.answer_s for o in answered if o.number not in done)
        if used == len(invoke_times_s) or invoke_times_s[used] > limit_s:
            return False
        used += 1
        length += 1
    return True


def _may_append(operation):
    return operation.answer is None and operation.kind == "propose"


def _next_candidates(answered, done):
    """Return the operations that may come next, reads first.

    They were invoked no later than the first answer among the remaining ones.
    """
    remaining = [o for o in answered if o.number not in done]
    limit_s = min(o.answer_s for o in remaining)
    candidates = [o for o in remaining if o.invoke_s <= limit_s]
    return sorted(candidates, key=lambda o: o.kind == "propose")


def _matches_state(operation, length):
    if operation.kind == "propose":
        return operation.answer == length + 1
    return operation.answer == length
