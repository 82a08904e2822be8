"""A VM's copy of the configuration: steps, pages, history."""

from collections import deque
from collections.abc import Iterator
from typing import Any

import msgspec

from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.spread.messages import PageReply, PageRequest, StepsReply
from vanillabeam.tickets import ConfigStep, apply_ticket, config_hash, parse
from vanillabeam.tickets.changes import EMPTY_HASH, rehash
from vanillabeam.tickets.document import SECTIONS

__all__ = ["ConfigCopy", "PAGE_ORDER"]

HISTORY_STEPS = 1_024
HISTORY_BYTES = 1024 * 1024
REPLY_BYTES = 64 * 1024
PAGE_BYTES = 8 * 1024

#: Workspaces come last: there are many, and serving can begin without them.
PAGE_ORDER = tuple(sorted(SECTIONS, key=lambda section: section == "workspaces"))

_RECORD_TYPES = {
    section: Config.__annotations__[section].__args__[1] for section in SECTIONS
}


class ConfigCopy:
    """One configuration with its hash and the steps that led to it.

    :param after: section and name of the last record of a copy that is still
        being fetched; ``None`` once it is whole.
    """

    def __init__(
        self,
        config: Config | None = None,
        hash: str = EMPTY_HASH,
        after: list[str] | None = None,
    ):
        self.config = config if config is not None else Config()
        self.hash = hash
        self.after = after
        self._history: deque[ConfigStep] = deque()
        self._history_bytes = 0

    @property
    def index(self) -> int:
        """Ticket index of the configuration."""
        return self.config.index

    @property
    def whole(self) -> bool:
        """Whether no record is missing."""
        return self.after is None

    @property
    def can_serve(self) -> bool:
        """Whether nothing but workspaces may be missing."""
        return self.whole or self.after[:1] == ["workspaces"]

    def apply(self, step: ConfigStep) -> bool:
        """Apply ``step`` if it follows, and return whether it did.

        :raises InvariantBroken: if it leads to another hash than it says, or
            to one that this copy has otherwise at the same index.
        """
        self.check(step.index, step.hash)
        if step.previous != self.index or step.index <= step.previous:
            return False
        ticket = parse(step.command).value_or(None)
        if ticket is None:
            raise InvariantBroken(f"step {step.index} is no ticket of this release")
        after = apply_ticket(self.config, ticket, step.index)
        if self.whole:
            found = rehash(self.hash, self.config, after, ticket)
            if found != step.hash:
                raise InvariantBroken(f"step {step.index} leads to another hash")
        self.config, self.hash = after, step.hash
        self._remember(step)
        return True

    def check(self, index: int, hash: str) -> None:
        """Compare with what another VM has.

        :raises InvariantBroken: if the index is the same and the hash is not.
        """
        if index == self.index and hash and hash != self.hash:
            raise InvariantBroken(f"index {index} has two hashes")

    def _remember(self, step: ConfigStep) -> None:
        self._history.append(step)
        self._history_bytes += len(step.command)
        while len(self._history) > HISTORY_STEPS or self._history_bytes > HISTORY_BYTES:
            self._history_bytes -= len(self._history.popleft().command)

    def steps_after(self, index: int) -> list[ConfigStep] | None:
        """Return steps from ``index`` on, as many as fit one reply.

        :returns: ``None`` if they are no longer kept.
        """
        if index >= self.index:
            return []
        steps: list[ConfigStep] = []
        size = 0
        following = False
        for step in self._history:
            following = following or step.previous == index
            if not following:
                continue
            size += len(step.command)
            if steps and size > REPLY_BYTES:
                break
            steps.append(step)
        return steps or None

    def steps_reply(self, index: int, digest_only: bool) -> StepsReply:
        """Answer a request for the steps after ``index``."""
        steps = [] if digest_only else self.steps_after(index)
        return {
            "index": self.index,
            "hash": self.hash,
            "steps": steps or [],
            "too_old": steps is None,
        }

    def page_reply(self, request: PageRequest) -> PageReply | None:
        """Answer a request for records.

        :returns: ``None`` if this copy is behind the one asked for.
        """
        index = request["index"]
        if not self.whole or index > self.index:
            return None
        reply: PageReply = {
            "index": self.index,
            "hash": self.hash,
            "records": [],
            "steps": [],
            "end": False,
        }
        if request["after"] and index < self.index:
            steps = self.steps_after(index)
            if steps is None:
                return None
            return {**reply, "steps": steps}
        reply["records"], reply["end"] = self._page(request["after"])
        return reply

    def _page(self, after: list[str]) -> tuple[list[tuple[str, str, Any]], bool]:
        records: list[tuple[str, str, Any]] = []
        size = 0
        for section, name in self._names_after(after):
            if size >= PAGE_BYTES:
                return records, False
            record = getattr(self.config, section)[name]
            records.append((section, name, record))
            size += len(msgspec.json.encode(record))
        return records, True

    def _names_after(self, after: list[str]) -> Iterator[tuple[str, str]]:
        start = PAGE_ORDER.index(after[0]) if after else 0
        for place, section in enumerate(PAGE_ORDER[start:]):
            names = sorted(getattr(self.config, section))
            for name in names:
                if place or not after or name > after[1]:
                    yield section, name

    def take_page(self, page: PageReply) -> bool:
        """Take in a page, and return whether it fitted this copy.

        :raises InvariantBroken: if the copy is whole with it and its records
            don't give its hash.
        """
        if self.whole:
            return False
        if page["steps"]:
            applied = [self.apply(step) for step in page["steps"]]
            return any(applied)
        if not self.after:
            self.config = Config(page["index"])
            self.hash = page["hash"]
        if page["index"] != self.index:
            return False
        self.check(page["index"], page["hash"])
        self._add(page["records"])
        if page["end"]:
            self.after = None
            if config_hash(self.config) != self.hash:
                raise InvariantBroken(f"copy of index {self.index} has another hash")
        return True

    def _add(self, records: list[tuple[str, str, Any]]) -> None:
        changed: dict[str, dict[str, Any]] = {}
        for section, name, fields in records:
            if section not in changed:
                changed[section] = dict(getattr(self.config, section))
            record = msgspec.convert(fields, _RECORD_TYPES[section])
            changed[section][name] = record
        self.config = self.config._replace(**changed)
        if records:
            self.after = [records[-1][0], records[-1][1]]
