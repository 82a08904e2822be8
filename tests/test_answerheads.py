"""Heads of answers as their bytes arrive, in parts of any size."""

import pytest
from hypothesis import given, strategies as st

from vanillabeam.answerheads import HeadCheck, HeadFault

GOOD = b"HTTP/1.1 200 OK\r\nX-Note: a\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"
BAD = b"HTTP/1.1 600 No\r\n\r\n"


def feed(check, data, sizes=()):
    """Give a check some bytes, in parts of the given sizes and the rest."""
    check.begin()
    for size in sizes:
        check.feed(data[:size])
        data = data[size:]
    check.feed(data)


@given(sizes=st.lists(st.integers(1, 9)), line_end=st.sampled_from([b"\r\n", b"\n"]))
def test_a_bad_head_is_found_whatever_its_parts(sizes, line_end):
    data = (INTERIM + INTERIM + BAD).replace(b"\r\n", line_end)
    with pytest.raises(HeadFault):
        feed(HeadCheck(), data, sizes)


@given(sizes=st.lists(st.integers(1, 9)))
def test_bytes_of_a_body_are_not_looked_at(sizes):
    feed(HeadCheck(), INTERIM + GOOD + BAD + b"\n \x00\n\n", sizes)


def test_each_answer_on_a_connection_is_checked():
    check = HeadCheck()
    feed(check, GOOD + b"body")
    feed(check, GOOD + b"body")
    with pytest.raises(HeadFault, match="status 600"):
        feed(check, BAD)


ODD_LINES = [b" X-Note: a", b"\tX-Note: a", b" ", b"X-\x01: a", b"X: \x7f", b"X: a\rb"]


@pytest.mark.parametrize("line", ODD_LINES)
@pytest.mark.parametrize("before", [b"", INTERIM])
def test_odd_lines_are_found_in_any_place(line, before):
    for lines in ([line], [b"X: a", line], [line, b"X: a"]):
        head = b"\r\n".join([b"HTTP/1.1 200 OK", *lines])
        with pytest.raises(HeadFault):
            feed(HeadCheck(), before + head + b"\r\n\r\nbody")


@pytest.mark.parametrize("line", [b"X:", b"X: \t a", b"X: \xff\x80", b"X: a  "])
def test_rare_lines_are_in_order(line):
    feed(HeadCheck(), b"HTTP/1.1 200 OK\r\n" + line + b"\r\n\r\n")


@pytest.mark.parametrize("status", range(100, 600))
def test_statuses_from_100_to_599_are_valid(status):
    head = b"HTTP/1.1 %d\r\n\r\n" % status
    if status == 101:
        with pytest.raises(HeadFault):
            feed(HeadCheck(), head)
    else:
        feed(HeadCheck(), head)


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 000 Zero",
        b"HTTP/1.1 099",
        b"HTTP/1.1 600",
        b"HTTP/1.1 20",
        b"junk",
        b"",
    ],
)
def test_other_status_lines_are_not(line):
    with pytest.raises(HeadFault):
        feed(HeadCheck(), line + b"\r\nX-Note: a\r\n\r\n")
