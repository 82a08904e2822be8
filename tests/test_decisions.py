import os
from pathlib import Path

from vanillabeam import logs
from vanillabeam.decisions import _EVENTS, KINDS, LineBudgets, Ready, RequestRefused
from vanillabeam.output import MAX_QUEUED_LINES, LineWriter

PAGE = Path(__file__).parents[1] / "docs" / "OPERATIONS.md"


def test_a_kind_has_so_many_lines_a_second():
    budgets = LineBudgets()
    limit = KINDS[Ready].lines_s
    assert sum(budgets.consume(Ready, 1.0) for _ in range(limit + 5)) == limit
    assert budgets.dropped == 5
    assert [tuple(each) for each in budgets.pop_dropped()] == [("ready", 5)]
    assert budgets.pop_dropped() == []
    assert budgets.consume(Ready, 2.0)


def test_one_kind_leaves_the_budget_of_another_alone():
    budgets = LineBudgets()
    while budgets.consume(Ready, 1.0):
        pass
    assert budgets.consume(RequestRefused, 1.0)


def test_every_field_of_every_kind_reaches_the_log():
    for kind in KINDS:
        assert set(kind._fields) <= set(logs.FIELDS)


def test_the_operators_page_lists_every_kind():
    page = PAGE.read_text()
    assert [event for event in _EVENTS.values() if f"`{event}`" not in page] == []


def test_a_reader_that_does_not_read_holds_nobody_up():
    reader, writer = os.pipe()
    output = LineWriter(writer)
    line = "x" * 1_000 + "\n"
    for _ in range(3 * MAX_QUEUED_LINES):
        output.write(line)
    assert output.dropped > 0
    os.close(reader)
    os.close(writer)


def test_lines_come_whole_and_in_order_once_the_reader_reads():
    reader, writer = os.pipe()
    output = LineWriter(writer)
    sent = [f"{number:06d} {'x' * 500}\n" for number in range(400)]
    for line in sent:
        output.write(line)
    os.set_blocking(reader, False)
    got = b""
    while len(got) < sum(map(len, sent)):
        try:
            got += os.read(reader, 65_536)
        except BlockingIOError:
            output.write("")
    assert got.decode() == "".join(sent)
    os.close(reader)
    os.close(writer)


def test_a_reader_that_is_gone_ends_no_process():
    reader, writer = os.pipe()
    os.close(reader)
    output = LineWriter(writer)
    output.write("line\n")
    assert output.dropped == 1
    os.close(writer)
