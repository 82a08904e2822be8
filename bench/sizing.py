"""What each role needs at the size that is asked for, from measured slopes."""

from typing import NamedTuple

from bench.slopes import Slope
from vanillabeam.claims import ClaimSettings
from vanillabeam.spread.core import LOCAL_FANOUT, REMOTE_FANOUT
from vanillabeam.tickets.machine import KEPT_TICKETS

__all__ = ["DRIVERS", "Driver", "Need", "Size", "make_size"]

DAY_S = 86_400.0
NODES = 340
DATA_CENTRES = 5
TARGETS = 770
REQUESTS_S = 9_400.0
TOKENS_S = 2_400_000.0
WORKSPACES = 35_000
PROMPTS = 320_000
TICKETS_DAY = 810
LOSSES_DAY = 11
RESTARTS_DAY = 390
CONTROL_MEMBERS = 5
TICKET_BYTES = 1_000
BLOCKS_OF_A_PROMPT = 8
STORES = 10
CLAIMED_SHARE = 0.01


class Driver(NamedTuple):
    """A size of the fleet, and whether it was given or assumed here."""

    name: str
    value: float
    source: str


DRIVERS = (
    Driver("nodes", NODES, "asked"),
    Driver("VMs of a data centre", NODES / DATA_CENTRES, "nodes / data centres"),
    Driver("targets owned by an entry", TARGETS / NODES, "targets / nodes"),
    Driver("requests a second, entry", REQUESTS_S / NODES, "requests / nodes"),
    Driver("tokens a second, entry", TOKENS_S / NODES, "tokens / nodes"),
    Driver("workspaces", WORKSPACES, "asked"),
    Driver("tickets a day", TICKETS_DAY, "asked"),
    Driver("bytes of a ticket", TICKET_BYTES, "assumed"),
    Driver("control members", CONTROL_MEMBERS, "five disks"),
    Driver("blocks of a returning prompt", BLOCKS_OF_A_PROMPT, "assumed"),
    Driver("store VMs", STORES, "assumed, two in a data centre"),
    Driver("share of requests with a claim", CLAIMED_SHARE, "assumed"),
)


class Need(NamedTuple):
    """What one mechanism needs on one VM.

    :param part: ``control`` counts against the limits for control; ``work``
        is what serving itself costs.
    :param bytes_s: sent and received, with HTTP.
    :param cores: share of a core.
    :param memory: bytes of state.
    """

    role: str
    mechanism: str
    part: str
    bytes_s: float = 0.0
    cores: float = 0.0
    memory: float = 0.0


class Size:
    """Lines by mechanism and quantity, and what follows from them."""

    def __init__(self, slopes: list[Slope]):
        self.lines = {(each.mechanism, each.quantity): each.line for each in slopes}

    def at(self, mechanism: str, quantity: str, size: float) -> float:
        """Return a quantity at ``size``, by its line; never below nothing."""
        return max(0.0, self.lines[mechanism, quantity].at(size))

    def slope(self, mechanism: str, quantity: str) -> float:
        """Return what one more of the driver adds."""
        return self.lines[mechanism, quantity].slope

    @property
    def call_bytes(self) -> float:
        """Bytes that HTTP adds to a call, both ways."""
        return self.slope("peer calls, both ends", "wire_bytes")

    @property
    def call_cores(self) -> float:
        """Seconds of processor time that one end of a call takes."""
        return self.slope("peer calls, both ends", "cpu_s") / 2

    def calls(
        self,
        role: str,
        name: str,
        part: str,
        calls_s: float,
        body_s: float,
        core: float,
    ) -> Need:
        """Return the need of calls between VMs, HTTP included."""
        bytes_s = body_s + calls_s * self.call_bytes
        return Need(role, name, part, bytes_s, core + calls_s * self.call_cores)


def make_size(slopes: list[Slope]) -> list[Need]:
    """Return every need of every role."""
    size = Size(slopes)
    return [*_entry(size), *_control(size), *_shard(size), *_store(size)]


def _entry(size: Size) -> list[Need]:
    vms = NODES / DATA_CENTRES
    rate = REQUESTS_S / NODES
    members, rest, permits = "membership", "targets at rest", "permits"
    tickets_s = TICKETS_DAY / DAY_S
    pushes = 1 + LOCAL_FANOUT + REMOTE_FANOUT
    return [
        size.calls(
            "entry",
            "membership: heartbeats, deltas, digests",
            "control",
            size.at(members, "calls_per_s", vms),
            size.at(members, "body_bytes_per_s", vms),
            size.at(members, "core_cpu_s_per_s", vms),
        )._replace(memory=size.at(members, "state_bytes", vms)),
        size.calls(
            "entry",
            "ticket steps: pushes and their passing on",
            "control",
            pushes * tickets_s,
            pushes * tickets_s * TICKET_BYTES,
            size.at("ticket machine", "apply_cpu_s", WORKSPACES) * tickets_s,
        ),
        size.calls(
            "entry",
            "views of the data centre's targets",
            "control",
            size.at(rest, "calls_per_s", vms),
            size.at(rest, "body_bytes_per_s", vms),
            size.at(rest, "core_cpu_s_per_s", vms),
        ),
        size.calls(
            "entry, owner part",
            "announcements and loads of owned targets",
            "control",
            size.at(rest, "target_calls_per_s", vms),
            size.at(rest, "target_body_bytes_per_s", vms),
            0.0,
        )._replace(memory=size.at("owned targets", "state_bytes", TARGETS / NODES)),
        size.calls(
            "entry, owner part",
            "permits: ask, renew, release",
            "work",
            size.at(permits, "calls_per_s", rate),
            size.at(permits, "body_bytes_per_s", rate),
            size.at(permits, "core_cpu_s_per_s", rate),
        ),
        Need(
            "entry",
            "whole VM at rest with full copy of the workspaces",
            "memory",
            memory=size.at("whole VM, at rest", "memory_bytes", WORKSPACES),
        ),
        Need(
            "entry",
            "prompts, without their tokens",
            "work",
            cores=size.at("whole VM, prompts", "cpu_s_per_s", rate),
        ),
        Need(
            "entry",
            "streams",
            "work",
            cores=size.at("whole VM, streams", "cpu_s_per_s", TOKENS_S / NODES),
        ),
        Need(
            "entry",
            "service-level burn and metrics",
            "work",
            cores=rate
            * (
                size.slope("burn records", "cpu_s")
                + size.slope("metrics, two a request", "cpu_s")
            ),
            memory=size.at("burn rows", "state_bytes", WORKSPACES),
        ),
    ]


def _control(size: Size) -> list[Need]:
    rest = "log group at rest"
    machine = size.at("ticket machine", "state_bytes", WORKSPACES)
    kept = size.slope("remembered tickets", "state_bytes") * KEPT_TICKETS
    return [
        size.calls(
            "control",
            "ticket log at rest, leader",
            "control",
            size.at(rest, "leader_calls_per_s", CONTROL_MEMBERS),
            size.at(rest, "leader_bytes_per_s", CONTROL_MEMBERS),
            size.at(rest, "group_cpu_s_per_s", CONTROL_MEMBERS) / CONTROL_MEMBERS,
        ),
        Need("control", "ticket machine", "memory", memory=machine),
        Need("control", "numbers of old tickets", "memory", memory=kept),
    ]


def _shard(size: Size) -> list[Need]:
    log = "log group of five"
    kept = ClaimSettings().max_records
    # A claim is two entries: the grant and the outcome.
    entries_s = 2 * kept / ClaimSettings().retention_s
    memory = size.at("claims of a shard", "state_bytes", kept)
    return [
        size.calls(
            "log shard",
            "claims at the rate that its keys allow, leader",
            "control",
            size.at(log, "leader_calls_per_s", entries_s),
            size.at(log, "leader_bytes_per_s", entries_s),
            size.at(log, "group_cpu_s_per_s", entries_s) / CONTROL_MEMBERS,
        ),
        Need("log shard", "keys, at their bound", "memory", memory=memory),
    ]


def _store(size: Size) -> list[Need]:
    blocks = PROMPTS * BLOCKS_OF_A_PROMPT / STORES
    index = size.at("blocks of a store", "state_bytes", blocks)
    return [Need("store", "index of the blocks", "memory", memory=index)]
