"""Worlds of engines and services around the cores, on virtual time."""

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
    """A run at an engine: the words from ``first`` on, then the last piece."""

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
    """A prompt, engines that start, forget and refuse, connections that break.

    :param choose: ``choose(options)``, random or hypothesis's.
    """

    def __init__(self, choose):
        self.choose = choose
        self.run = PromptRun("r", PromptLimits(), RetryBudget())
        self.now_s = 0.0
        self.runs: dict[str, EngineRun] = {}
        self.connections: dict[int, tuple[str, int]] = {}
        self.old: list[pe.Read] = []
        self.closed: set[int] = set()
        self.held: dict[str, str] = {}
        self.emitted: list[str] = []
        self.seen_by_engine = False
        self.ended: pe.Finish | pe.GiveUp | None = None
        self.feed(pe.Start())

    def feed(self, event):
        for effect in handle(event, self.run, self.now_s):
            self.perform(effect)

    def perform(self, effect):
        name = type(effect).__name__.lower()
        getattr(self, f"do_{name}")(effect)

    def do_acquire(self, effect):
        left = [t for t in TARGETS if t not in effect.excluded]
        if not left or self.choose((True,) * 9 + (False,)) is False:
            self.feed(pe.Denied(NoEligibleTarget()))
            return
        permit = make_permit(self.choose(left), number=len(self.held) + 1)
        self.held[permit.id] = "held"
        self.feed(pe.Granted(permit))

    def do_send(self, effect):
        connection_id = effect.connection_id
        fate = self.choose(("ok", "ok", "ok", "unsent", "refused", "lost", "seen"))
        if fate == "unsent":
            self.feed(pe.Lost(connection_id, fate))
            return
        self.feed(pe.Sent(connection_id))
        if fate == "refused":
            self.feed(pe.Refused(connection_id, "full"))
        elif fate == "lost":
            self.feed(pe.Lost(connection_id, fate))
        else:
            self.start_run(effect)
            if fate == "seen":
                self.feed(pe.Lost(connection_id, fate))
            else:
                self.connections[connection_id] = (effect.run_id, 0)
                self.feed(pe.StreamOpened(connection_id, "v1"))

    def start_run(self, effect):
        first = len("".join(self.emitted).split()) if effect.continues else 0
        assert effect.continues or not self.emitted
        assert effect.run_id not in self.runs
        self.runs[effect.run_id] = EngineRun(effect.permit.target, first)
        self.seen_by_engine = True

    def do_resume(self, effect):
        fate = self.choose(("ok", "ok", "lost", "gone"))
        if fate == "lost":
            self.feed(pe.Lost(effect.connection_id, fate))
        elif fate == "gone" or effect.run_id not in self.runs:
            self.feed(pe.RunNotFound(effect.connection_id))
        else:
            self.connections[effect.connection_id] = (effect.run_id, effect.after)
            self.feed(pe.StreamOpened(effect.connection_id, "v1"))

    def do_emit(self, effect):
        assert self.ended is None
        self.emitted.extend(piece.text for piece in effect.pieces)
        said = "".join(self.emitted).split()
        assert said == [str(n) for n in range(len(said))], "doubled or skipped"

    def do_finish(self, effect):
        assert len("".join(self.emitted).split()) == WORDS
        self.end(effect)

    def do_giveup(self, effect):
        if effect.failure.run is Run.NOT_RUN:
            assert not self.seen_by_engine
        self.end(effect)

    def end(self, effect):
        assert self.ended is None
        self.ended = effect
        assert "held" not in self.held.values()

    def do_cancel(self, effect):
        if effect.run_id in self.runs:
            self.runs[effect.run_id].cancelled = True

    def do_release(self, effect):
        assert self.held[effect.permit.id] == "held"
        self.held[effect.permit.id] = str(effect.kind)

    def do_close(self, effect):
        self.closed.add(effect.connection_id)

    def deliver(self):
        """Bring pieces on the open connection: doubled, swapped or left out."""
        connection_id = self.run.connection_id
        if connection_id not in self.connections or self.ended is not None:
            return
        run_id, position = self.connections[connection_id]
        run = self.runs[run_id]
        fresh = run.pieces[position : position + self.choose((1, 2, 3))]
        self.connections[connection_id] = (run_id, position + len(fresh))
        pieces = [p for p in fresh for _ in range(self.choose((1, 1, 1, 1, 2, 0)))]
        if self.choose((False, False, True)):
            pieces.reverse()
        done = position + len(fresh) == len(run.pieces)
        event = pe.Read(connection_id, pieces, run.end() if done else None)
        self.old.append(event)
        self.feed(event)

    def deliver_old(self):
        """Bring what an earlier connection had brought already."""
        if self.old:
            self.feed(self.choose(self.old))

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
        wanted = self.run.run_id if self.ended == pe.Finish() else None
        assert all(run.cancelled or i == wanted for i, run in self.runs.items())

    STEPS = ("deliver",) * 12 + ("deliver_old", "break_link", "pass_time") * 2

    def walk(self, steps=60):
        """Take random steps, then let the deadline pass."""
        for _ in range(steps):
            getattr(self, self.choose(self.STEPS))()
        if self.choose((False, True)):
            self.leave()
        self.stop()


class CallSimulation:
    """A call, services that run, refuse or go silent."""

    def __init__(self, choose, repeatable):
        self.choose = choose
        self.repeatable = repeatable
        self.run = cr.CallRun(repeatable, RetryBudget())
        self.executions = 0
        self.held = 0
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
            self.held -= 1
        else:
            assert self.result is None
            self.result = effect

    def acquire(self, effect):
        left = [t for t in TARGETS if t not in effect.excluded]
        if left and self.choose((True, True, True, False)):
            self.held += 1
            self.feed(cr.Granted(make_permit(self.choose(left))))
        else:
            self.feed(cr.Denied(NoEligibleTarget()))

    def send(self, effect):
        fates = ("unsent", "refused", "lost", "ran", "began", "large", "late", "done")
        fate = self.choose(fates)
        attempt = effect.attempt
        if fate != "unsent":
            self.feed(cr.Sent(attempt))
        if fate not in ("unsent", "refused", "lost"):
            self.executions += 1
        if fate in ("began", "large", "done"):
            self.feed(cr.HeadReceived(attempt))
        if fate == "late":
            self.feed(cr.DeadlinePassed())
        elif fate == "refused":
            self.feed(cr.Refused(attempt, "full"))
        elif fate == "large":
            self.feed(cr.Oversized(attempt))
        elif fate == "done":
            self.feed(cr.Answered(attempt))
        else:
            self.feed(cr.Lost(attempt, fate))
        self.feed(cr.Answered(attempt))

    def walk(self):
        """Run one call to its end and check what was said of it."""
        self.feed(cr.Start())
        assert self.held == 0
        assert self.repeatable or self.executions <= 1
        if isinstance(self.result, cr.Fail):
            failure = Failure(self.result.failure).failure()
            assert failure.run is not Run.NOT_RUN or self.executions == 0
            assert failure.run is not Run.RAN or self.executions > 0
        else:
            assert self.executions > 0
