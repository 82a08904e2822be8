from pathlib import Path

from vanillabeam.decisions import KINDS, event_name
from vanillabeam.exceptions import Run
from vanillabeam.problems import catalogue
from vanillabeam.reference import failures_page, log_page, settings_page

DOCS = Path(__file__).parents[1] / "docs"


def test_the_committed_pages_are_up_to_date():
    command = "run: .venv/bin/python -m vanillabeam.reference docs"
    assert (DOCS / "failures.md").read_text() == failures_page(), command
    assert (DOCS / "settings.md").read_text() == settings_page(), command
    assert (DOCS / "loglines.md").read_text() == log_page(), command


def test_every_log_line_and_field_is_explained():
    page = log_page()
    for kind in KINDS:
        section = page.split(f"\n## {event_name(kind)}\n")[1].split("\n## ")[0]
        for name in kind._fields:
            (row,) = [row for row in section.splitlines() if f"| `{name}` |" in row]
            assert row.strip("| ").split("|")[1].strip(), (kind, name)


def test_every_failure_has_advice_and_a_unique_type():
    failures_page()
    kinds = [kind for kind in catalogue() if kind.__module__.startswith("vanillabeam")]
    types = [kind.type for kind in kinds]
    assert len(set(types)) == len(types)
    for kind in kinds:
        assert kind.advice
        assert kind.run in Run
