"""Routing compared with baseline policies: first token, recompute, link use."""

import gc
import random
import time
from typing import Any, NamedTuple

import numpy as np
import trio
import trio.testing

from bench.routing_model import Engine, Prompt, Site, Store, make_prompts
from bench.routing_policies import Affinity, LeastLoaded, Product, RoundRobin
from bench.scheduling import seeded_scheduling
from vanillabeam.config import Priority
from vanillabeam.routing import CostWeights, Router
from vanillabeam.routing.records import RouteRequest, TargetView

__all__ = ["run"]

DURATION_S = 120.0
LATE_AFTER_S = 10.0
DECISIONS = 2000

ICUPA = Site(
    name="icupa",
    engines=(3, 2, 2, 2),
    services=(1, 1, 1, 1),
    one_way_s=0.0005,
    link_bytes_s=4e9,
    token_bytes=100_000.0,
    prefill_tokens_s=16_000.0,
    decode_tokens_s=60.0,
    capacity=8,
    cold_capacity=2,
    cache_blocks=96,
    initial_blocks=(1, 4),
    batch_blocks=(12, 20),
    output_tokens=(40, 120),
    workspaces=10,
    rate_s=18.0,
    batch_rate_s=1.6,
)
PAMPLEMOUSSES = Site(
    name="pamplemousses",
    engines=(2, 2, 1, 1),
    services=(1, 1, 1, 1),
    one_way_s=0.0015,
    link_bytes_s=2e8,
    token_bytes=20_000.0,
    prefill_tokens_s=12_000.0,
    decode_tokens_s=50.0,
    capacity=6,
    cold_capacity=2,
    cache_blocks=192,
    initial_blocks=(6, 14),
    batch_blocks=(16, 28),
    output_tokens=(80, 200),
    workspaces=10,
    rate_s=3.0,
    batch_rate_s=0.4,
)
WEIGHTS = {
    "icupa": CostWeights(token_bytes=100_000.0),
    "pamplemousses": CostWeights(
        recomputed_token_s=1e-4, link_byte_s=5e-10, token_bytes=20_000.0
    ),
}


class Scenario(NamedTuple):
    """Load of a simulation and the faults during it.

    :param load: interactive prompts relative to full load.
    :param batch_load: batch prompts relative to full load.
    :param cold_s: time at which an engine turns cold without announcing it.
    :param outage_s: times at which a data centre goes out of service and returns.
    :param duration_s: time during which prompts arrive.
    """

    load: float
    batch_load: float = 0.0
    cold_s: float | None = None
    outage_s: tuple[float, float] | None = None
    duration_s: float = DURATION_S


SCENARIOS = {
    "idle": Scenario(0.15),
    "load-70": Scenario(0.7),
    "load-120": Scenario(1.2),
    "night": Scenario(0.4, batch_load=1.0),
    "gone-cold": Scenario(0.6, cold_s=40.0),
    "dc-move": Scenario(0.6, outage_s=(40.0, 80.0)),
}
POLICIES = {
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "affinity": Affinity,
    "product": Product,
}


def run(seed: int) -> dict[str, Any]:
    """Measure every policy in every scenario, and the rate of decisions."""
    figures: dict[str, Any] = {}
    for site in (ICUPA, PAMPLEMOUSSES):
        for name, scenario in SCENARIOS.items():
            for policy in POLICIES:
                key = f"{site.name}.{name}.{policy}"
                figures[key] = measure(site, scenario, policy, seed)
    figures["decisions"] = {str(n): measure_decisions_s(n, seed) for n in (13, 770)}
    return figures


def measure(site: Site, scenario: Scenario, policy: str, seed: int) -> dict[str, float]:
    """Return the figures of a policy in a scenario."""
    simulation = Simulation(site, scenario, policy, seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    with seeded_scheduling(seed):
        trio.run(simulation.main, clock=clock)
    return simulation.figures()


class Simulation:
    """Simulation of a policy in a scenario, on virtual time."""

    def __init__(self, site: Site, scenario: Scenario, policy: str, seed: int):
        self.site = site
        self.scenario = scenario
        self.store = Store()
        self.engines = [
            Engine(f"{kind}{dc}{n}", f"dc{dc}", site, self.store)
            for kind, numbers in (("m", site.engines), ("s", site.services))
            for dc, number in enumerate(numbers)
            for n in range(number)
        ]
        arguments = [self.engines, site, self.store, seed]
        if policy == "product":
            arguments.append(WEIGHTS[site.name])
        self.policy = POLICIES[policy](*arguments)
        self.prompts = make_prompts(
            site, seed, scenario.duration_s, scenario.load, scenario.batch_load
        )
        self.first_token_times: dict[Priority, list[float]] = {p: [] for p in Priority}
        self.submitted = dict.fromkeys(Priority, 0)
        self.tokens = self.recomputed = 0

    async def main(self) -> None:
        """Start the policy, then run all prompts to completion."""
        async with trio.open_nursery() as background:
            await self.policy.start(background)
            background.start_soon(self._inject_faults, trio.current_time())
            began_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                for prompt in self.prompts:
                    await trio.sleep_until(began_s + prompt.at_s)
                    nursery.start_soon(self._run_prompt, prompt)
            background.cancel_scope.cancel()

    async def _run_prompt(self, prompt: Prompt) -> None:
        submitted_s = trio.current_time()
        model = not prompt.service
        self.submitted[prompt.priority] += model
        placement = await self.policy.place(prompt)
        if placement is None:
            return
        sent_s = trio.current_time()
        first_token_times: list[float] = []
        run_stats = await placement.engine.run(
            prompt,
            placement.import_tokens,
            lambda: first_token_times.append(trio.current_time()),
        )
        self.policy.record_end(placement, first_token_times[0] - sent_s, run_stats)
        if model:
            self.first_token_times[prompt.priority].append(
                first_token_times[0] - submitted_s
            )
            self.tokens += run_stats.tokens
            self.recomputed += run_stats.recomputed

    async def _inject_faults(self, began_s: float) -> None:
        if self.scenario.cold_s is not None:
            await trio.sleep_until(began_s + self.scenario.cold_s)
            self.engines[0].go_cold(restart=False)
        if self.scenario.outage_s is not None:
            outage_s, back_s = self.scenario.outage_s
            await trio.sleep_until(began_s + outage_s)
            self.policy.set_outage("dc0")
            await trio.sleep_until(began_s + back_s)
            for engine in self.engines:
                if engine.data_centre == "dc0":
                    engine.go_cold(restart=True)
            self.policy.set_outage(None)

    def figures(self) -> dict[str, float]:
        """Return times to first token in seconds, shares and counts."""
        interactive = self.first_token_times[Priority.INTERACTIVE]
        submitted = self.submitted[Priority.INTERACTIVE]
        p50, p95, p99 = np.percentile(interactive, [50, 95, 99]).tolist()
        in_time = sum(first_s <= LATE_AFTER_S for first_s in interactive)
        return {
            "first_p50_s": p50,
            "first_p95_s": p95,
            "first_p99_s": p99,
            "refused_or_late_share": 1 - in_time / submitted,
            "refused_share": 1 - len(interactive) / submitted,
            "recomputed_share": self.recomputed / max(1, self.tokens),
            "link_gb": self.store.link_bytes / 1e9,
            "batch_served": len(self.first_token_times[Priority.BATCH]),
        }


def measure_decisions_s(targets: int, seed: int) -> float:
    """Return routing decisions per second of an entry.

    :param targets: number of targets that the entry chooses from.
    """
    rng = random.Random(seed)
    router = Router("dc0", CostWeights(), rng)
    for number in range(targets):
        router.update(_view(number, rng))
    requests = [_request(n, rng) for n in range(DECISIONS)]
    gc.collect()
    began_s = time.perf_counter()
    for number, request in enumerate(requests):
        choice = router.choose(request, (), number * 0.001)[0]
        router.placements.record(choice.view.target, request.blocks)
    return DECISIONS / (time.perf_counter() - began_s)


def _view(number: int, rng: random.Random) -> TargetView:
    return TargetView(
        target=f"engine-{number}",
        boot_id="b1",
        address=f"10.0.0.{number}:80",
        data_centre=f"dc{number % 5}",
        owner="e1",
        epoch=1,
        models={"m": "v"},
        adapters={},
        service="",
        limit=8,
        in_use=rng.randrange(8),
        queued=0,
        run_s=4.0,
        pending_tokens=rng.randrange(8000),
        prefill_tokens_s=16_000.0,
        link_bytes_s=0.0,
        open=True,
        cold=False,
    )


def _request(number: int, rng: random.Random) -> RouteRequest:
    root = f"c{rng.randrange(500)}"
    return RouteRequest(
        request_id=str(number),
        workspace="w",
        model="m",
        version="v",
        prompt_tokens=16_000,
        blocks=tuple(f"{root}/{n}" for n in range(4)),
        conversation_root=root,
    )
