"""Load of each target, and the speed at which it is processed."""

from collections.abc import Callable, Iterable

from vanillabeam.capacity.core import TargetCapacity
from vanillabeam.fleet import Target
from vanillabeam.fleet.loads import EntryLoad, add_loads, make_load
from vanillabeam.forwarding.choosing.observations import Observations
from vanillabeam.forwarding.choosing.openwork import (
    DEFAULT_HELD_S,
    OpenRequest,
    OpenWork,
    UnreportedLoad,
)
from vanillabeam.forwarding.choosing.peerwork import PeerWork
from vanillabeam.forwarding.choosing.silence import Silence

__all__ = ["Load", "OpenRequest", "UnreportedLoad"]

#: Seconds without a wait that shows the speed after which a prompt may test it.
SPEED_TTL_S = 10.0
#: Multiple of the expected wait after which a silent target is suspect.
SUSPECT_WAIT_FACTOR = 3.0


class Load:
    """Load of targets by this entry VM and, as last reported, by the others.

    :ivar observed: recent outcomes of requests, of all entry VMs.
    :ivar capacity: speed of each target, and the open requests from which it slows.
    :ivar on_report: called with the monotonic time when the load of others arrives.

    >>> load = Load()
    >>> opened = load.record_start("t-1", rank=2, tokens=900, now_s=1.0)
    >>> load.queued_tokens("t-1", rank=2)
    900
    >>> load.record_response(opened, "llm", now_s=1.1)
    >>> load.record_end(opened)
    """

    def __init__(self):
        self.observed = Observations()
        self.on_report: Callable[[float], None] = lambda now_s: None
        self._work = OpenWork()
        self._silence = Silence()
        self.capacity = TargetCapacity()
        #: Seconds until the head of the answer of open plain calls, by number.
        self._call_s: dict[int, float] = {}

    @property
    def peers(self) -> PeerWork:
        """Open work that other entry VMs tell this one directly."""
        return self._work.peers

    @peers.setter
    def peers(self, peers: PeerWork) -> None:
        self._work.peers = peers

    def is_near(self, target: Target) -> bool:
        """Return whether this VM is told at once what is sent to a target."""
        return self.peers.is_near(target.name, target.data_centre)

    @property
    def others(self) -> EntryLoad:
        """Load of all other entry VMs together."""
        return self._work.others

    @others.setter
    def others(self, load: EntryLoad) -> None:
        self._work.others = load

    def own(self, now_s: float) -> EntryLoad:
        """Return the load of this VM's own requests, and what they have observed."""
        learned = make_load(**self.capacity.own(now_s))
        return add_loads(self._work.own(), self.observed.own(now_s), learned)

    def update_others(self, load: EntryLoad, now_s: float) -> None:
        """Replace the reported load of all other entry VMs."""
        self._work.update_others(load, now_s)
        self.observed.update_others(load)
        self.capacity.update_others(load, now_s)
        self.on_report(now_s)

    def others_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the others' load arrived, ``None`` before."""
        seen_s = self._work.others_seen_s
        return None if seen_s is None else now_s - seen_s

    def open_work(self) -> EntryLoad:
        """Return the load of this VM's own requests, without what they observed."""
        return self._work.own()

    def used_memory_tokens(self, target: str) -> int:
        """Return the tokens of memory that the requests of all VMs take at a target."""
        return self._work.used_memory_tokens(target)

    def unreported_load(
        self, target: str, entries: int, now_s: float
    ) -> UnreportedLoad:
        """Return the load that other entry VMs may have sent and not yet reported.

        :param entries: number of entry VMs, this one included.
        """
        return self._work.unreported_load(target, entries, now_s)

    def open_requests(self, target: str) -> int:
        """Return the number of requests of this VM that are open at a target."""
        return self._work.open_requests(target)

    def all_open_requests(
        self, target: str, now_s: float, held_s: float = DEFAULT_HELD_S
    ) -> float:
        """Return the requests of all VMs that are probably open at a target.

        :param held_s: seconds for which a request is open.
        """
        return self._work.all_open_requests(target, now_s, held_s)

    def queued_tokens(self, target: str, rank: int) -> int:
        """Return the work that a target does before new requests of ``rank``."""
        return self._work.queued_tokens(target, rank)

    def call_s(
        self, target: str, service: str, open_calls: float, now_s: float
    ) -> float:
        """Return the seconds of a plain call at a target; 0 while unknown.

        :param open_calls: calls that are open there, this one included.
        """
        return self.capacity.call_s(target, service, open_calls, now_s)

    def takes_well(self, target: str, service: str, now_s: float) -> int | None:
        """Return the open requests that a target takes without slowing down.

        :returns: ``None`` while it is unknown.
        """
        return self.capacity.takes_well(target, service, now_s)

    def wait_s(self, target: str, service: str, tokens: float, now_s: float) -> float:
        """Return the seconds that a target takes for some work.

        :param tokens: work, in tokens to prefill.
        :returns: 0 while the speed is unknown.
        """
        open_requests = self.all_open_requests(target, now_s)
        return self.capacity.wait_s(target, service, tokens, now_s, open_requests)

    def tokens_s(self, service: str, now_s: float) -> float:
        """Return the tokens per second that a service's targets process; the median.

        :returns: 0 while the speed is unknown.
        """
        return self.capacity.service_tokens_s(service, now_s)

    def unproven(self, targets: Iterable[str]) -> set[str]:
        """Return the targets that have answered no entry VM while most others have.

        :param targets: names of a service's targets.
        """
        names = set(targets)
        unproven = {name for name in names if not self.capacity.is_proven(name)}
        return unproven if 2 * len(unproven) < len(names) else set()

    def tries_speed(self, target: str, service: str, rank: int, now_s: float) -> bool:
        """Return whether a prompt is to be sent although it seems to be too late.

        Prompts that are refused show no speed, so a wrong estimate would stand. One at
        a time goes to an idle target.

        :param rank: urgency of the prompt, 0 is the most urgent.
        """
        age_s = self.capacity.evidence_age_s(target, service, now_s)
        is_old = age_s is not None and age_s > SPEED_TTL_S
        return is_old and not self.queued_tokens(target, rank)

    def record_start(
        self,
        target: str,
        rank: int,
        tokens: int,
        now_s: float,
        silence_limit_s: float = 1.0,
        memory_tokens: int = 0,
    ) -> OpenRequest:
        """Record a request that is being sent to a target.

        :param rank: urgency, 0 is the most urgent.
        :param tokens: work of the request, in tokens to prefill.
        :param silence_limit_s: silence up to which the target is never suspect.
        :param memory_tokens: tokens of memory that the request takes.
        """
        request = self._work.record_start(
            target, rank, tokens, now_s, silence_limit_s, memory_tokens
        )
        self._silence.record_start(request)
        return request

    def record_response(self, request: OpenRequest, service: str, now_s: float) -> None:
        """Record the head of an answer, which shows that the prefill is done."""
        if not self._silence.pop(request):
            return
        self._silence.record_activity(request.target, now_s)
        self._work.record_response(request)
        waited_s = now_s - request.began_s
        if request.is_call:
            self._call_s[request.number] = waited_s
        else:
            self.capacity.record_prompt(
                request.target,
                service,
                request.queued_tokens,
                request.open_requests,
                waited_s,
                now_s,
            )

    def record_activity(self, target: str, now_s: float) -> None:
        """Record that data has arrived from a target."""
        self._silence.record_activity(target, now_s)

    def record_call(
        self, request: OpenRequest, service: str, failed: bool, now_s: float
    ) -> None:
        """Record the outcome of a plain call before its end.

        :param failed: whether its answer was a failure or a refusal.
        """
        took_s = self._call_s.pop(request.number, None)
        if took_s is not None:
            self.capacity.record_call(
                request.target, service, request.open_requests, took_s, failed, now_s
            )

    def record_end(self, request: OpenRequest) -> None:
        """Record the end of a request, answered or not."""
        self._call_s.pop(request.number, None)
        was_answered = not self._silence.pop(request)
        self._work.record_end(request, was_answered)

    def keep_only(self, incarnations: set[tuple[str, int]], now_s: float) -> None:
        """Forget what is known of all other incarnations of targets."""
        self._silence.keep_only({name for name, _ in incarnations})
        self.capacity.keep_only(incarnations, now_s)

    def is_suspect(self, target: str, service: str, now_s: float) -> bool:
        """Return whether a target is silent for longer than its work explains."""
        first = self._silence.first_unanswered(target)
        if first is None:
            return False
        expected_s = self.wait_s(target, service, first.queued_tokens, now_s)
        limit_s = max(first.silence_limit_s, SUSPECT_WAIT_FACTOR * expected_s)
        return self._silence.silent_s(first, now_s) > limit_s
