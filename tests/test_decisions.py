import os
from pathlib import Path

from vanillabeam import logs
from vanillabeam.decisions import _EVENTS, KINDS, Budgets, Ready, RequestRefused
from vanillabeam.output import WAITING_LINES, Output

PAGE = Path(__file__).parents[1] / "docs" / "OPERATIONS.md"


def test_a_kind_of_line_has_a_rate_limit():
    budgets = Budgets()
    limit = KINDS[Ready].lines_s
    assert sum(budgets.take(Ready, 1.0) for _ in range(limit + 5)) == limit
    assert budgets.dropped == 5
    assert [tuple(each) for each in budgets.left_out()] == [("ready", 5)]
    assert budgets.left_out() == []
    assert budgets.take(Ready, 2.0)


def test_each_kind_of_line_has_its_own_budget():
    budgets = Budgets()
    while budgets.take(Ready, 1.0):
        pass
    assert budgets.take(RequestRefused, 1.0)


def test_every_field_of_every_kind_reaches_the_log():
    for kind in KINDS:
        assert set(kind._fields) <= set(logs.FIELDS)


def test_the_operators_page_lists_every_kind():
    page = PAGE.read_text()
    assert [event for event in _EVENTS.values() if f"`{event}`" not in page] == []


def test_a_reader_that_stops_reading_does_not_block_the_writer():
    reader, writer = os.pipe()
    output = Output(writer)
    line = "x" * 1_000 + "\n"
    for _ in range(3 * WAITING_LINES):
        output.write(line)
    assert output.dropped > 0
    os.close(reader)
    os.close(writer)


def test_lines_arrive_complete_and_in_order_when_the_reader_resumes():
    reader, writer = os.pipe()
    output = Output(writer)
    sent = [f"{number:06d} {'x' * 500}\n" for number in range(400)]
    for line in sent:
        output.write(line)
    os.set_blocking(reader, False)
    received = b""
    while len(received) < sum(map(len, sent)):
        try:
            received += os.read(reader, 65_536)
        except BlockingIOError:
            output.write("")
    assert received.decode() == "".join(sent)
    os.close(reader)
    os.close(writer)


def test_a_closed_reader_does_not_end_the_process():
    reader, writer = os.pipe()
    os.close(reader)
    output = Output(writer)
    output.write("line\n")
    assert output.dropped == 1
    os.close(writer)
