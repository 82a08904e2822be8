"""Reordering of one run's pieces, without duplicates, with gap detection."""

from vanillabeam.answers.events import Piece

__all__ = ["ReorderBuffer"]

#: Most pieces and bytes held behind a gap; at either limit the run is resumed.
HELD_LIMIT_PIECES = 256
HELD_LIMIT_BYTES = 1024 * 1024
#: Seconds to wait for a missing piece before the run is resumed.
GAP_TIMEOUT_S = 0.25


class ReorderBuffer:
    """Releases the pieces of one run in order, each once.

    Pieces behind a gap are held until the missing pieces arrive.

    :ivar count: number of pieces released so far.

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
        """Add received pieces and return the pieces that are now in order.

        :param now_s: monotonic time in seconds.
        """
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
        """Return whether the run has to be resumed to fill a gap.

        It has to be when the gap is older than :data:`GAP_TIMEOUT_S` or too much
        is held behind it.

        :param now_s: monotonic time in seconds.
        """
        if self._gap_since_s is None:
            return False
        return (
            now_s - self._gap_since_s >= GAP_TIMEOUT_S
            or len(self._held) >= HELD_LIMIT_PIECES
            or self._held_bytes >= HELD_LIMIT_BYTES
        )

    def discard_held(self) -> None:
        """Discard held pieces: a resumed run resends all pieces after :attr:`count`."""
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
