"""Costs of service-level burn and of metrics."""

from bench.arrivals import skewed_workspaces
from bench.cost import cpu_seconds, held_bytes
from bench.mechanisms.base import Mechanism
from vanillabeam.burn import BurnCounter, Objectives, Outcome
from vanillabeam.metrics import Counter, Metrics, Timer
from vanillabeam.wire import encode

__all__ = ["MECHANISMS"]

WORKSPACES = (100, 1_000, 10_000, 35_000)
REQUESTS = (2_000, 5_000, 10_000, 20_000)
SKEW = 0.9
ROW_REQUESTS = 6_000
DAYS_S = 3 * 86_400.0
#: Nothing listens there: the datagrams are sent and lost.
CLOSED_PORT = 9


def _burn_of(workspaces: int, requests: int, seed: int) -> BurnCounter:
    burn = BurnCounter(Objectives(), vm="entry-001")
    owners = skewed_workspaces(seed, requests, workspaces, SKEW)
    step_s = DAYS_S / requests
    for number, owner in enumerate(owners):
        first_token_s = 0.05 + (number * 7919 % 1000) / 500
        _record(burn, number * step_s, f"workspace-{owner:05d}", first_token_s)
    return burn


def _record(
    burn: BurnCounter, now_s: float, workspace: str, first_token_s: float
) -> None:
    gap_s = 0.01 + first_token_s / 60
    burn.record(
        now_s,
        workspace,
        "kigali-1",
        first_token_s,
        gap_s,
        Outcome.COMPLETED,
        9_000,
        400,
    )


def _workspaces(size: int, seed: int) -> dict[str, float]:
    requests = ROW_REQUESTS
    burn = _burn_of(size, requests, seed)
    return {
        "state_bytes": held_bytes(lambda: _burn_of(size, requests, seed)),
        "summary_bytes": len(encode(burn.summary(DAYS_S))),
        "summary_cpu_s": cpu_seconds(lambda: burn.summary(DAYS_S)),
    }


def _requests(size: int, seed: int) -> dict[str, float]:
    owners = skewed_workspaces(seed, size, 35_000, SKEW)
    names = [f"workspace-{owner:05d}" for owner in owners]

    def record_all() -> None:
        burn = BurnCounter(Objectives(), vm="entry-001")
        for number, name in enumerate(names):
            _record(burn, number / 28, name, 0.4)

    return {"cpu_s": cpu_seconds(record_all)}


def _metrics(size: int, seed: int) -> dict[str, float]:
    metrics = Metrics("127.0.0.1", CLOSED_PORT, "kigali-1", "entry-001")

    def send_all() -> None:
        for _ in range(size):
            metrics.count(Counter.REQUESTS, by="whole")
            metrics.time(Timer.FIRST_TOKEN, 0.4)

    cpu_s = cpu_seconds(send_all)
    metrics.close()
    return {"cpu_s": cpu_s}


MECHANISMS = (
    Mechanism("burn rows", "workspaces", WORKSPACES, _workspaces),
    Mechanism("burn records", "requests", REQUESTS, _requests),
    Mechanism("metrics, two a request", "requests", REQUESTS, _metrics),
)
