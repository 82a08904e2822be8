"""Records shared by owners of targets, holders of permits and their callers."""

from enum import StrEnum
from typing import NamedTuple

from vanillabeam.config import Priority

__all__ = [
    "PermitRequest",
    "EntryVm",
    "Outcome",
    "OutcomeKind",
    "Permit",
]


class EntryVm(NamedTuple):
    """A live entry VM, as a possible owner of targets.

    :param address: ``host:port`` of its listener for other VMs.
    :param targets_address: ``host:port`` of its listener for targets.
    """

    vm: str
    data_centre: str
    address: str
    targets_address: str = ""


class PermitRequest(NamedTuple):
    """A request of an entry for a permit at one target; it is idempotent.

    :param permit_id: id made by the requesting entry, the same in every repeat.
    :param holder: VM that requests the permit.
    :param deadline_s: seconds for which the request may wait, counted from its
        receipt by the owner.
    :param delay_limit_s: delay in seconds, caused by the work of others, above
        which the entry prefers another target; ``None`` if there is no better
        target.
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
    """A lease to send one request to one target.

    :param boot_id: boot id of the target for which the permit is valid.
    :param address: ``host:port`` of the target.
    :param owner: VM that granted the permit or took it over.
    :param epoch: epoch of the owner.
    :param expires_s: monotonic time at which the permit expires unless renewed.
    :param first_token_s: expected seconds to the first token.
    :param cached_tokens: prompt tokens that the target is expected to have in its
        cache.
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
    """Result of a run under a permit."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not-run"


class Outcome(NamedTuple):
    """Measurements of a run, reported by the holder of its permit.

    :param first_token_s: seconds from sending the request to the first token.
    :param prompt_tokens: length of the prompt as counted by the target.
    :param cached_tokens: prompt tokens that the target had in its cache and did
        not compute.
    :param imported_bytes: bytes of blocks that the target first imported from a
        store.
    :param import_s: seconds of this import, included in ``first_token_s``.
    """

    kind: OutcomeKind
    first_token_s: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    imported_bytes: int = 0
    import_s: float = 0.0
