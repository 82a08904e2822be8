"""Records of routing: a request's needs and a target's state."""

from typing import NamedTuple

from vanillabeam.config import Priority

__all__ = ["RouteRequest", "TargetView"]


class RouteRequest(NamedTuple):
    """A request that needs a target.

    :param model: model name; empty for a plain service.
    :param version: weight version that it was admitted for.
    :param deadline_s: seconds from now within which its first token is needed.
    :param prompt_tokens: estimated length of the prompt.
    :param adapter: ``model:adapter``, or empty.
    :param adapter_version: version of the adapter; empty accepts any.
    :param blocks: ids of the prompt's blocks, parents first.
    :param stored_blocks: number of leading blocks that a store can provide.
    :param conversation_root: id that all prompts of a conversation share.
    :param excluded: targets that must not be tried again.
    :param service: name of the plain service; empty for a model.
    """

    request_id: str
    workspace: str
    model: str = ""
    version: str = ""
    deadline_s: float = 30.0
    prompt_tokens: int = 0
    adapter: str = ""
    adapter_version: str = ""
    priority: Priority = Priority.INTERACTIVE
    blocks: tuple[str, ...] = ()
    stored_blocks: int = 0
    conversation_root: str = ""
    excluded: frozenset[str] = frozenset()
    service: str = ""


class TargetView(NamedTuple):
    """State of a target at a past moment, as its owner reported it.

    :param owner: VM that grants the target's permits.
    :param epoch: epoch of that ownership.
    :param limit: number of permits that the owner grants at present.
    :param in_use: number of permits in use.
    :param queued: number of permit requests that wait at the owner.
    :param run_s: learned duration of a run in seconds.
    :param pending_tokens: prompt tokens that the target has yet to compute.
    :param prefill_tokens_s: learned rate of prefill in tokens a second.
    :param link_bytes_s: learned rate of importing blocks; 0 if unknown.
    :param open: whether the target accepts new work.
    :param cold: whether its concurrency window is still at the cold capacity.
    :param seen_s: monotonic time, on the reading VM, of this state.
    """

    target: str
    boot_id: str
    address: str
    data_centre: str
    owner: str
    epoch: int
    models: dict[str, str]
    adapters: dict[str, str]
    service: str
    limit: int
    in_use: int
    queued: int
    run_s: float
    pending_tokens: int
    prefill_tokens_s: float
    link_bytes_s: float
    open: bool
    cold: bool
    seen_s: float = 0.0
