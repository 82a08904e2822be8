"""Causes of late answers, from log lines."""

import json
from datetime import UTC, datetime

import pytest
from typer.testing import CliRunner

from vanillabeam.cli import app
from vanillabeam.cli.latecauses import Cause, explain_late

OBJECTIVE_S = 0.8
PAUSE_S = 0.5
HEAD_S = 1_767_225_600.0


def line(event, at_s, request_id, **fields):
    time = datetime.fromtimestamp(HEAD_S + at_s, UTC).isoformat(timespec="milliseconds")
    return {
        "time": time,
        "level": "INFO",
        "event": event,
        "vm": "front-a-1",
        "data_centre": fields.pop("data_centre", "a"),
        "request_id": request_id,
        **fields,
    }


def answer(
    number=0,
    chosen_s=(0.0,),
    first_s=0.3,
    gap_s=0.0,
    total_s=2.0,
    target="t-1",
    route="chat",
    workspace="shop",
    **chosen,
):
    """Return the log lines of one answer; times count from the request's head."""
    request_id = f"r-{number}"
    choice = {
        "service": "llm",
        "target": target,
        "wait_s": 0.2,
        "work": 1_000,
        "fetched": 0,
        "queued": 0,
    }
    return [
        line(
            "request-admitted",
            0.0,
            request_id,
            route=route,
            workspace=workspace,
            budget_s=8.0,
            objective_s=OBJECTIVE_S,
        ),
        *(
            line("target-chosen", at_s, request_id, **(choice | chosen))
            for at_s in chosen_s
        ),
        line(
            "request-answered",
            total_s,
            request_id,
            total_s=total_s,
            first_s=first_s,
            gap_s=gap_s,
        ),
    ]


CASES = {
    Cause.WAITED: {"chosen_s": (0.9,), "first_s": 1.1},
    Cause.RETRIED: {"chosen_s": (0.0, 1.5), "first_s": 1.7},
    Cause.AT_TARGET: {"first_s": 2.0},
    Cause.PREFILL: {"first_s": 1.0, "wait_s": 0.95},
    Cause.MEMORY: {"first_s": 1.0, "wait_s": 0.95, "fetched": 900},
    Cause.PAUSED: {"first_s": 0.3, "gap_s": 1.2},
}


@pytest.mark.parametrize("cause", CASES)
def test_each_cause_is_found(cause):
    report = explain_late(answer(**CASES[cause]), PAUSE_S)
    (late,) = report.late
    assert late.main is cause
    assert (late.route, late.data_centre, late.workspace) == ("chat", "a", "shop")


def test_the_work_before_a_prompt_is_not_its_prefill():
    records = answer(first_s=1.0, wait_s=0.95, work=100, queued=900)
    (late,) = explain_late(records, PAUSE_S).late
    assert late.main is Cause.AT_TARGET
    assert late.seconds[Cause.PREFILL] == pytest.approx(0.095)


def test_the_seconds_of_an_answer_add_up_to_its_first_event():
    records = answer(chosen_s=(0.1, 0.4), first_s=1.6, fetched=300, queued=500)
    (late,) = explain_late(records, PAUSE_S).late
    assert sum(late.seconds.values()) == pytest.approx(1.6, abs=0.01)


# Guards against a slow target whose late answers are blamed on the load of all.
def test_a_target_that_is_slower_than_its_service_is_named():
    records = []
    for number in range(30):
        target = "slow" if number % 5 == 0 else f"t-{number % 4}"
        first_s = 1.2 if target == "slow" else 0.3
        records += answer(number, first_s=first_s, target=target)
    report = explain_late(records, PAUSE_S)
    assert {late.target for late in report.late} == {"slow"}
    assert {late.main for late in report.late} == {Cause.SLOW_TARGET}


def test_answers_in_time_are_not_late():
    report = explain_late(answer(first_s=0.8, gap_s=0.5), PAUSE_S)
    assert (report.answers, report.late) == (1, [])


# Guards against lines that were dropped over their budget, or are of an older release.
def test_answers_without_all_their_lines_are_counted_apart():
    records = [*answer(1, first_s=2.0), *answer(2, first_s=2.0)[1:]]
    old = answer(3, first_s=2.0)
    del old[-1]["gap_s"]
    report = explain_late([*records, *old], PAUSE_S)
    assert (report.answers, report.incomplete, len(report.late)) == (1, 1, 1)


def run(records, *options):
    lines = "".join(f"{json.dumps(record)}\n" for record in records)
    return CliRunner().invoke(app, ["late", *options], input=lines + "no log\n")


def test_the_command_groups_late_answers_by_route_data_centre_and_workspace():
    records = [
        *answer(1, first_s=2.0, route="search", workspace="lab"),
        *answer(2, gap_s=1.5),
        *answer(3),
    ]
    result = run(records, "--json")
    assert result.exit_code == 0
    page = json.loads(result.stdout)
    assert (page["answers"], page["late"]) == (3, 2)
    assert page["by_route"]["search"]["late"] == 1
    assert page["by_workspace"]["shop"]["paused"] == pytest.approx(1.0)
    assert set(page["by_data_centre"]) == {"a"}


def test_the_command_prints_causes_as_text():
    result = run(answer(first_s=2.0))
    assert "1 of 1 answers were late" in result.stdout
    assert "at the target" in result.stdout


def test_the_longest_pause_is_an_option():
    assert json.loads(run(answer(gap_s=0.4), "--json").stdout)["late"] == 0
    result = run(answer(gap_s=0.4), "--json", "--pause", "0.3")
    assert json.loads(result.stdout)["late"] == 1


def test_logs_without_answers_are_an_error():
    assert run([]).exit_code == 1
