"""Settings and report of an entry VM's block cache."""

from typing import NamedTuple

from vanillabeam.cache.costs import Prices

__all__ = ["CacheReport", "CacheSettings"]


class CacheSettings(NamedTuple):
    """Settings of an entry VM's block cache.

    :param link_bytes_s: limit of the link between a data centre and a store in
        bytes a second, shared by all entry VMs.
    :param token_bytes: assumed bytes of KV cache per token until the first
        transfer of a model has been measured.
    :param prefill_tokens_s: assumed prefill rate in tokens a second of a target
        whose rate is unknown.
    :param prices: prices of recomputed tokens and of bytes on links.
    """

    link_bytes_s: float = 1.25e9
    token_bytes: int = 65_536
    prefill_tokens_s: float = 4_000.0
    prices: Prices = Prices()


class CacheReport(NamedTuple):
    """Counters for the status page and the metrics.

    :param stores: live stores.
    :param started: transfers in progress.
    :param queued: transfers that wait for their link.
    :param dropped_exports: exports dropped because the queue was full.
    :param failed: transfers that moved no block.
    :param link_bytes_s: refill rate of each link in bytes a second, by
        ``data centre/store``.
    """

    stores: int
    started: int
    queued: int
    dropped_exports: int
    imported_bytes: int
    exported_bytes: int
    failed: int
    link_bytes_s: dict[str, float]
