"""Repeats of a request whose targets answer with errors."""

from types import SimpleNamespace

import httpcore
import pytest
import trio
import trio.testing

from tests.fleet.builders import make_route, make_target, make_view
from tests.forwarding.builders import make_chooser, make_metadata
from vanillabeam.counters import Counters
from vanillabeam.fleet import RouteKind
from vanillabeam.fleet.parts import PartView
from vanillabeam.forwarding import attempt as attempt_module
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.attempt import Resources
from vanillabeam.forwarding.dialect import AnswerKind
from vanillabeam.forwarding.exceptions import AnswerBroken
from vanillabeam.forwarding.exchange import Exchange
from vanillabeam.forwarding.sending import Broken, OpenResponse
from vanillabeam.forwarding.sentparts import SentParts

TARGETS = [make_target(f"t-{n}", address=f"10.0.0.{n + 1}:80") for n in range(4)]
REFUSED = 503
#: Stands for an answer that never came in place of a status.
RESET = None


class Writer:
    """Caller's side that records the status of the answer."""

    started = False
    status = 0

    async def send_response(self, status, headers, body):
        self.status = status


def classify(metadata, status, headers):
    return AnswerKind.NOT_RUN if status == REFUSED else AnswerKind.ANSWER


def serve(monkeypatch, statuses, entry_vms=("vm-1",), **route):
    """Return the targets that a request was sent to, and the caller's status.

    :param statuses: status of each target's answer, in the order of the attempts.
    """
    chooser, sent, writer = make_chooser(*TARGETS), [], Writer()
    answers = iter(statuses)

    async def open_response(pool, target, *args):
        sent.append(target.name)
        status = next(answers)
        if status is RESET:
            return Broken(AnswerBroken("reset"))
        response = httpcore.Response(status, content=b"{}")
        return OpenResponse(response.status, response.headers, response)

    monkeypatch.setattr(attempt_module, "open_response", open_response)
    follower = SimpleNamespace(
        view=make_view(),
        directory=chooser._directory,
        entry_vms=entry_vms,
        parts=PartView(),
        is_discovering=lambda now_s: False,
    )
    dialect = SimpleNamespace(
        request_headers=lambda headers, context: [], classify_answer=classify
    )
    pools = SimpleNamespace(pool=lambda target, connections: None)

    async def main():
        now_s = trio.current_time()
        for target in TARGETS:
            chooser._directory.update(target._replace(sequence=2), now_s)
        request = AdmittedRequest(
            make_metadata(), make_route(**route), None, [], b"", now_s, now_s + 4.0
        )
        resources = Resources(
            dialect, follower, chooser, pools, SentParts(), Counters()
        )
        await Exchange(request, resources, writer).run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return sent, writer.status


def test_a_safe_request_is_sent_to_another_target_after_an_error(monkeypatch):
    sent, status = serve(monkeypatch, [500, 200], kind=RouteKind.SAFE, attempts=2)
    assert status == 200
    assert sent[0] != sent[1]


def test_no_more_targets_get_a_request_than_its_route_allows(monkeypatch):
    sent, status = serve(monkeypatch, [500, 500, 200], kind=RouteKind.SAFE, attempts=2)
    assert (len(sent), status) == (2, 500)


def test_a_refusal_of_the_last_target_is_not_passed_on_after_a_run(monkeypatch):
    sent, status = serve(monkeypatch, [500, REFUSED], kind=RouteKind.SAFE, attempts=2)
    assert len(set(sent)) == 2
    assert status == 500


# Guards against "not run" for a request that the target before may have run.
def test_a_refusal_is_not_passed_on_if_an_earlier_target_may_have_run(monkeypatch):
    sent, status = serve(monkeypatch, [RESET, REFUSED], kind=RouteKind.SAFE, attempts=2)
    assert len(set(sent)) == 2
    assert status != REFUSED


@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
def test_a_request_that_may_run_once_is_not_repeated(monkeypatch, kind):
    sent, status = serve(monkeypatch, [500, 200], kind=kind, attempts=2)
    assert (len(sent), status) == (1, 500)


def test_retries_draw_on_the_retry_budget(monkeypatch):
    entry_vms = tuple(f"vm-{n}" for n in range(100))
    sent, status = serve(
        monkeypatch, [500, 200], entry_vms, kind=RouteKind.SAFE, attempts=2
    )
    assert (len(sent), status) == (1, 500)
