"""What a prompt costs a target, by what the stores keep of it."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from vanillabeam.fleet import Target
from vanillabeam.forwarding.dialect import Facts, PromptPart
from vanillabeam.forwarding.room import RoomNeeded

__all__ = ["Kept", "PromptCosts", "fetch_share", "prompt_costs"]

#: What fetching a kept part costs of reading it, where no speed is known.
FETCH_SHARE = 0.1
#: A fetch costs no more of reading than this; else reading would be better.
MOST_FETCH_SHARE = 0.5
#: Fetches from another data centre take so many times longer.
FAR_FACTOR = 2.0
#: What is left of a fetch at the favourite, which may have the parts itself.
FAVOURITE_SHARE = 0.5


class Kept(NamedTuple):
    """A part that a store keeps.

    :param data_centre: of the store.
    :param share: what fetching it within that costs of reading it.
    """

    data_centre: str
    share: float = FETCH_SHARE


class PromptCosts(NamedTuple):
    """What a prompt costs, in tokens to read.

    :param affinity: what keeps prompts together that share most.
    :param own: the part that no other prompt shares.
    :param unread: shared parts that can't be fetched.
    :param fetched: tokens to read that fetching is worth, by the data centre
        of the stores.
    :param favourite_has_all: whether the favourite has most likely read them.
    :param rank: 0 is the most urgent.
    :param room: tokens of memory that it takes.
    :param holders: lives of targets that have used its shared parts lately.
    """

    affinity: str
    own: int
    unread: int
    fetched: dict[str, float]
    favourite_has_all: bool
    rank: int
    room: int
    holders: frozenset[tuple[str, int]]

    @property
    def needed(self) -> RoomNeeded:
        """What it takes of a target's memory."""
        return RoomNeeded(self.rank, self.room)

    def at(self, target: Target, is_favourite: bool) -> int:
        """Return what it costs at a target."""
        if target.incarnation in self.holders or (
            is_favourite and self.favourite_has_all
        ):
            return self.own
        fetched = sum(
            tokens * (1.0 if data_centre == target.data_centre else FAR_FACTOR)
            for data_centre, tokens in self.fetched.items()
        )
        if is_favourite:
            fetched *= FAVOURITE_SHARE
        return self.own + self.unread + int(fetched)


def prompt_costs(
    facts: Facts,
    find: Callable[[str], Kept | None] | None,
    rank: int,
    holders: frozenset[tuple[str, int]] = frozenset(),
) -> PromptCosts | None:
    """Return the costs of a prompt, ``None`` for a plain call.

    What the stores don't keep nobody has read, or not for long.

    :param find: returns where a part is kept; ``None`` while nothing is known
        of stores, and the favourite may have read anything.
    """
    if not facts.parts:
        return None
    shared = facts.parts[:-1]
    fetched: dict[str, float] = {}
    unread = _tokens(shared)
    for part in shared if find else ():
        kept = find(part.part_id)
        if kept is None:
            break
        unread -= part.tokens
        tokens = fetched.get(kept.data_centre, 0.0) + kept.share * part.tokens
        fetched[kept.data_centre] = tokens
    return PromptCosts(
        affinity=(shared or facts.parts)[-1].part_id,
        own=facts.parts[-1].tokens,
        unread=unread,
        fetched=fetched,
        favourite_has_all=find is None,
        rank=rank,
        room=_tokens(facts.parts) + facts.output_tokens,
        holders=holders,
    )


def fetch_share(kv_bytes: float, link_bytes_s: float, tokens_s: float) -> float:
    """Return what fetching a part costs of reading it.

    :param kv_bytes: of one token.
    :param link_bytes_s: that the store's link carries.
    :param tokens_s: that a target reads; 0 in any of them is not known.
    """
    if not (kv_bytes and link_bytes_s and tokens_s):
        return FETCH_SHARE
    return min(MOST_FETCH_SHARE, kv_bytes / link_bytes_s * tokens_s)


def _tokens(parts: Sequence[PromptPart]) -> int:
    return sum(part.tokens for part in parts)
