"""Needs of each role at the required fleet size, estimated from measured slopes."""

from typing import NamedTuple

from bench.slopes import Slope
from vanillabeam.claims import ClaimSettings
from vanillabeam.spread.core import LOCAL_FANOUT, REMOTE_FANOUT
from vanillabeam.tickets.machine import KEPT_TICKETS

__all__ = ["DRIVERS", "CostModel", "Driver", "Need", "make_needs"]

DAY_S = 86_400.0
VMS = 340
DATA_CENTRES = 5
TARGETS = 770
REQUESTS_S = 9_400.0
TOKENS_S = 2_400_000.0
WORKSPACES = 35_000
PROMPTS = 320_000
TICKETS_PER_DAY = 810
LOSSES_PER_DAY = 11
RESTARTS_PER_DAY = 390
CONTROL_MEMBERS = 5
TICKET_BYTES = 1_000
BLOCKS_PER_PROMPT = 8
STORES = 10
CLAIMED_SHARE = 0.01


class Driver(NamedTuple):
    """Size of the fleet that drives costs.

    :param source: whether the value is required, assumed or computed, and from
        what.
    """

    name: str
    value: float
    source: str


DRIVERS = (
    Driver("nodes", VMS, "asked"),
    Driver("VMs of a data centre", VMS / DATA_CENTRES, "nodes / data centres"),
    Driver("targets owned by an entry", TARGETS / VMS, "targets / nodes"),
    Driver("requests a second, entry", REQUESTS_S / VMS, "requests / nodes"),
    Driver("tokens a second, entry", TOKENS_S / VMS, "tokens / nodes"),
    Driver("workspaces", WORKSPACES, "asked"),
    Driver("tickets a day", TICKETS_PER_DAY, "asked"),
    Driver("bytes of a ticket", TICKET_BYTES, "assumed"),
    Driver("control members", CONTROL_MEMBERS, "five disks"),
    Driver("blocks of a returning prompt", BLOCKS_PER_PROMPT, "assumed"),
    Driver("store VMs", STORES, "assumed, two in a data centre"),
    Driver("share of requests with a claim", CLAIMED_SHARE, "assumed"),
)


class Need(NamedTuple):
    """Resources that one mechanism needs on one VM.

    :param part: ``control`` for costs that count against the limits on control
        traffic, ``work`` for the costs of serving, ``memory`` for state.
    :param bytes_s: bytes per second sent and received, including HTTP headers.
    :param cores: share of a core.
    :param memory: bytes of state.
    """

    role: str
    mechanism: str
    part: str
    bytes_s: float = 0.0
    cores: float = 0.0
    memory: float = 0.0


class CostModel:
    """Estimates of costs from fitted lines.

    :param slopes: measured slopes of all mechanisms.
    :ivar lines: fitted lines by mechanism and quantity.
    """

    def __init__(self, slopes: list[Slope]):
        self.lines = {(each.mechanism, each.quantity): each.line for each in slopes}

    def at(self, mechanism: str, quantity: str, size: float) -> float:
        """Return the estimate of a quantity at ``size``, at least 0."""
        return max(0.0, self.lines[mechanism, quantity].at(size))

    def slope(self, mechanism: str, quantity: str) -> float:
        """Return the increase of a quantity per unit of its driver."""
        return self.lines[mechanism, quantity].slope

    @property
    def call_bytes(self) -> float:
        """Bytes that HTTP adds to a call, in both directions."""
        return self.slope("peer calls, both ends", "wire_bytes")

    @property
    def call_cores(self) -> float:
        """Seconds of processor time that one end of a call takes."""
        return self.slope("peer calls, both ends", "cpu_s") / 2

    def make_call_need(
        self,
        role: str,
        name: str,
        part: str,
        calls_s: float,
        body_s: float,
        core: float,
    ) -> Need:
        """Return the need of calls between VMs, including HTTP.

        :param calls_s: calls per second.
        :param body_s: bytes of bodies per second, in both directions.
        :param core: share of a core without HTTP.
        """
        bytes_s = body_s + calls_s * self.call_bytes
        return Need(role, name, part, bytes_s, core + calls_s * self.call_cores)


def make_needs(slopes: list[Slope]) -> list[Need]:
    """Return the needs of all roles."""
    model = CostModel(slopes)
    return [*_entry(model), *_control(model), *_shard(model), *_store(model)]


def _entry(model: CostModel) -> list[Need]:
    data_centre_vms = VMS / DATA_CENTRES
    requests_s = REQUESTS_S / VMS
    members, at_rest, permits = "membership", "targets at rest", "permits"
    tickets_s = TICKETS_PER_DAY / DAY_S
    pushes = 1 + LOCAL_FANOUT + REMOTE_FANOUT
    return [
        model.make_call_need(
            "entry",
            "membership: heartbeats, deltas, digests",
            "control",
            model.at(members, "calls_per_s", data_centre_vms),
            model.at(members, "body_bytes_per_s", data_centre_vms),
            model.at(members, "core_cpu_s_per_s", data_centre_vms),
        )._replace(memory=model.at(members, "state_bytes", data_centre_vms)),
        model.make_call_need(
            "entry",
            "ticket steps: pushes and their passing on",
            "control",
            pushes * tickets_s,
            pushes * tickets_s * TICKET_BYTES,
            model.at("ticket machine", "apply_cpu_s", WORKSPACES) * tickets_s,
        ),
        model.make_call_need(
            "entry",
            "views of the data centre's targets",
            "control",
            model.at(at_rest, "calls_per_s", data_centre_vms),
            model.at(at_rest, "body_bytes_per_s", data_centre_vms),
            model.at(at_rest, "core_cpu_s_per_s", data_centre_vms),
        ),
        model.make_call_need(
            "entry, owner part",
            "announcements and loads of owned targets",
            "control",
            model.at(at_rest, "target_calls_per_s", data_centre_vms),
            model.at(at_rest, "target_body_bytes_per_s", data_centre_vms),
            0.0,
        )._replace(memory=model.at("owned targets", "state_bytes", TARGETS / VMS)),
        model.make_call_need(
            "entry, owner part",
            "permits: ask, renew, release",
            "work",
            model.at(permits, "calls_per_s", requests_s),
            model.at(permits, "body_bytes_per_s", requests_s),
            model.at(permits, "core_cpu_s_per_s", requests_s),
        ),
        Need(
            "entry",
            "whole VM at rest with full copy of the workspaces",
            "memory",
            memory=model.at("whole VM, at rest", "memory_bytes", WORKSPACES),
        ),
        Need(
            "entry",
            "prompts, without their tokens",
            "work",
            cores=model.at("whole VM, prompts", "cpu_s_per_s", requests_s),
        ),
        Need(
            "entry",
            "streams",
            "work",
            cores=model.at("whole VM, streams", "cpu_s_per_s", TOKENS_S / VMS),
        ),
        Need(
            "entry",
            "service-level burn and metrics",
            "work",
            cores=requests_s
            * (
                model.slope("burn records", "cpu_s")
                + model.slope("metrics, two a request", "cpu_s")
            ),
            memory=model.at("burn rows", "state_bytes", WORKSPACES),
        ),
    ]


def _control(model: CostModel) -> list[Need]:
    at_rest = "log group at rest"
    machine = model.at("ticket machine", "state_bytes", WORKSPACES)
    kept = model.slope("remembered tickets", "state_bytes") * KEPT_TICKETS
    return [
        model.make_call_need(
            "control",
            "ticket log at rest, leader",
            "control",
            model.at(at_rest, "leader_calls_per_s", CONTROL_MEMBERS),
            model.at(at_rest, "leader_bytes_per_s", CONTROL_MEMBERS),
            model.at(at_rest, "group_cpu_s_per_s", CONTROL_MEMBERS) / CONTROL_MEMBERS,
        ),
        Need("control", "ticket machine", "memory", memory=machine),
        Need("control", "numbers of old tickets", "memory", memory=kept),
    ]


def _shard(model: CostModel) -> list[Need]:
    log = "log group of five"
    kept = ClaimSettings().max_records
    # A claim appends two log entries: the grant and the outcome.
    entries_s = 2 * kept / ClaimSettings().retention_s
    memory = model.at("claims of a shard", "state_bytes", kept)
    return [
        model.make_call_need(
            "log shard",
            "claims at the rate that its keys allow, leader",
            "control",
            model.at(log, "leader_calls_per_s", entries_s),
            model.at(log, "leader_bytes_per_s", entries_s),
            model.at(log, "group_cpu_s_per_s", entries_s) / CONTROL_MEMBERS,
        ),
        Need("log shard", "keys, at their bound", "memory", memory=memory),
    ]


def _store(model: CostModel) -> list[Need]:
    blocks = PROMPTS * BLOCKS_PER_PROMPT / STORES
    index = model.at("blocks of a store", "state_bytes", blocks)
    return [Need("store", "index of the blocks", "memory", memory=index)]
