"""Settings, injected faults and refusals of a fake target."""

from typing import NamedTuple

__all__ = ["FakeTargetSettings", "Faults", "Refusal"]


class FakeTargetSettings(NamedTuple):
    """Identity, sizes and speeds of a fake target.

    :param target: name of the target.
    :param listener: ``host:port`` of a VM's listener for targets; empty to send
        no announcements and reports.
    :param service: name of the plain service; empty for an engine.
    :param models: versions by name of the loaded models.
    :param adapters: versions by name of the loaded adapters.
    :param capacity: number of requests that run at once.
    :param cold_capacity: number of requests at once that a cold engine survives.
    :param queue: number of requests beyond ``capacity`` that are queued; further
        ones are refused with ``429 full``.
    :param warm_completions: completions after which the engine is no longer cold.
    :param checks_fencing: whether orders with an old index are refused.
    :param prefill_tokens_s: prompt tokens per second, one prompt at a time.
    :param decode_tokens_s: output tokens per second of each run.
    :param cached_tokens: size of the prefix cache.
    :param block_tokens: tokens of a block.
    :param block_bytes: size of an exported block.
    :param load_s: seconds to load one model.
    :param link_bytes_s: bytes per second of block exports and imports.
    :param announce_every_s: seconds between two announcements.
    :param load_every_s: seconds between two load reports.
    :param dedup_keys: whether a plain service answers a repeated idempotency key
        with the recorded answer.
    :param seed: seed of the injected faults.
    """

    target: str = "t1"
    data_centre: str = "dc1"
    listener: str = ""
    service: str = ""
    models: dict[str, str] = {"m": "v1"}
    adapters: dict[str, str] = {}
    capacity: int = 8
    cold_capacity: int = 2
    queue: int = 8
    warm_completions: int = 4
    checks_fencing: bool = True
    prefill_tokens_s: float = 200_000.0
    decode_tokens_s: float = 2_000.0
    cached_tokens: int = 200_000
    block_tokens: int = 4000
    block_bytes: int = 4096
    load_s: float = 0.05
    link_bytes_s: float = 50_000_000.0
    announce_every_s: float = 2.0
    load_every_s: float = 1.0
    dedup_keys: bool = True
    seed: int = 1


class Faults(NamedTuple):
    """Injected faults; none by default.

    :param duplicate: probability that a piece is sent twice.
    :param reorder: probability that a piece is swapped with the next one.
    :param lose: probability that a piece is dropped; a resumed stream contains
        it again.
    :param cut_after: number of pieces after which a connection is aborted.
    :param silent_after: number of pieces after which a connection stays open
        but sends nothing.
    :param delay_s: seconds before the answer to a run or call begins.
    :param refuse: type of refusal for every new run, such as ``full``.
    :param forget_runs: whether resumes are answered with ``unknown-run``.
    :param first_connections: number of connections that stream faults apply to,
        counted from the first; all by default.
    """

    duplicate: float = 0.0
    reorder: float = 0.0
    lose: float = 0.0
    cut_after: int | None = None
    silent_after: int | None = None
    delay_s: float = 0.0
    refuse: str = ""
    forget_runs: bool = False
    first_connections: int | None = None


class Refusal(NamedTuple):
    """Refusal of a request that was not executed.

    :param status: HTTP status.
    :param type: type of the problem document.
    """

    status: int
    type: str
