"""Requests of one entry VM to scripted targets, without a network."""

from types import SimpleNamespace
from typing import NamedTuple

import httpcore
import trio
import trio.testing

from tests.fleet.builders import make_route, make_target, make_view
from tests.forwarding.builders import make_chooser, make_metadata, make_resources
from vanillabeam.fleet.parts import PartView
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.dialect import AnswerKind
from vanillabeam.forwarding.exceptions import AnswerBroken, TargetWithdrawn
from vanillabeam.forwarding.judging.endings import TargetEnds
from vanillabeam.forwarding.judging.gate import QuarantineGate
from vanillabeam.forwarding.sending import attempt as attempt_module
from vanillabeam.forwarding.sending.downstream import ResponseWriter
from vanillabeam.forwarding.sending.exchange import Exchange
from vanillabeam.forwarding.sending.upstream import Broken, OpenResponse
from vanillabeam.notices import Notice

REFUSED = 503
MISDIRECTED = 421
LEAVING = (b"x-leaving", b"1")
LIMIT = b"x-limit"


class Reply(NamedTuple):
    """A target's answer; status 0 stands for a connection that is reset.

    :param after_s: seconds until the head is sent.
    """

    status: int = 200
    headers: tuple = ()
    body: bytes = b"{}"
    after_s: float = 0.0


RESET = Reply(0)


def paused(seconds, **changes):
    """Return a refusal that asks for a pause."""
    text = str(seconds).encode()
    return Reply(REFUSED, ((b"retry-after", text),), **changes)


def limited(rate_s, **changes):
    """Return an answer that names a limit."""
    return Reply(headers=((LIMIT, str(rate_s).encode()),), **changes)


class Sent(NamedTuple):
    """A request that reached a target, and when."""

    target: str
    at_s: float


class Result(NamedTuple):
    """What the caller got: a target's answer or a failure of this VM."""

    status: int
    headers: dict
    body: bytes
    failure: object


class ScriptedDialect:
    """Header names of the scripted targets."""

    def request_headers(self, headers, context):
        return []

    def classify_answer(self, metadata, status, headers, is_first):
        if status == MISDIRECTED:
            return AnswerKind.OTHER_TARGET
        return AnswerKind.NOT_RUN if status == REFUSED else AnswerKind.ANSWER

    def read_notice(self, status, headers):
        by_name = dict(headers)
        pause = by_name.get(b"retry-after")
        limits = tuple(v.decode() for n, v in headers if n == LIMIT)
        return Notice(LEAVING[0] in by_name, pause and pause.decode(), limits)

    def answer_headers(self, status, headers):
        return [(n, v) for n, v in headers if n not in (LEAVING[0], b"retry-after")]


class EntryVm:
    """One entry VM and its targets.

    :param names: names of the targets, which differ in their addresses.
    :param route: settings of the route of all requests.
    :ivar replies: next answers by target; the last one is given again and again.
    :ivar sent: the requests that reached a target.
    :ivar quarantine: quarantined parts, as this VM knows them.
    :ivar accused: parts that the leader asks about.
    :ivar checked: targets that may have ended.
    :ivar paces: arrival of the answers' parts, by request.
    :ivar take_s: seconds that a caller takes for each message.
    :ivar connect_s: seconds from the choice of a target until the request is sent.
    """

    def __init__(self, monkeypatch, names=("t-0", "t-1"), **route):
        self.targets = [
            make_target(name, address=f"10.0.0.{number + 1}:80")
            for number, name in enumerate(names)
        ]
        self.replies = {name: [Reply()] for name in names}
        self.sent = []
        self.paces = []
        self.connect_s = self.take_s = 0.0
        self.route = make_route(**({"timeout_s": 4.0} | route))
        self.chooser = make_chooser(*self.targets)
        self.directory = self.chooser._directory
        self._sequence = 1
        self.entry_vms = ("vm-1",)
        self.ends = TargetEnds()
        self.gate = QuarantineGate("vm-1", self.ends)
        self.quarantine, self.accused, self.checked = {}, {}, []
        monkeypatch.setattr(attempt_module, "open_response", self._open_response)

    def announce(self, *targets):
        """Let targets announce themselves, all of them by default."""
        self._sequence += 1
        for target in targets or self.targets:
            self.directory.update(
                target._replace(sequence=self._sequence), trio.current_time()
            )

    def limit(self, target, rate_s):
        """Have this VM know a limit of a target since the start of the clock."""
        limits = self.chooser.rates.limits
        limits.record_answer(target.incarnation, rate_s, sent_s=0.0, now_s=0.0)

    async def request(self, limit_s=4.0, metadata=None, workspace=None, **route):
        """Return what a caller gets that waits ``limit_s`` seconds."""
        sent, now_s = [], trio.current_time()

        async def send(message):
            await trio.sleep(self.take_s)
            sent.append(message)

        request = AdmittedRequest(
            metadata or make_metadata(),
            self.route._replace(**route),
            workspace,
            [],
            b"",
            now_s,
            now_s + limit_s,
        )
        writer = ResponseWriter(send)
        self.paces.append(writer.pace)
        failure = await Exchange(request, self._resources(), writer).run()
        head = sent[0] if sent else {"status": 0, "headers": []}
        body = b"".join(message.get("body", b"") for message in sent)
        return Result(head["status"], dict(head["headers"]), body, failure)

    def targets_sent_to(self, since_s=0.0):
        """Return the names of the targets that requests reached, in order."""
        return [sent.target for sent in self.sent if sent.at_s >= since_s]

    def _resources(self):
        follower = SimpleNamespace(
            view=make_view(quarantine=self.quarantine),
            accused=self.accused,
            directory=self.directory,
            entry_vms=self.entry_vms,
            parts=PartView(),
            is_discovering=lambda now_s: False,
            report_limits=lambda: None,
        )
        pools = SimpleNamespace(pool=lambda target, connections: None)
        return make_resources(
            follower,
            self.chooser,
            dialect=ScriptedDialect(),
            pools=pools,
            ends=self.ends,
            probe=SimpleNamespace(check=self.checked.append),
            gate=self.gate,
        )

    async def _open_response(self, pool, target, metadata, headers, body, may_send):
        await trio.sleep(self.connect_s)
        if not may_send():
            return Broken(TargetWithdrawn(target.name))
        self.sent.append(Sent(target.name, trio.current_time()))
        replies = self.replies[target.name]
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        await trio.sleep(reply.after_s)
        if not reply.status:
            return Broken(AnswerBroken("reset"))
        response = httpcore.Response(
            reply.status, headers=list(reply.headers), content=reply.body
        )
        return OpenResponse(response.status, response.headers, response)


def play(main):
    """Run an async function on a clock that skips waits."""
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
