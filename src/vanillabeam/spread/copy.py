"""A VM's copy of the configuration, updated by steps or fetched in pages."""

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

__all__ = ["ConfigCopy", "SECTION_ORDER"]

#: Bounds of the recent steps that a copy keeps for VMs that are behind.
MAX_HISTORY_STEPS = 1_024
MAX_HISTORY_BYTES = 1024 * 1024
#: Size of the commands in one reply; a single larger step is still sent.
MAX_REPLY_BYTES = 64 * 1024
#: Size at which a page is full; its last record may go beyond it.
PAGE_BYTES = 8 * 1024

#: Sections in the order of the pages. Workspaces come last: there are many, and a VM
#: can serve without them.
SECTION_ORDER = tuple(sorted(SECTIONS, key=lambda section: section == "workspaces"))

_RECORD_TYPES = {
    section: Config.__annotations__[section].__args__[1] for section in SECTIONS
}


class ConfigCopy:
    """A configuration with its hash and the recent steps that led to it.

    :param cursor: section and name of the last record fetched so far; empty
        before the first page, ``None`` once all records are present.
    """

    def __init__(
        self,
        config: Config | None = None,
        hash: str = EMPTY_HASH,
        cursor: list[str] | None = None,
    ):
        self.config = config if config is not None else Config()
        self.hash = hash
        self.cursor = cursor
        self._history: deque[ConfigStep] = deque()
        self._history_bytes = 0

    @property
    def index(self) -> int:
        """Index of the last ticket in the configuration."""
        return self.config.index

    @property
    def is_complete(self) -> bool:
        """Whether all records are present."""
        return self.cursor is None

    @property
    def can_serve(self) -> bool:
        """Whether all records but workspaces are present."""
        return self.is_complete or self.cursor[:1] == ["workspaces"]

    def apply(self, step: ConfigStep) -> bool:
        """Apply ``step`` if it directly follows this copy's index.

        :returns: whether it was applied.
        :raises InvariantBroken: if the result doesn't have the step's hash, or if
            this copy has another hash at the step's index.
        """
        self.check_hash(step.index, step.hash)
        if step.previous != self.index or step.index <= step.previous:
            return False
        ticket = parse(step.command).value_or(None)
        if ticket is None:
            raise InvariantBroken(f"step {step.index} is no ticket of this release")
        config = apply_ticket(self.config, ticket, step.index)
        if self.is_complete:
            new_hash = rehash(self.hash, self.config, config, ticket)
            if new_hash != step.hash:
                raise InvariantBroken(f"step {step.index} leads to another hash")
        self.config, self.hash = config, step.hash
        self._append_history(step)
        return True

    def check_hash(self, index: int, hash: str) -> None:
        """Compare an index and hash of another VM with this copy's.

        :param hash: empty if it isn't known; nothing is compared then.
        :raises InvariantBroken: if the indexes are equal and the hashes differ.
        """
        if index == self.index and hash and hash != self.hash:
            raise InvariantBroken(f"index {index} has two hashes")

    def _append_history(self, step: ConfigStep) -> None:
        self._history.append(step)
        self._history_bytes += len(step.command)
        while (
            len(self._history) > MAX_HISTORY_STEPS
            or self._history_bytes > MAX_HISTORY_BYTES
        ):
            self._history_bytes -= len(self._history.popleft().command)

    def steps_after(self, index: int) -> list[ConfigStep] | None:
        """Return the steps that follow ``index``, as many as fit one reply.

        :returns: ``None`` if the history no longer holds them.
        """
        if index >= self.index:
            return []
        steps: list[ConfigStep] = []
        size = 0
        reached = False
        for step in self._history:
            reached = reached or step.previous == index
            if not reached:
                continue
            size += len(step.command)
            if steps and size > MAX_REPLY_BYTES:
                break
            steps.append(step)
        return steps or None

    def steps_reply(self, index: int, digest_only: bool) -> StepsReply:
        """Return the reply to a request for the steps after ``index``."""
        steps = [] if digest_only else self.steps_after(index)
        return {
            "index": self.index,
            "hash": self.hash,
            "steps": steps or [],
            "too_old": steps is None,
        }

    def page_reply(self, request: PageRequest) -> PageReply | None:
        """Return the reply to a request for records.

        :returns: ``None`` if this copy is incomplete or older than the requested
            index, or no longer holds the steps after that index.
        """
        index = request["index"]
        if not self.is_complete or index > self.index:
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
        reply["records"], reply["end"] = self._page_records(request["after"])
        return reply

    def _page_records(
        self, cursor: list[str]
    ) -> tuple[list[tuple[str, str, Any]], bool]:
        records: list[tuple[str, str, Any]] = []
        size = 0
        for section, name in self._names_after(cursor):
            if size >= PAGE_BYTES:
                return records, False
            record = getattr(self.config, section)[name]
            records.append((section, name, record))
            size += len(msgspec.json.encode(record))
        return records, True

    def _names_after(self, cursor: list[str]) -> Iterator[tuple[str, str]]:
        start = SECTION_ORDER.index(cursor[0]) if cursor else 0
        for offset, section in enumerate(SECTION_ORDER[start:]):
            names = sorted(getattr(self.config, section))
            for name in names:
                if offset or not cursor or name > cursor[1]:
                    yield section, name

    def add_page(self, page: PageReply) -> bool:
        """Add the records or steps of ``page`` if they continue this copy.

        :returns: whether the page continued this copy.
        :raises InvariantBroken: if this page completes the copy and the hash of
            its records isn't the one announced.
        """
        if self.is_complete:
            return False
        if page["steps"]:
            applied = [self.apply(step) for step in page["steps"]]
            return any(applied)
        if not self.cursor:
            self.config = Config(page["index"])
            self.hash = page["hash"]
        if page["index"] != self.index:
            return False
        self.check_hash(page["index"], page["hash"])
        self._add_records(page["records"])
        if page["end"]:
            self.cursor = None
            if config_hash(self.config) != self.hash:
                raise InvariantBroken(f"copy of index {self.index} has another hash")
        return True

    def _add_records(self, records: list[tuple[str, str, Any]]) -> None:
        changed: dict[str, dict[str, Any]] = {}
        for section, name, fields in records:
            if section not in changed:
                changed[section] = dict(getattr(self.config, section))
            record = msgspec.convert(fields, _RECORD_TYPES[section])
            changed[section][name] = record
        self.config = self.config._replace(**changed)
        if records:
            self.cursor = [records[-1][0], records[-1][1]]
