"""Pieces of one run put in order: doubled ones dropped, missing ones noticed."""

from vanillabeam.answers.events import Piece

__all__ = ["ReorderBuffer"]

HELD_LIMIT_PIECES = 256
HELD_LIMIT_BYTES = 1024 * 1024
GAP_TIMEOUT_S = 0.25


class ReorderBuffer:
    """The pieces of one run, each given out once and in its place.

    :ivar count: pieces given out so far.

    >>> buffer = ReorderBuffer()
    >>> [p.number for p in buffer.add([Piece(2, b""), Piece(1, b"")], 0.0)]
    [1, 2]
    """

    def __init__(self):
        self.count = 0
        self._held: dict[int, Piece] = {}
        self._held_bytes = 0
        self._gap_since_s: float | None = None

    def add(self, pieces: list[Piece], now_s: float) -> list[Piece]:
        """Return what can be given out now that ``pieces`` have come."""
        ready: list[Piece] = []
        for piece in pieces:
            if piece.number == self.count + 1:
                ready.append(piece)
                self.count += 1
                if self._held:
                    self._release_held(ready)
            elif piece.number > self.count:
                self._hold(piece)
        self._update_gap(bool(ready), now_s)
        return ready

    def needs_resume(self, now_s: float) -> bool:
        """Return whether a piece is missing for longer than is waited for."""
        if self._gap_since_s is None:
            return False
        return (
            now_s - self._gap_since_s >= GAP_TIMEOUT_S
            or len(self._held) >= HELD_LIMIT_PIECES
            or self._held_bytes >= HELD_LIMIT_BYTES
        )

    def discard_held(self) -> None:
        """Forget held pieces: a resume brings everything after :attr:`count`."""
        self._held.clear()
        self._held_bytes = 0
        self._gap_since_s = None

    def _hold(self, piece: Piece) -> None:
        if piece.number in self._held or len(self._held) >= HELD_LIMIT_PIECES:
            return
        self._held[piece.number] = piece
        self._held_bytes += len(piece.data)

    def _release_held(self, ready: list[Piece]) -> None:
        while self.count + 1 in self._held:
            piece = self._held.pop(self.count + 1)
            self._held_bytes -= len(piece.data)
            ready.append(piece)
            self.count += 1

    def _update_gap(self, progress: bool, now_s: float) -> None:
        if not self._held:
            self._gap_since_s = None
        elif progress or self._gap_since_s is None:
            self._gap_since_s = now_s
