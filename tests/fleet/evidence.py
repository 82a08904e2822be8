"""Builders of what entry VMs report of targets that ended."""

from vanillabeam.fleet.evidence import BrokenRequest, Evidence
from vanillabeam.fleet.quarantine import OPEN_TRIAL, QuarantinedPart

NOW_MS = 1_700_000_000_000


def make_broken(target, *parts, sent_s, ended_s, now_s, request_id=None):
    """Return a request that was open at a target when that ended."""
    request_id = request_id or f"r-{target}-{sent_s}-{'-'.join(parts)}"
    return BrokenRequest(request_id, target, 1, parts, now_s - sent_s, now_s - ended_s)


def make_evidence(*broken, answered=None, waiting=(), trying=()):
    return Evidence(
        broken=list(broken),
        answered=answered or {},
        waiting=list(waiting),
        trying=list(trying),
    )


def make_record(**changes):
    fields = {
        "number": 1,
        "since_ms": NOW_MS,
        "targets": 3,
        "was_answered": False,
        "failed": 0,
        "trial": OPEN_TRIAL,
        "next_ms": NOW_MS,
    }
    return QuarantinedPart(**(fields | changes))


class Fleet:
    """Entry VMs that tell a core what they have seen.

    :param suspects: has ``update`` and ``accused``.
    """

    def __init__(self, suspects, entries=("vm-1", "vm-2")):
        self.suspects = suspects
        self.entries = list(entries)
        self.answered_s = {}
        self._ended = 0

    def end(self, ended_s, *requests, sent_s=None):
        """Let a target end under requests, each given by its shared parts.

        :param sent_s: when they were sent; 0.1 s before the end by default.
        """
        self._ended += 1
        sent_s = ended_s - 0.1 if sent_s is None else sent_s
        for number, parts in enumerate(requests):
            broken = make_broken(
                f"t-{self._ended}",
                *parts,
                sent_s=sent_s,
                ended_s=ended_s,
                now_s=ended_s,
                request_id=f"r-{self._ended}-{number}",
            )
            vm = self.entries[number % len(self.entries)]
            self.suspects.update(vm, make_evidence(broken), ended_s)

    def answer(self, part, at_s):
        """Let a target give a whole answer to a prompt with a part."""
        self.answered_s[part] = at_s

    def tell(self, now_s):
        """Let all entry VMs say what they know of the parts they are asked about."""
        for part in self.suspects.accused(now_s):
            for vm in self.entries:
                at_s = self.answered_s.get(part)
                age_s = None if at_s is None or at_s > now_s else now_s - at_s
                self.suspects.update(vm, make_evidence(answered={part: age_s}), now_s)
