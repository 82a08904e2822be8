"""Load of each target, and the speed at which it is processed."""

from vanillabeam.fleet import Target
from vanillabeam.fleet.loads import EntryLoad, add_loads
from vanillabeam.forwarding.choosing.observations import Observations
from vanillabeam.forwarding.choosing.openwork import (
    OpenRequest,
    OpenWork,
    UnreportedLoad,
)
from vanillabeam.forwarding.choosing.peerwork import PeerWork
from vanillabeam.forwarding.choosing.silence import Silence

__all__ = ["Load", "OpenRequest", "UnreportedLoad"]

#: Fewest queued tokens of a request whose wait updates the estimated speed.
MIN_SAMPLE_TOKENS = 4_000
#: Seconds without such a wait after which a prompt may test the estimated speed.
SPEED_TTL_S = 10.0
#: Weight of one wait in the moving average of the speed.
RATE_SMOOTHING = 0.05
#: Multiple of the expected wait after which a silent target is suspect.
SUSPECT_WAIT_FACTOR = 3.0


class Load:
    """Load of targets by this entry VM and, as last reported, by the others.

    :ivar observed: recent outcomes of requests, of all entry VMs.

    >>> load = Load()
    >>> opened = load.record_start("t-1", rank=2, tokens=900, now_s=1.0)
    >>> load.queued_tokens("t-1", rank=2)
    900
    >>> load.record_response(opened, "llm", now_s=1.1)
    >>> load.record_end(opened)
    """

    def __init__(self):
        self.observed = Observations()
        self._work = OpenWork()
        self._silence = Silence()
        self._rates: dict[str, float] = {}
        self._rated_s: dict[str, float] = {}
        self.used_memory_tokens = self._work.used_memory_tokens
        self.unreported_load = self._work.unreported_load
        self.open_requests = self._work.open_requests
        self.all_open_requests = self._work.all_open_requests
        self.queued_tokens = self._work.queued_tokens
        self.open_work = self._work.own
        self.record_activity = self._silence.record_activity

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
        return add_loads(self._work.own(), self.observed.own(now_s))

    def update_others(self, load: EntryLoad, now_s: float) -> None:
        """Replace the reported load of all other entry VMs."""
        self._work.update_others(load, now_s)
        self.observed.update_others(load)

    def others_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the others' load arrived, ``None`` before."""
        seen_s = self._work.others_seen_s
        return None if seen_s is None else now_s - seen_s

    def wait_s(self, service: str, tokens: int) -> float:
        """Return the seconds that a service's target takes for some work.

        :param tokens: work, in tokens to prefill.
        :returns: 0 while the speed is unknown.
        """
        rate = self._rates.get(service)
        return tokens / rate if rate else 0.0

    def tokens_s(self, service: str) -> float:
        """Return the tokens per second that a service's targets process.

        :returns: 0 while the speed is unknown.
        """
        return self._rates.get(service, 0.0)

    def tries_speed(self, target: str, service: str, rank: int, now_s: float) -> bool:
        """Return whether a prompt is to be sent although it seems to be too late.

        Prompts that are refused show no speed, so a wrong estimate would stand. One at
        a time goes to an idle target.

        :param rank: urgency of the prompt, 0 is the most urgent.
        """
        rated_s = self._rated_s.get(service)
        is_old = rated_s is not None and now_s - rated_s > SPEED_TTL_S
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
        self._update_rate(service, request, now_s)

    def record_end(self, request: OpenRequest) -> None:
        """Record the end of a request, answered or not."""
        was_answered = not self._silence.pop(request)
        self._work.record_end(request, was_answered)

    def keep_only(self, targets: set[str]) -> None:
        """Forget when all other targets last sent data."""
        self._silence.keep_only(targets)

    def call_s(self, target: str, service: str, open_calls: int, now_s: float) -> float:
        """Return the seconds of a plain call at a target.

        :param open_calls: calls that are open there, this one included.
        :returns: 0 while it is unknown.
        """
        return 0.0

    def takes_well(self, target: str, service: str, now_s: float) -> int | None:
        """Return the open requests that a target takes without slowing down.

        :returns: ``None`` while it is unknown.
        """
        return None

    def is_suspect(self, target: str, service: str, now_s: float) -> bool:
        """Return whether a target is silent for longer than its work explains."""
        first = self._silence.first_unanswered(target)
        if first is None:
            return False
        expected_s = SUSPECT_WAIT_FACTOR * self.wait_s(service, first.queued_tokens)
        limit_s = max(first.silence_limit_s, expected_s)
        return self._silence.silent_s(first, now_s) > limit_s

    def _update_rate(self, service: str, request: OpenRequest, now_s: float) -> None:
        waited_s = now_s - request.began_s
        if request.queued_tokens < MIN_SAMPLE_TOKENS or waited_s <= 0:
            return
        rate = request.queued_tokens / waited_s
        previous_rate = self._rates.get(service, rate)
        self._rates[service] = previous_rate + RATE_SMOOTHING * (rate - previous_rate)
        self._rated_s[service] = now_s
