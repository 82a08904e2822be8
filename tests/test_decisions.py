import os
from pathlib import Path

from vanillabeam import logs
from vanillabeam.decisions import (
    KINDS,
    LineBudgets,
    Ready,
    RequestRefused,
    event_name,
)
from vanillabeam.output import MAX_QUEUED_LINES, LineWriter

PAGE = Path(__file__).parents[1] / "docs" / "OPERATIONS.md"


def test_lines_over_the_budget_are_dropped_and_counted():
    budgets = LineBudgets()
    limit = KINDS[Ready].lines_s
    assert sum(budgets.consume(Ready, 1.0) for _ in range(limit + 5)) == limit
    assert budgets.dropped == 5
    assert [tuple(each) for each in budgets.pop_dropped()] == [("ready", 5)]
    assert budgets.pop_dropped() == []
    assert budgets.consume(Ready, 2.0)


def test_each_kind_has_a_budget_of_its_own():
    budgets = LineBudgets()
    while budgets.consume(Ready, 1.0):
        pass
    assert budgets.consume(RequestRefused, 1.0)


def test_every_field_of_every_kind_reaches_the_log():
    for kind in KINDS:
        assert set(kind._fields) <= set(logs.FIELDS)


def test_the_operators_page_lists_every_kind():
    page = PAGE.read_text()
    assert [kind for kind in KINDS if f"`{event_name(kind)}`" not in page] == []


def test_writes_do_not_block_on_a_stalled_reader():
    reader, writer = os.pipe()
    output = LineWriter(writer)
    line = "x" * 1_000 + "\n"
    for _ in range(3 * MAX_QUEUED_LINES):
        output.write(line)
    assert output.dropped > 0
    os.close(reader)
    os.close(writer)


def test_queued_lines_arrive_complete_and_in_order():
    reader, writer = os.pipe()
    output = LineWriter(writer)
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


def test_a_closed_pipe_drops_the_line_and_raises_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    output = LineWriter(writer)
    output.write("line\n")
    assert output.dropped == 1
    os.close(writer)
