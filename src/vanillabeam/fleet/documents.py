"""Deployment documents as pieces, so that a VM fetches only those that it lacks.

A document is cut where its own text says so: a change in the middle alters the pieces
that it touches, and those before and after it stay the same.
"""

import zlib
from collections.abc import Iterable, Iterator
from functools import lru_cache
from hashlib import blake2b
from typing import NotRequired, TypedDict

from vanillabeam.fleet.machine import FleetState

__all__ = [
    "DOCUMENT_PATH",
    "INLINE_CHARACTERS",
    "Assembly",
    "DocumentReply",
    "DocumentRequest",
    "DocumentRef",
    "DocumentSource",
    "cut_pieces",
    "digest_document",
    "make_ref",
]

DOCUMENT_PATH = "/peer/fleet/document"
#: Length of a document up to which a reply to a watch request has it whole: about that
#: of the rest of the reply.
INLINE_CHARACTERS = 4 * 1024
DOCUMENT_DIGEST_BYTES = 16
PIECE_DIGEST_BYTES = 8
#: Bounds of a piece's length in bytes, but for the last one of a document.
MIN_PIECE_BYTES = 4 * 1024
MAX_PIECE_BYTES = 16 * 1024
#: End of a part of the text after which a piece may end.
PART_END = b"}"
#: One of so many parts ends a piece that has its least length.
PARTS_PER_CUT = 8
PACKING_LEVEL = 1


class DocumentRef(TypedDict):
    """Name of a deployment document.

    :param number: number of the deployment.
    :param digest: digest of its text in hexadecimal; empty before the first document.
    """

    number: int
    digest: str


class DocumentRequest(TypedDict):
    """Request for the pieces of a document.

    :param vm: name of the requesting VM.
    :param digest: digest of the document.
    :param pieces: digests of the pieces; empty for the list of all of them.
    :param limit_bytes: bytes of packed pieces in one reply; at least one piece comes.
    """

    vm: str
    digest: str
    pieces: list[str]
    limit_bytes: int


class DocumentReply(TypedDict):
    """Pieces of a document.

    :param digest: digest of the document that the control VM has; another one than
        that of the request comes without pieces.
    :param order: digests of all pieces, if the request names none.
    :param pieces: the first of the pieces that the request names, packed.
    """

    digest: str
    order: NotRequired[list[str]]
    pieces: list[bytes]


@lru_cache(maxsize=2)
def digest_document(document: str) -> str:
    """Return the digest of a document; empty for no document."""
    if not document:
        return ""
    data = document.encode()
    return blake2b(data, digest_size=DOCUMENT_DIGEST_BYTES).hexdigest()


def make_ref(state: FleetState) -> DocumentRef:
    """Return the name of the document in a fleet state."""
    digest = digest_document(state["document"])
    return DocumentRef(number=state["number"], digest=digest)


def cut_pieces(data: bytes) -> Iterator[bytes]:
    """Yield the pieces of a document's text."""
    begin = end = 0
    for part in data.split(PART_END):
        end = min(end + len(part) + len(PART_END), len(data))
        while end - begin > MAX_PIECE_BYTES:
            yield data[begin : begin + MAX_PIECE_BYTES]
            begin += MAX_PIECE_BYTES
        is_cut = zlib.crc32(part) % PARTS_PER_CUT == 0
        if is_cut and end - begin >= MIN_PIECE_BYTES:
            yield data[begin:end]
            begin = end
    if begin < len(data):
        yield data[begin:]


def _digest_piece(piece: bytes) -> str:
    return blake2b(piece, digest_size=PIECE_DIGEST_BYTES).hexdigest()


class DocumentSource:
    """Pieces of the newest document, for VMs that ask for them.

    :ivar sent_bytes: bytes of packed pieces that were sent.

    >>> source = DocumentSource()
    >>> source.reply(document, request)["order"]
    ['5f1d0e8a2b7c4d60', '0a9b8c7d6e5f4a3b']
    """

    def __init__(self):
        self.sent_bytes = 0
        self._digest = ""
        self._pieces: dict[str, bytes] = {}
        self._order: list[str] = []
        self._packed: dict[str, bytes] = {}

    def reply(self, document: str, request: DocumentRequest) -> DocumentReply:
        """Return the pieces that a request names.

        :param document: newest document that this VM has.
        """
        reply = DocumentReply(digest=digest_document(document), pieces=[])
        if request["digest"] != reply["digest"] or not document:
            return reply
        self._update(document, reply["digest"])
        if not request["pieces"]:
            reply["order"] = self._order
            return reply
        left_bytes = request["limit_bytes"]
        for digest in request["pieces"]:
            piece = self._pack(digest)
            left_bytes -= len(piece)
            if left_bytes < 0 and reply["pieces"]:
                break
            reply["pieces"].append(piece)
            self.sent_bytes += len(piece)
        return reply

    def _update(self, document: str, digest: str) -> None:
        if digest == self._digest:
            return
        pieces = list(cut_pieces(document.encode()))
        self._order = [_digest_piece(piece) for piece in pieces]
        self._pieces = dict(zip(self._order, pieces, strict=True))
        self._packed = {
            digest: packed
            for digest, packed in self._packed.items()
            if digest in self._pieces
        }
        self._digest = digest

    def _pack(self, digest: str) -> bytes:
        """Return a packed piece; nothing for one that the document doesn't have."""
        if digest not in self._packed:
            piece = self._pieces.get(digest)
            if piece is None:
                return b""
            self._packed[digest] = zlib.compress(piece, PACKING_LEVEL)
        return self._packed[digest]


class Assembly:
    """Pieces of the document that a VM fetches, and of the one that it has.

    :ivar digest: digest of the document that is fetched; empty for none.
    :ivar order: digests of its pieces; ``None`` while they are not known.

    >>> assembly = Assembly()
    >>> assembly.begin(digest)
    >>> assembly.set_order(order)
    >>> assembly.add(assembly.missing(), packed_pieces)
    >>> assembly.text()
    '{"version":7}'
    """

    def __init__(self):
        self.digest = ""
        self.order: list[str] | None = None
        self._packed: dict[str, bytes] = {}

    def begin(self, digest: str) -> None:
        """Fetch another document from now on; all pieces are kept."""
        self.digest, self.order = digest, None

    def set_order(self, order: Iterable[str]) -> None:
        """Set the digests of the document's pieces."""
        self.order = list(order)

    def missing(self) -> list[str]:
        """Return the digests of the pieces that are still to be fetched, each once."""
        lacking = (each for each in self.order or () if each not in self._packed)
        return list(dict.fromkeys(lacking))

    def add(self, digests: list[str], pieces: list[bytes]) -> int:
        """Add pieces in the order of their digests; return how many were right."""
        added = 0
        for digest, packed in zip(digests, pieces, strict=False):
            piece = _unpack(packed)
            if piece is not None and _digest_piece(piece) == digest:
                self._packed[digest] = packed
                added += 1
        return added

    def text(self) -> str | None:
        """Return the whole document; ``None`` if its pieces don't make it up.

        Only its pieces are kept, and none after a failure.
        """
        order = self.order or []
        self._packed = {each: self._packed[each] for each in order}
        data = b"".join(_unpack(self._packed[each]) for each in order)
        text = data.decode(errors="replace")
        if digest_document(text) != self.digest:
            self._packed, self.order = {}, None
            return None
        return text


def _unpack(packed: bytes) -> bytes | None:
    """Return a piece; ``None`` if it is spoiled or too long."""
    reader = zlib.decompressobj()
    try:
        piece = reader.decompress(packed, MAX_PIECE_BYTES)
    except zlib.error:
        return None
    return piece if reader.eof else None
