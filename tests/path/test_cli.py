import json
from pathlib import Path

import trio
from typer.testing import CliRunner

from tests.builders import make_settings_document
from tests.path.builders import OPERATOR_KEY, make_ticket, run_with_vm
from vanillabeam.cli import app

runner = CliRunner()


def run_commands(folder, *commands, ticket=None):
    """Run commands of the tool against a VM; return their results.

    :param commands: command lines; ``@`` in them is replaced by ``folder``.
    """

    async def act(running):
        await running.add_target()
        (folder / "key").write_text(OPERATOR_KEY)
        (folder / "ticket.json").write_bytes(make_ticket())
        (folder / "other.json").write_bytes(
            make_ticket(1, models={"m": {"version": "v9"}})
        )
        options = ["--address", running.vm.address("peers")]
        options += ["--key-file", str(folder / "key")]
        results = []
        for command in commands:
            arguments = [word.replace("@", str(folder)) for word in command.split()]
            results.append(
                await trio.to_thread.run_sync(runner.invoke, app, arguments + options)
            )
        return results

    return run_with_vm(folder, act, ticket)


def test_a_ticket_sent_again_gets_the_first_answer(tmp_path):
    first, second = run_commands(tmp_path, *["ticket apply @/ticket.json --json"] * 2)
    assert first.exit_code == second.exit_code == 0
    assert json.loads(first.stdout) == json.loads(second.stdout)


def test_a_used_ticket_number_is_refused_with_advice(tmp_path):
    (refused,) = run_commands(tmp_path, "ticket apply @/other.json")
    assert refused.exit_code == 1
    assert "ticket-number-taken" in refused.stderr
    assert "send under a new number" in refused.stderr


def test_show_wait_status_and_report_print_json(tmp_path):
    show, wait, status, report = run_commands(
        tmp_path,
        "ticket show 1 --json",
        "ticket wait 1 --json",
        "status --json",
        "report burn --json",
    )
    assert json.loads(show.stdout)["author"] == "aline"
    assert json.loads(wait.stdout)["in_force"] is True
    assert json.loads(status.stdout)["targets"][0]["target"] == "t1"
    assert json.loads(report.stdout)["vms"] == ["vm-1"]


def test_status_and_report_print_tables_and_write_html(tmp_path):
    status, report, page = run_commands(
        tmp_path, "status", "report burn", "report burn --html @/burn.html"
    )
    assert status.exit_code == report.exit_code == page.exit_code == 0
    assert "vm-1 in dc-1: ready" in status.stdout
    assert (tmp_path / "burn.html").read_text().startswith("<!doctype html>")


def test_an_unknown_ticket_and_trace_are_refused(tmp_path):
    ticket, trace = run_commands(tmp_path, "ticket show 77", "trace nothing")
    assert (ticket.exit_code, trace.exit_code) == (1, 3)


def test_an_unreachable_address_has_its_own_exit_code(tmp_path):
    result = runner.invoke(app, ["status", "--address", "127.0.0.1:1"])
    assert result.exit_code == 4
    assert "peer-unreachable" in result.stderr


def test_settings_check_reports_every_error(tmp_path):
    path = tmp_path / "vm.json"
    path.write_text(json.dumps(make_settings_document(vm=3, colour="red")))
    result = runner.invoke(app, ["settings", "check", str(path)])
    assert result.exit_code == 1
    assert "vm:" in result.stderr
    assert "colour:" in result.stderr


def test_a_key_is_created_with_its_digest_and_a_cache_secret():
    document = json.loads(runner.invoke(app, ["workspace", "key", "--json"]).stdout)
    assert document["key"].startswith("vb-")
    assert len(document["key_digest"]) == len(document["cache_secret"]) == 64


def test_a_stopped_vm_s_data_folder_is_checked_and_shown(tmp_path):
    run_commands(tmp_path)
    folder = str(tmp_path / "data")
    good = runner.invoke(app, ["data", "check", folder])
    assert good.exit_code == 0, good.output
    shown = runner.invoke(app, ["data", "show", folder])
    assert "secret" not in shown.stdout
    for path in Path(folder, "log", "tickets").iterdir():
        content = bytearray(path.read_bytes())
        content[: len(content) // 2] = b"\xff" * (len(content) // 2)
        path.write_bytes(content)
    assert runner.invoke(app, ["data", "check", folder]).exit_code == 1
