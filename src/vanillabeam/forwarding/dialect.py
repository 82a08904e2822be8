"""What forwarding needs of whoever speaks with callers and targets."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from returns.result import Result

from vanillabeam.exceptions import VanillabeamError
from vanillabeam.fleet import Deployment
from vanillabeam.fleet.parts import StoredPart

__all__ = ["Dialect", "Facts", "Handover", "Headers", "PromptPart", "Verdict"]

Headers = list[tuple[bytes, bytes]]


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


class Facts(NamedTuple):
    """What a caller's request says of itself.

    :param target: path and query as they came.
    :param budget_s: how long the caller waits; ``None`` if it does not say.
    :param key: the caller's key, empty without one.
    :param model: empty where no model is asked for.
    :param parts: the prompt's parts in order.
    :param output_tokens: most tokens that it generates.
    :param last_event_id: of a stream that the caller resumes.
    """

    request_id: str
    host: str
    method: str
    path: str
    target: bytes
    budget_s: float | None = None
    key: str = ""
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    last_event_id: str = ""


class Handover(NamedTuple):
    """What the system adds to a request for its target.

    :param target: name of the only target that may run it.
    :param left_s: time that is left for it.
    :param cache_salt: who shares cached prompts with it; empty for nobody.
    :param last_event_id: where a stream goes on, empty at its beginning.
    :param version: weight version that it is for; ``None`` takes any.
    :param fetches: what to take from which store, an entry for each part.
    :param saves: address of the store to save each part in, or empty.
    :param fetch_until_ms: on the stores' clock; a later fetch is thrown away.
    """

    target: str
    left_s: float
    workspace: str = ""
    cache_salt: str = ""
    priority: int | None = None
    last_event_id: str = ""
    version: int | None = None
    fetches: tuple[StoredPart | None, ...] = ()
    saves: tuple[str, ...] = ()
    fetch_until_ms: float = 0.0


class Verdict(StrEnum):
    """What a target's answer says."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    OTHER_TARGET = "other-target"
    STRANGER = "stranger"


class Dialect(Protocol):
    """Names and headers of one environment."""

    def read_deployment(self, document: str) -> Deployment:
        """Return what an accepted document says."""

    def read_facts(self, scope) -> Result[Facts, VanillabeamError]:
        """Return what a request says of itself.

        :param scope: its ASGI scope.
        """

    def request_headers(self, headers: Headers, handover: Handover) -> Headers:
        """Return the headers for the target.

        :param headers: as the caller sent them.
        """

    def judge(self, facts: Facts, status: int, headers: Headers) -> Verdict:
        """Return what a target's answer says of the request's run."""
