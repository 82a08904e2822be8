"""Ways in which many VMs keep a target's limit of requests a second together."""

import random
from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

from vanillabeam.fleet.permits import PermitAsk, PermitGranter
from vanillabeam.rendezvous import rank

__all__ = ["POLICIES", "SCENES", "Fleet", "Scene", "run", "simulate"]

WINDOW_S = 4.0
DURATION_S = 60.0
#: Period of the polls that carry sums and batches, and the age of what they bring.
POLL_S = 0.25
POLL_AGE_S = 0.1
#: Seconds within which VMs learn at different times of a change of the fleet.
VIEW_LAG_S = 1.0
#: Seconds from which to which the disturbance of a scene lasts.
DISTURBED_S = (20.0, 30.0)
BURST_PERIOD_S = 4.0
BURST_SHARE = 0.25
#: Life of a permit of a batch.
BATCH_LIFE_S = 1.0
TARGET = "t-1"


class Scene(NamedTuple):
    """Arrivals and what happens.

    :param demand: requests that choose the target, relative to its limit.
    :param event: what happens from :data:`DISTURBED_S` on: ``grow`` (a third more
        VMs), ``kill`` (the granter), ``cut`` (a quarter of the VMs have no control
        VM) or nothing.
    """

    arrivals: str = "even"
    demand: float = 2.0
    event: str = ""


SCENES = {
    "even": Scene(),
    "even, 1.1 of the limit": Scene(demand=1.1),
    "uneven": Scene("uneven"),
    "bursts": Scene("bursts"),
    "VMs are added": Scene(event="grow"),
    "granter is killed": Scene(event="kill"),
    "a data centre is cut off": Scene(event="cut"),
}


class Fleet(NamedTuple):
    """Entry VMs before one target with a limit."""

    vms: int
    limit_s: float


class Policy(Protocol):
    """A way to keep the limit.

    :ivar messages: messages between VMs.
    """

    messages: int

    def may_send(self, vm: int, now_s: float) -> bool:
        """Return whether a VM sends a request now."""


class View:
    """VMs that each VM knows, which change while a scene is played."""

    def __init__(self, fleet: Fleet, scene: Scene, rng: random.Random):
        self.fleet, self.scene = fleet, scene
        self.grown = fleet.vms + max(1, fleet.vms // 3)
        self.lag_s = [VIEW_LAG_S * rng.random() for _ in range(self.grown)]

    def count(self, vm: int, now_s: float) -> int:
        """Return how many VMs a VM knows."""
        if self.scene.event == "grow" and now_s >= DISTURBED_S[0] + self.lag_s[vm]:
            return self.grown
        return self.fleet.vms

    def running(self, now_s: float) -> int:
        """Return how many VMs there are."""
        has_grown = self.scene.event == "grow" and now_s >= DISTURBED_S[0]
        return self.grown if has_grown else self.fleet.vms

    def is_cut(self, vm: int, now_s: float) -> bool:
        """Return whether a VM reaches no control VM."""
        is_time = DISTURBED_S[0] <= now_s < DISTURBED_S[1]
        return self.scene.event == "cut" and is_time and vm % 4 == 0


class Shares:
    """Each VM keeps an equal share."""

    def __init__(self, view: View, rng: random.Random):
        self.messages = 0
        self._view, self._rng = view, rng
        self._next_s: dict[int, float] = {}

    def may_send(self, vm: int, now_s: float) -> bool:
        """Space the VM's requests by its share; the first one comes at random."""
        interval_s = self._view.count(vm, now_s) / self._view.fleet.limit_s
        if vm not in self._next_s:
            self._next_s[vm] = now_s + interval_s * self._rng.random()
        if now_s < self._next_s[vm]:
            return False
        self._next_s[vm] = now_s + interval_s
        return True


class Subset:
    """A few VMs, chosen by rendezvous hashing, share the limit."""

    def __init__(self, view: View, rng: random.Random):
        self.messages = 0
        self._view = view
        self._next_s: dict[int, float] = {}
        self._chosen: dict[int, set[str]] = {}

    def may_send(self, vm: int, now_s: float) -> bool:
        """Space the requests of the VMs that were chosen."""
        limit_s, count = self._view.fleet.limit_s, self._view.count(vm, now_s)
        size = min(count, max(1, int(limit_s / 2)))
        if count not in self._chosen:
            names = [f"e-{number}" for number in range(count)]
            self._chosen[count] = set(rank(TARGET, names)[:size])
        if f"e-{vm}" not in self._chosen[count] or now_s < self._next_s.get(vm, 0.0):
            return False
        self._next_s[vm] = now_s + size / limit_s
        return True


class Sums:
    """Each VM compares the sum that it last heard with the limit."""

    def __init__(self, view: View, rng: random.Random):
        self.messages = 0
        self._view = view
        self._sent: deque[tuple[float, int]] = deque()
        self._heard_s: dict[int, float] = {}

    def may_send(self, vm: int, now_s: float) -> bool:
        """Count what others sent before the last poll, and all that this VM sent."""
        while self._sent and self._sent[0][0] < now_s - WINDOW_S:
            self._sent.popleft()
        heard_s = self._heard_s.get(vm, -1.0)
        if now_s - heard_s >= POLL_S and not self._view.is_cut(vm, now_s):
            self._heard_s[vm] = heard_s = now_s
            self.messages += 1
        known = sum(at <= heard_s - POLL_AGE_S or by == vm for at, by in self._sent)
        if known + 1 > WINDOW_S * self._view.fleet.limit_s:
            return False
        self._sent.append((now_s, vm))
        return True


class Batches:
    """A granter hands out permits with each poll; unused ones come back."""

    def __init__(self, view: View, rng: random.Random):
        self.messages = 0
        self._view = view
        self._tokens, self._filled_s = 0.0, 0.0
        self._held: dict[int, list[float]] = {}
        self._polled_s: dict[int, float] = {}

    def may_send(self, vm: int, now_s: float) -> bool:
        """Use a permit that the last polls brought."""
        self._poll(vm, now_s)
        held = [until_s for until_s in self._held.get(vm, []) if until_s > now_s]
        self._held[vm] = held
        if not held:
            return False
        held.pop(0)
        return True

    def _poll(self, vm: int, now_s: float) -> None:
        if now_s - self._polled_s.get(vm, -1.0) < POLL_S or self._view.is_cut(
            vm, now_s
        ):
            return
        limit_s = self._view.fleet.limit_s
        self._polled_s[vm] = now_s
        self.messages += 1
        came = (now_s - self._filled_s) * limit_s
        self._tokens = min(self._tokens + came, 1.0 + limit_s / 2)
        self._filled_s = now_s
        fair = max(1, int(limit_s / self._view.running(now_s)))
        while self._tokens >= 1.0 and len(self._held.setdefault(vm, [])) < fair:
            self._tokens -= 1.0
            self._held[vm].append(now_s + BATCH_LIFE_S)


class Permits:
    """One control VM is asked for each request; the core is the product's."""

    def __init__(self, view: View, rng: random.Random):
        self.messages = 0
        self._view = view
        self._granters = [PermitGranter("0"), PermitGranter("1")]
        self._until_s: dict[int, float] = {}
        self._used: dict[int, int] = {}
        self._fallback = Shares(view, rng)

    def may_send(self, vm: int, now_s: float) -> bool:
        """Ask the granter unless the last answer said to wait."""
        if self._view.is_cut(vm, now_s):
            return self._fallback.may_send(vm, now_s)
        if now_s < self._until_s.get(vm, 0.0):
            return False
        number = self._granter(vm, now_s)
        if number is None:
            return False
        ask = self._ask(vm, str(self._used.get(vm, "")))
        self.messages += 1
        granter, limit_s = self._granters[number], self._view.fleet.limit_s
        reply = granter.grant(ask, limit_s, now_s)
        if reply["granted"]:
            self._used[vm] = number
        else:
            self._until_s[vm] = now_s + reply["wait_s"]
        return reply["granted"]

    def _granter(self, vm: int, now_s: float) -> int | None:
        """Return the granter that a VM asks; ``None`` if that one gives no answer."""
        since_s = now_s - DISTURBED_S[0]
        if self._view.scene.event != "kill" or since_s < 0.0:
            return 0
        if since_s >= self._view.lag_s[vm]:
            return 1
        self.messages += 1
        return None

    def _ask(self, vm: int, previous: str) -> PermitAsk:
        return PermitAsk(
            vm=f"e-{vm}",
            target=TARGET,
            born_ms=1,
            rate_s=self._view.fleet.limit_s,
            rank=0,
            workspace="",
            waited_s=0.0,
            patience_s=0.0,
            previous=previous,
        )


POLICIES = {
    "shares": Shares,
    "subset": Subset,
    "sums": Sums,
    "batches": Batches,
    "permits": Permits,
}


def arrivals(fleet: Fleet, scene: Scene, rng: random.Random) -> Iterable[float]:
    """Yield the times at which requests choose the target."""
    rate_s, at_s = scene.demand * fleet.limit_s, 0.0
    while True:
        at_s += rng.expovariate(rate_s)
        if at_s >= DURATION_S:
            return
        if scene.arrivals == "bursts":
            periods, within = divmod(at_s, BURST_PERIOD_S)
            yield BURST_PERIOD_S * periods + BURST_SHARE * within
        else:
            yield at_s


def pick_vm(view: View, scene: Scene, now_s: float, rng: random.Random) -> int:
    """Return the VM that a request comes to: a tenth of them get most if uneven."""
    running = view.running(now_s)
    if scene.arrivals == "uneven" and rng.random() < 0.8:
        return rng.randrange(max(1, running // 10))
    return rng.randrange(running)


def simulate(policy: str, fleet: Fleet, scene: Scene, seed: int) -> dict[str, float]:
    """Return the figures of a policy.

    :returns: requests in the worst 4 s, relative to what the limit allows in 4 s, by
        number too; the share of the limit that was used; messages a second.
    """
    rng = random.Random(seed)
    view = View(fleet, scene, rng)
    keeper = POLICIES[policy](view, rng)
    sent = []
    for now_s in arrivals(fleet, scene, rng):
        if keeper.may_send(pick_vm(view, scene, now_s, rng), now_s):
            sent.append(now_s)
    worst = most_in_window(sent)
    return {
        "worst": round(worst / (WINDOW_S * fleet.limit_s), 2),
        "worst_count": worst,
        "used": round(len(sent) / (DURATION_S * fleet.limit_s), 3),
        "messages_s": round(keeper.messages / DURATION_S, 2),
    }


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times within some 4 s."""
    window, most = deque(), 0
    for at_s in times:
        window.append(at_s)
        while window[0] <= at_s - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


def run(seed: int) -> dict[str, Any]:
    """Compare the policies at limits and sizes, in each scene."""
    return {
        f"{limit_s:g}/s, {vms} VMs, {name}": {
            policy: simulate(policy, Fleet(vms, limit_s), scene, seed)
            for policy in POLICIES
        }
        for limit_s in (0.3, 2.0, 50.0)
        for vms in (1, 9, 60, 340)
        for name, scene in SCENES.items()
    }
