"""Reuse of stored cache blocks: import before a prompt runs, export after it."""

from typing import TYPE_CHECKING, NamedTuple

import trio
from returns.result import Failure, Result, Success

from vanillabeam.cache import BLOCK_TOKENS, LookupResult, TargetRef
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets import Outcome, OutcomeKind, Permit, RouteRequest

if TYPE_CHECKING:
    from vanillabeam.components import Components

__all__ = ["CacheReuse"]


class _ImportStats(NamedTuple):
    """Size and duration of the import for one permit."""

    size_bytes: int = 0
    seconds: float = 0.0


class _ActiveRun(NamedTuple):
    """A permitted run that is not released yet.

    :param lookup: which blocks of the prompt the stores hold.
    :param known_blocks: leading blocks of the prompt that a store or a target holds.
    """

    request_id: str
    target_ref: TargetRef
    lookup: LookupResult
    known_blocks: int
    imported: _ImportStats


class CacheReuse:
    """Acquire permits and import stored cache blocks to the permitted target.

    After a permit was granted and before the request runs, blocks are imported
    if that is cheaper than computing them. After the run, the blocks that it
    computed are offered to the stores.

    :param components: the VM's components.

    >>> reuse = CacheReuse(components)
    >>> permit = await reuse.acquire(route)
    >>> reuse.release(permit.unwrap(), Outcome(OutcomeKind.COMPLETED))
    >>> reuse.pop_token_counts(route.request_id)
    (0, 0)
    """

    def __init__(self, components: "Components"):
        self._components = components
        self._runs: dict[str, _ActiveRun] = {}
        self._token_counts: dict[str, tuple[int, int]] = {}

    async def acquire(self, route: RouteRequest) -> Result[Permit, VanillabeamError]:
        """Acquire a permit and import the blocks that are cheaper than computing.

        :returns: the permit, or the failure with which none was granted.
        """
        lookup = await self._find(route)
        known_blocks = self._known_blocks(route, lookup)
        result = await self._components.targets.acquire(
            route._replace(stored_blocks=lookup.blocks)
        )
        if isinstance(result, Failure) or not route.blocks:
            return result
        permit = result.unwrap()
        target_ref = self._components.cache.target_ref(
            permit, route.model, self._components.config().index
        )
        try:
            imported = await self._import(permit, target_ref, lookup)
        except BaseException:
            self._components.targets.release(permit, Outcome(OutcomeKind.NOT_RUN))
            raise
        self._runs[permit.id] = _ActiveRun(
            route.request_id, target_ref, lookup, known_blocks, imported
        )
        return result

    def release(self, permit: Permit, outcome: Outcome) -> None:
        """Release a permit and offer the blocks of a completed run to the stores."""
        run = self._runs.pop(permit.id, None)
        if run is not None:
            outcome = _with_import(outcome, run.imported)
        self._components.targets.release(permit, outcome)
        if run is None or outcome.kind is not OutcomeKind.COMPLETED:
            return
        known_tokens = min(run.known_blocks * BLOCK_TOKENS, outcome.prompt_tokens)
        recomputed = max(0, known_tokens - outcome.cached_tokens)
        self._token_counts[run.request_id] = (outcome.cached_tokens, recomputed)
        rate = self._prefill_tokens_s(permit)
        self._components.cache.offer_exports(run.target_ref, run.lookup, rate)

    def pop_token_counts(self, request_id: str) -> tuple[int, int]:
        """Return the numbers of cached and of recomputed tokens of a request.

        The numbers are removed; a second call returns zeros.
        """
        return self._token_counts.pop(request_id, (0, 0))

    async def _find(self, route: RouteRequest) -> LookupResult:
        if not route.blocks:
            return LookupResult()
        return await self._components.cache.find(route.blocks)

    def _known_blocks(self, route: RouteRequest, lookup: LookupResult) -> int:
        placed = self._components.targets.router.placements.holders(route.blocks)
        return max([lookup.blocks, *placed.values()])

    def _prefill_tokens_s(self, permit: Permit) -> float:
        """Return the measured prefill rate of a target, or 0 if it is unknown."""
        view = self._components.targets.router.views.get(permit.target)
        return 0.0 if view is None else view.prefill_tokens_s

    async def _import(
        self, permit: Permit, target_ref: TargetRef, lookup: LookupResult
    ) -> _ImportStats:
        cached_blocks = permit.cached_tokens // BLOCK_TOKENS
        if lookup.blocks <= cached_blocks:
            return _ImportStats()
        owner = self._components.owner_address(permit.owner)
        granted = await self._components.imports.begin(
            owner, permit.target, permit.boot_id
        )
        if not isinstance(granted, Success):
            return _ImportStats()
        lease = granted.unwrap()
        started_s = trio.current_time()
        tokens = 0
        try:
            with trio.move_on_after(lease["lasts_s"]):
                tokens = await self._components.cache.prepare(
                    target_ref, lookup, cached_blocks, self._prefill_tokens_s(permit)
                )
        finally:
            with trio.CancelScope(shield=True):
                await self._components.imports.end(owner, permit.target, lease["lease"])
        end_block = cached_blocks + tokens // BLOCK_TOKENS
        size_bytes = sum(lookup.lengths[cached_blocks:end_block])
        return _ImportStats(size_bytes, trio.current_time() - started_s)


def _with_import(outcome: Outcome, imported: _ImportStats) -> Outcome:
    first_token_s = outcome.first_token_s
    if first_token_s is not None:
        first_token_s += imported.seconds
    return outcome._replace(
        first_token_s=first_token_s,
        imported_bytes=imported.size_bytes,
        import_s=imported.seconds,
    )
