from pathlib import Path

from vanillabeam.exceptions import Run
from vanillabeam.problems import catalogue
from vanillabeam.reference import failures_page, settings_page

DOCS = Path(__file__).parents[1] / "docs"


def test_the_committed_pages_are_the_ones_in_force():
    again = "run: .venv/bin/python -m vanillabeam.reference docs"
    assert (DOCS / "failures.md").read_text() == failures_page(), again
    assert (DOCS / "settings.md").read_text() == settings_page(), again


def test_every_failure_says_what_to_do_and_none_shares_its_type():
    failures_page()
    kinds = [kind for kind in catalogue() if kind.__module__.startswith("vanillabeam")]
    types = [kind.type for kind in kinds]
    assert len(set(types)) == len(types)
    for kind in kinds:
        assert kind.advice
        assert kind.run in Run
