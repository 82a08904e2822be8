from urllib.parse import unquote

from hypothesis import given, settings, strategies as st
from returns.result import Success

from vanillabeam.callers.servicepath import forwardable_headers, parse_service_path


def path_of(raw, query=b""):
    return parse_service_path({"raw_path": raw, "query_string": query})


def test_path_and_query_are_forwarded_unchanged():
    found = path_of(b"/services/refunds/pay/7%20a", b"x=1&y=%2F").unwrap()
    assert found == ("refunds", "pay/7%20a?x=1&y=%2F")


def test_a_service_without_a_path_has_an_empty_one():
    assert path_of(b"/services/refunds").unwrap() == ("refunds", "")
    assert path_of(b"/services/refunds/").unwrap() == ("refunds", "")


def test_ambiguous_paths_are_refused():
    ambiguous = (
        b"a/../b",
        b"./a",
        b"a//b",
        b"a%2Fb",
        b"%252fb",
        b"%2e%2E/b",
        b"a%00",
        b"..",
    )
    for rest in (*ambiguous, b"\\"):
        assert path_of(b"/services/refunds/" + rest).failure().status == 400


@given(st.binary(max_size=40), st.binary(max_size=20))
@settings(derandomize=True, max_examples=500)
def test_what_passes_has_one_reading_however_often_it_is_decoded(rest, query):
    found = path_of(b"/services/refunds/" + rest, query)
    if not isinstance(found, Success):
        return
    path = found.unwrap().path.partition("?")[0]
    assert unquote(unquote(path)).count("/") == path.count("/")
    segments = unquote(unquote(path)).split("/")
    assert not {".", ".."} & set(segments)
    assert "" not in segments[:-1]
    assert found.unwrap().path.isascii()


def test_internal_hop_by_hop_and_connection_headers_are_removed():
    headers = [
        (b"Accept", b"*/*"),
        (b"Authorization", b"Bearer key"),
        (b"Connection", b"close, X-Secret"),
        (b"X-Secret", b"1"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Vanillabeam-Permit", b"forged"),
        (b"vanillabeam_permit", b"forged"),
        (b"Content-Type", b"text/plain"),
    ]
    assert forwardable_headers(headers).unwrap() == (
        ("accept", "*/*"),
        ("content-type", "text/plain"),
    )


def test_a_header_with_a_line_break_is_refused():
    assert forwardable_headers([(b"X", b"a\r\nb: c")]).failure().status == 400
