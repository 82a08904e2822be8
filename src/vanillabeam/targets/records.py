"""Records that owners, holders of permits and their callers share."""

from enum import StrEnum
from typing import NamedTuple

from vanillabeam.config import Priority

__all__ = [
    "PermitRequest",
    "Entry",
    "Outcome",
    "OutcomeKind",
    "Permit",
]


class Entry(NamedTuple):
    """A live entry VM.

    :param address: ``host:port`` of its peers' listener.
    :param targets_address: ``host:port`` of its targets' listener.
    """

    vm: str
    data_centre: str
    address: str
    targets_address: str = ""


class PermitRequest(NamedTuple):
    """One entry's wish for a permit at one target; repeats are idempotent.

    :param permit_id: made by the asking entry, the same in every repeat.
    :param holder: VM that asks.
    :param deadline_s: seconds from the owner's receipt that it may wait.
    :param delay_limit_s: delay by the work of others above which the asking
        entry would rather go elsewhere; ``None`` if there is nowhere better.
    """

    permit_id: str
    target: str
    holder: str
    workspace: str
    model: str
    version: str
    adapter: str
    adapter_version: str
    service: str
    priority: Priority
    deadline_s: float
    prompt_tokens: int
    blocks: tuple[str, ...] = ()
    delay_limit_s: float | None = None


class Permit(NamedTuple):
    """Leave to send one request to one target.

    :param boot_id: boot of the target that it holds for.
    :param address: ``host:port`` of the target.
    :param owner: VM that counts it.
    :param epoch: the owner's epoch.
    :param expires_s: monotonic time at which it ends unless renewed.
    :param first_token_s: expected seconds to the first token.
    :param cached_tokens: prompt tokens that the target should have cached.
    """

    id: str
    target: str
    boot_id: str
    address: str
    data_centre: str
    owner: str
    version: str
    epoch: int
    expires_s: float
    first_token_s: float = 0.0
    cached_tokens: int = 0


class OutcomeKind(StrEnum):
    """How a permitted run ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not-run"


class Outcome(NamedTuple):
    """What the holder saw of the run.

    :param first_token_s: seconds from sending to the first token.
    :param prompt_tokens: as the target counted them.
    :param cached_tokens: prompt tokens that it did not compute.
    :param imported_bytes: bytes of blocks that it took from a store first.
    :param import_s: seconds that this took, part of ``first_token_s``.
    """

    kind: OutcomeKind
    first_token_s: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    imported_bytes: int = 0
    import_s: float = 0.0
