"""Records of routing: what a request needs and what a target is."""

from typing import NamedTuple

from vanillabeam.config import Priority

__all__ = ["RouteRequest", "TargetView"]


class RouteRequest(NamedTuple):
    """A request that looks for a target.

    :param model: model name; empty for a plain service.
    :param version: weight version that it was admitted for.
    :param deadline_s: seconds from now within which its first token is wanted.
    :param prompt_tokens: estimated length of the prompt.
    :param adapter: ``model:adapter``, or empty.
    :param adapter_version: version of the adapter; empty takes any.
    :param blocks: ids of the prompt's blocks, parents first.
    :param stored_blocks: how many leading blocks a store could give.
    :param conversation_root: what all prompts of a conversation share.
    :param excluded: targets that are not to be tried again.
    :param service: plain service's name; empty for a model.
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
    """What an entry knows of a target, at a moment that has passed.

    :param owner: VM that gives its permits.
    :param limit: permits that the owner gives at present.
    :param in_use: permits in use.
    :param queued: asks that wait at the owner.
    :param run_s: learned length of a run.
    :param pending_tokens: prompt tokens that the target has yet to compute.
    :param prefill_tokens_s: learned rate of computing a prompt.
    :param link_bytes_s: learned rate of importing blocks; 0 is unknown.
    :param open: whether it takes new work at all.
    :param cold: whether its window has not opened yet.
    :param seen_s: when this was true, in the reader's monotonic time.
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
