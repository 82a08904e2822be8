"""Builders for the tests of the measuring tool."""

from bench.results import Measurement


def make_result(commit: str, recorded: str, **values: list[float]) -> Measurement:
    return Measurement(
        name="sample",
        commit=commit,
        recorded=recorded,
        machine="test",
        seed=1,
        values=values,
        notes={},
    )
