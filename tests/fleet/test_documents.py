"""Documents are cut into pieces, sent and put together again."""

import json

from hypothesis import given, strategies as st

from tests.fleet.thinlinks import make_document
from vanillabeam.fleet.documents import (
    MAX_PIECE_BYTES,
    Assembly,
    DocumentRequest,
    DocumentSource,
    cut_pieces,
    digest_document,
)

LIMIT_BYTES = 8 * 1024


def fetch(assembly, source, document):
    """Fetch a document; return the number of replies with pieces."""
    digest = digest_document(document)
    assembly.begin(digest)
    assembly.set_order(source.reply(document, make_request(digest, []))["order"])
    replies = 0
    while missing := assembly.missing():
        reply = source.reply(document, make_request(digest, missing))
        assert assembly.add(missing, reply["pieces"]) == len(reply["pieces"]) > 0
        replies += 1
    return replies


def make_request(digest, pieces, limit_bytes=LIMIT_BYTES):
    return DocumentRequest(
        vm="front-1", digest=digest, pieces=pieces, limit_bytes=limit_bytes
    )


@given(st.text(min_size=1, max_size=200), st.integers(1, 3_000))
def test_any_text_comes_whole(text, times):
    document = text * times
    assembly = Assembly()
    fetch(assembly, DocumentSource(), document)
    assert assembly.text() == document


@given(st.binary(max_size=300), st.integers(0, 1_000))
def test_pieces_are_bounded_and_make_up_the_text(part, times):
    data = part * times
    pieces = list(cut_pieces(data))
    assert b"".join(pieces) == data
    assert all(0 < len(piece) <= MAX_PIECE_BYTES for piece in pieces)


def test_a_change_alters_few_pieces():
    before = set(cut_pieces(make_document(1, 1_400).encode()))
    text = json.loads(make_document(2, 1_400))
    del text["routes"][700]
    text["routes"].insert(20, text["routes"][0] | {"name": "added"})
    after = list(cut_pieces(json.dumps(text).encode()))
    assert len([piece for piece in after if piece not in before]) <= 6 < len(after) / 4


def test_replies_are_bounded_by_bytes_and_hold_one_piece_at_least():
    document, source = make_document(1, 5_600), DocumentSource()
    digest = digest_document(document)
    order = source.reply(document, make_request(digest, []))["order"]
    reply = source.reply(document, make_request(digest, order))
    assert 1 < len(reply["pieces"]) < len(order)
    assert sum(map(len, reply["pieces"])) <= LIMIT_BYTES
    reply = source.reply(document, make_request(digest, order, limit_bytes=1))
    assert len(reply["pieces"]) == 1


def test_a_source_with_another_document_sends_none_of_it():
    document, source = make_document(2, 100), DocumentSource()
    reply = source.reply(document, make_request("0" * 32, []))
    assert reply == {"digest": digest_document(document), "pieces": []}
    reply = source.reply("", make_request("", []))
    assert reply == {"digest": "", "pieces": []}


def test_pieces_of_the_last_document_are_not_fetched_again():
    assembly, source = Assembly(), DocumentSource()
    first, second = make_document(1, 1_400), make_document(2, 1_400, changed=3)
    assert fetch(assembly, source, first) > 5
    assert assembly.text() == first
    assert fetch(assembly, source, second) == 1
    assert assembly.text() == second


def test_spoiled_pieces_are_not_taken():
    document, source, assembly = make_document(1, 100), DocumentSource(), Assembly()
    digest = digest_document(document)
    order = source.reply(document, make_request(digest, []))["order"]
    assembly.begin(digest)
    assembly.set_order(order)
    pieces = source.reply(document, make_request(digest, order))["pieces"]
    assert assembly.add(order, [b"", *pieces[1:]]) == len(pieces) - 1
    assert assembly.add(order, [pieces[1], b"no zlib", pieces[0][:9]]) == 0
    assert assembly.missing() == order[:1]


def test_a_list_of_other_pieces_makes_no_document():
    document, source, assembly = make_document(1, 100), DocumentSource(), Assembly()
    fetch(assembly, source, document)
    assembly.set_order(reversed(assembly.order))
    assert assembly.text() is None
    fetch(assembly, source, document)
    assert assembly.text() == document
