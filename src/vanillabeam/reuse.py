"""Work that a prompt finds again: blocks in stores before it runs, after it."""

from typing import TYPE_CHECKING, NamedTuple

import trio
from returns.result import Failure, Result, Success

from vanillabeam.cache import BLOCK_TOKENS, LookupResult, TargetRef
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets import Outcome, OutcomeKind, Permit, RouteRequest

if TYPE_CHECKING:
    from vanillabeam.parts import Parts

__all__ = ["Reuse"]


class _Import(NamedTuple):
    size_bytes: int = 0
    seconds: float = 0.0


class _Run(NamedTuple):
    request_id: str
    place: TargetRef
    found: LookupResult
    known_blocks: int
    imported: _Import


class Reuse:
    """Gives permits whose target has been handed the blocks that pay.

    Between a permit and its run, blocks are imported where that is cheaper
    than computing them; after the run, what it left is offered to the stores.

    :param parts: the VM's shells.

    >>> reuse = Reuse(parts)
    >>> permit = await reuse.acquire(route)
    >>> reuse.release(permit.unwrap(), Outcome(OutcomeKind.COMPLETED))
    >>> reuse.take(route.request_id)
    (0, 0)
    """

    def __init__(self, parts: "Parts"):
        self._parts = parts
        self._runs: dict[str, _Run] = {}
        self._tokens: dict[str, tuple[int, int]] = {}

    async def acquire(self, route: RouteRequest) -> Result[Permit, VanillabeamError]:
        """Return a permit, with the blocks at its target that pay."""
        found = await self._find(route)
        known = self._known_blocks(route, found)
        result = await self._parts.targets.acquire(
            route._replace(stored_blocks=found.blocks)
        )
        if isinstance(result, Failure) or not route.blocks:
            return result
        permit = result.unwrap()
        place = self._parts.cache.target_ref(
            permit, route.model, self._parts.config().index
        )
        try:
            imported = await self._import(permit, place, found)
        except BaseException:
            self._parts.targets.release(permit, Outcome(OutcomeKind.NOT_RUN))
            raise
        self._runs[permit.id] = _Run(route.request_id, place, found, known, imported)
        return result

    def release(self, permit: Permit, outcome: Outcome) -> None:
        """Give a permit back; offer what a completed run left to the stores."""
        run = self._runs.pop(permit.id, None)
        if run is not None:
            outcome = _with_import(outcome, run.imported)
        self._parts.targets.release(permit, outcome)
        if run is None or outcome.kind is not OutcomeKind.COMPLETED:
            return
        known_tokens = min(run.known_blocks * BLOCK_TOKENS, outcome.prompt_tokens)
        recomputed = max(0, known_tokens - outcome.cached_tokens)
        self._tokens[run.request_id] = (outcome.cached_tokens, recomputed)
        rate = self._prefill_tokens_s(permit)
        self._parts.cache.offer_exports(run.place, run.found, rate)

    def take(self, request_id: str) -> tuple[int, int]:
        """Return cached and recomputed tokens of a request, once."""
        return self._tokens.pop(request_id, (0, 0))

    async def _find(self, route: RouteRequest) -> LookupResult:
        if not route.blocks:
            return LookupResult()
        return await self._parts.cache.find(route.blocks)

    def _known_blocks(self, route: RouteRequest, found: LookupResult) -> int:
        placed = self._parts.targets.router.placements.holders(route.blocks)
        return max([found.blocks, *placed.values()])

    def _prefill_tokens_s(self, permit: Permit) -> float:
        """Return the learnt rate of a target; 0 if it is not known."""
        view = self._parts.targets.router.views.get(permit.target)
        return 0.0 if view is None else view.prefill_tokens_s

    async def _import(
        self, permit: Permit, place: TargetRef, found: LookupResult
    ) -> _Import:
        cached = permit.cached_tokens // BLOCK_TOKENS
        if found.blocks <= cached:
            return _Import()
        owner = self._parts.owner_address(permit.owner)
        granted = await self._parts.imports.begin(owner, permit.target, permit.boot_id)
        if not isinstance(granted, Success):
            return _Import()
        lease = granted.unwrap()
        began_s = trio.current_time()
        tokens = 0
        try:
            with trio.move_on_after(lease["lasts_s"]):
                tokens = await self._parts.cache.prepare(
                    place, found, cached, self._prefill_tokens_s(permit)
                )
        finally:
            with trio.CancelScope(shield=True):
                await self._parts.imports.end(owner, permit.target, lease["lease"])
        last = cached + tokens // BLOCK_TOKENS
        size_bytes = sum(found.lengths[cached:last])
        return _Import(size_bytes, trio.current_time() - began_s)


def _with_import(outcome: Outcome, imported: _Import) -> Outcome:
    first_token_s = outcome.first_token_s
    if first_token_s is not None:
        first_token_s += imported.seconds
    return outcome._replace(
        first_token_s=first_token_s,
        imported_bytes=imported.size_bytes,
        import_s=imported.seconds,
    )
