"""Simulated engines and services that drive the cores, in virtual time."""

from returns.result import Failure

from tests.answers.builders import make_permit, make_piece
from vanillabeam.admission import RetryBudget
from vanillabeam.answers import callrun as cr, promptevents as pe
from vanillabeam.answers.events import End
from vanillabeam.answers.promptrun import PromptLimits, PromptRun, handle
from vanillabeam.exceptions import NoEligibleTarget, Run

TARGETS = ("t1", "t2", "t3")
WORDS = 6


class EngineRun:
    """A run at an engine: the words from ``first`` on, then a last, empty piece."""

    def __init__(self, target, first):
        self.target = target
        self.cancelled = False
        words = [
            make_piece(number, f"{word} ")
            for number, word in enumerate(range(first, WORDS), 1)
        ]
        self.pieces = [*words, make_piece(len(words) + 1, "", last=True)]

    def end(self):
        return End(len(self.pieces), "v1")


class PromptSimulation:
    """One prompt with engines that refuse or lose runs and connections that break.

    :param choose: ``choose(options)`` picks an option, at random or by hypothesis.
    """

    def __init__(self, choose):
        self.choose = choose
        self.run = PromptRun("r", PromptLimits(), RetryBudget())
        self.now_s = 0.0
        self.runs: dict[str, EngineRun] = {}
        self.connections: dict[int, tuple[str, int]] = {}
        self.received_events: list[pe.Read] = []
        self.closed: set[int] = set()
        self.permit_states: dict[str, str] = {}
        self.emitted: list[str] = []
        self.run_started = False
        self.ended: pe.Finish | pe.GiveUp | None = None
        self.feed(pe.Start())

    def feed(self, event):
        for effect in handle(event, self.run, self.now_s):
            self.perform(effect)

    def perform(self, effect):
        name = type(effect).__name__.lower()
        getattr(self, f"do_{name}")(effect)

    def do_acquire(self, effect):
        eligible = [t for t in TARGETS if t not in effect.excluded]
        if not eligible or self.choose((True,) * 9 + (False,)) is False:
            self.feed(pe.Denied(NoEligibleTarget()))
            return
        permit = make_permit(self.choose(eligible), number=len(self.permit_states) + 1)
        self.permit_states[permit.id] = "held"
        self.feed(pe.Granted(permit))

    def do_send(self, effect):
        connection_id = effect.connection_id
        outcome = self.choose(("ok", "ok", "ok", "unsent", "refused", "lost", "seen"))
        if outcome == "unsent":
            self.feed(pe.Lost(connection_id, outcome))
            return
        self.feed(pe.Sent(connection_id))
        if outcome == "refused":
            self.feed(pe.Refused(connection_id, "full"))
        elif outcome == "lost":
            self.feed(pe.Lost(connection_id, outcome))
        else:
            self.start_run(effect)
            if outcome == "seen":
                self.feed(pe.Lost(connection_id, outcome))
            else:
                self.connections[connection_id] = (effect.run_id, 0)
                self.feed(pe.StreamOpened(connection_id, "v1"))

    def start_run(self, effect):
        first = len("".join(self.emitted).split()) if effect.continues else 0
        assert effect.continues or not self.emitted
        assert effect.run_id not in self.runs
        self.runs[effect.run_id] = EngineRun(effect.permit.target, first)
        self.run_started = True

    def do_resume(self, effect):
        outcome = self.choose(("ok", "ok", "lost", "gone"))
        if outcome == "lost":
            self.feed(pe.Lost(effect.connection_id, outcome))
        elif outcome == "gone" or effect.run_id not in self.runs:
            self.feed(pe.RunNotFound(effect.connection_id))
        else:
            self.connections[effect.connection_id] = (effect.run_id, effect.after)
            self.feed(pe.StreamOpened(effect.connection_id, "v1"))

    def do_emit(self, effect):
        assert self.ended is None
        self.emitted.extend(piece.text for piece in effect.pieces)
        words = "".join(self.emitted).split()
        assert words == [str(n) for n in range(len(words))], "doubled or skipped"

    def do_finish(self, effect):
        assert len("".join(self.emitted).split()) == WORDS
        self.end(effect)

    def do_giveup(self, effect):
        if effect.failure.run is Run.NOT_RUN:
            assert not self.run_started
        self.end(effect)

    def end(self, effect):
        assert self.ended is None
        self.ended = effect
        assert "held" not in self.permit_states.values()

    def do_cancel(self, effect):
        if effect.run_id in self.runs:
            self.runs[effect.run_id].cancelled = True

    def do_release(self, effect):
        assert self.permit_states[effect.permit.id] == "held"
        self.permit_states[effect.permit.id] = str(effect.kind)

    def do_close(self, effect):
        self.closed.add(effect.connection_id)

    def deliver(self):
        """Deliver pieces on the open connection, duplicated, reversed or dropped."""
        connection_id = self.run.connection_id
        if connection_id not in self.connections or self.ended is not None:
            return
        run_id, position = self.connections[connection_id]
        run = self.runs[run_id]
        unread = run.pieces[position : position + self.choose((1, 2, 3))]
        self.connections[connection_id] = (run_id, position + len(unread))
        pieces = [p for p in unread for _ in range(self.choose((1, 1, 1, 1, 2, 0)))]
        if self.choose((False, False, True)):
            pieces.reverse()
        done = position + len(unread) == len(run.pieces)
        event = pe.Read(connection_id, pieces, run.end() if done else None)
        self.received_events.append(event)
        self.feed(event)

    def deliver_old(self):
        """Deliver again what was delivered before, also by earlier connections."""
        if self.received_events:
            self.feed(self.choose(self.received_events))

    def break_link(self):
        if self.run.connection_id in self.connections and self.ended is None:
            self.feed(pe.Lost(self.run.connection_id, "broken"))

    def pass_time(self):
        self.now_s += 0.3

    def leave(self):
        self.feed(pe.CallerClosed())

    def stop(self):
        self.feed(pe.DeadlinePassed())
        assert self.ended is not None
        kept_run = self.run.run_id if self.ended == pe.Finish() else None
        assert all(run.cancelled or i == kept_run for i, run in self.runs.items())

    STEPS = ("deliver",) * 12 + ("deliver_old", "break_link", "pass_time") * 2

    def walk(self, steps=60):
        """Take random steps, then let the deadline pass."""
        for _ in range(steps):
            getattr(self, self.choose(self.STEPS))()
        if self.choose((False, True)):
            self.leave()
        self.stop()


class CallSimulation:
    """One call with targets that run it, refuse it or stop answering."""

    def __init__(self, choose, repeatable):
        self.choose = choose
        self.repeatable = repeatable
        self.run = cr.CallRun(repeatable, RetryBudget())
        self.executions = 0
        self.held_permits = 0
        self.result = None

    def feed(self, event):
        for effect in cr.handle(event, self.run, 0.0):
            self.perform(effect)

    def perform(self, effect):
        if isinstance(effect, cr.Acquire):
            self.acquire(effect)
        elif isinstance(effect, cr.Send):
            self.send(effect)
        elif isinstance(effect, cr.Release):
            self.held_permits -= 1
        else:
            assert self.result is None
            self.result = effect

    def acquire(self, effect):
        eligible = [t for t in TARGETS if t not in effect.excluded]
        if eligible and self.choose((True, True, True, False)):
            self.held_permits += 1
            self.feed(cr.Granted(make_permit(self.choose(eligible))))
        else:
            self.feed(cr.Denied(NoEligibleTarget()))

    def send(self, effect):
        outcomes = (
            "unsent",
            "refused",
            "lost",
            "ran",
            "began",
            "large",
            "late",
            "done",
        )
        outcome = self.choose(outcomes)
        attempt = effect.attempt
        if outcome != "unsent":
            self.feed(cr.Sent(attempt))
        if outcome not in ("unsent", "refused", "lost"):
            self.executions += 1
        if outcome in ("began", "large", "done"):
            self.feed(cr.HeadReceived(attempt))
        if outcome == "late":
            self.feed(cr.DeadlinePassed())
        elif outcome == "refused":
            self.feed(cr.Refused(attempt, "full"))
        elif outcome == "large":
            self.feed(cr.Oversized(attempt))
        elif outcome == "done":
            self.feed(cr.Answered(attempt))
        else:
            self.feed(cr.Lost(attempt, outcome))
        self.feed(cr.Answered(attempt))

    def walk(self):
        """Run one call to its end and check its reported run state."""
        self.feed(cr.Start())
        assert self.held_permits == 0
        assert self.repeatable or self.executions <= 1
        if isinstance(self.result, cr.Fail):
            failure = Failure(self.result.failure).failure()
            assert failure.run is not Run.NOT_RUN or self.executions == 0
            assert failure.run is not Run.RAN or self.executions > 0
        else:
            assert self.executions > 0
