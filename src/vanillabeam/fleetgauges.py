"""Gauges of a fleet VM that are read from its parts."""

from typing import TYPE_CHECKING

import trio

from vanillabeam.counters import Counters
from vanillabeam.fleet import Follower
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.notices import Incarnation

if TYPE_CHECKING:
    from vanillabeam.fleet.control import FleetControl

__all__ = [
    "add_control_gauges",
    "add_entry_gauges",
    "add_membership_gauges",
    "add_notice_gauges",
    "add_weights_gauges",
]

#: Value of ``log_losses_left`` on a VM that doesn't lead the log.
NOT_LEADER = -1


def add_entry_gauges(
    counters: Counters, follower: Follower, lifecycle: Lifecycle
) -> None:
    """Add the gauges of an entry VM's state and requests."""
    add_gauge = counters.add_gauge
    add_gauge("state_index", "Fleet state in force.", lambda: follower.view.index)
    add_gauge(
        "deployment_number",
        "Deployment in force.",
        lambda: follower.view.deployment.number,
    )
    _add_target_gauges(counters, follower)
    add_gauge(
        "quarantined_parts",
        "Parts of prompts that are kept from targets.",
        lambda: len(follower.view.quarantine),
    )
    add_gauge("news_age_seconds", "Age of the newest control news.", follower.age_s)
    add_gauge(
        "watch_reply_bytes",
        "Bytes of whole replies of control VMs since the start.",
        lambda: follower.reply_bytes,
    )
    add_gauge(
        "watch_unanswered",
        "Watch requests without a whole reply in time since the start.",
        lambda: follower.unanswered,
    )
    add_gauge(
        "document_bytes",
        "Bytes of replies with pieces of deployments since the start.",
        lambda: follower.documents.received_bytes,
    )
    add_gauge(
        "document_waiting_seconds",
        "Seconds for which a newer deployment has been fetched; 0 for none.",
        lambda: follower.documents.waiting_s(trio.current_time()),
    )
    add_gauge(
        "open_requests",
        "Requests without a whole answer.",
        lambda: lifecycle.open_requests,
    )


def _add_target_gauges(counters: Counters, follower: Follower) -> None:
    add_gauge = counters.add_gauge
    add_gauge(
        "targets",
        "Targets that are known.",
        lambda: len(follower.directory.records),
    )
    add_gauge(
        "unlisted_targets",
        "Targets that control VMs hear and this VM doesn't list.",
        lambda: follower.targets.unlisted_count(trio.current_time()),
    )


def add_notice_gauges(counters: Counters, follower: Follower, chooser: Chooser) -> None:
    """Add the gauges of what targets have asked of an entry VM."""

    def known() -> set[Incarnation]:
        records = follower.directory.records.values()
        return {record.target.incarnation for record in records}

    counters.add_gauge(
        "leaving_targets",
        "Known targets that told this VM that they leave.",
        lambda: len(chooser.notices.leaving(known())),
    )
    counters.add_gauge(
        "paused_targets",
        "Known targets that asked this VM for a pause that runs.",
        lambda: len(chooser.notices.paused(known(), trio.current_time())),
    )
    counters.add_gauges(
        "target_limit",
        "Requests a second that a target takes from all VMs together.",
        ("target",),
        lambda: {
            (name,): rate_s
            for (name, _), rate_s in chooser.rates.limits.limited(
                trio.current_time()
            ).items()
        },
    )


def add_control_gauges(
    counters: Counters, control: "FleetControl", has_entry: bool
) -> None:
    """Add the gauges of a control VM.

    :param has_entry: whether it is an entry VM too, with gauges of its own.
    """
    from vanillabeam.canary.gauges import add_rollout_gauges

    add_gauge = counters.add_gauge
    add_gauge("log_term", "Term of the fleet log.", lambda: control.node.term)
    add_gauge("log_applied", "Index applied.", lambda: control.node.applied)
    add_gauge("log_leads", "Whether this VM leads.", lambda: control.node.is_leader)
    add_gauge(
        "document_sent_bytes",
        "Bytes of pieces of deployments sent since the start.",
        lambda: control.documents.sent_bytes,
    )
    add_membership_gauges(counters, control)
    counters.add_gauges(
        "granted_permits",
        "Permits of the last 4 s by target that names a limit.",
        ("target",),
        control.permits.granted,
    )
    add_gauge("kept_parts", "Parts that stores keep.", control.stores.index.count)
    if not has_entry:
        _add_target_gauges(counters, control.follower)
    add_weights_gauges(counters, control)
    if control.rollouts.is_enabled:
        add_rollout_gauges(counters.add_gauges, control.rollouts)


def add_membership_gauges(counters: Counters, control: "FleetControl") -> None:
    """Add the gauges of the fleet log's members."""

    def losses_left() -> int:
        left = control.node.status()["losses_left"]
        return NOT_LEADER if left is None else left

    def count(votes: bool) -> int:
        members = control.node.status()["members"]
        return sum(1 for member in members if member["votes"] is votes)

    def silent_voters() -> int:
        members = control.node.status()["members"]
        return sum(1 for m in members if m["votes"] and m["active"] is False)

    add_gauge = counters.add_gauge
    add_gauge(
        "log_losses_left",
        "Voters that may still be lost, by the leader; -1 elsewhere.",
        losses_left,
    )
    add_gauge("log_voters", "Voters of the fleet log.", lambda: count(votes=True))
    add_gauge("log_learners", "Learners of the fleet log.", lambda: count(votes=False))
    add_gauge(
        "log_silent_voters",
        "Voters that don't answer the leader; 0 elsewhere.",
        silent_voters,
    )
    add_gauge(
        "log_leaderless_seconds",
        "Time for which this VM's replica has had no leader.",
        lambda: control.node.leaderless_s,
    )


def add_weights_gauges(counters: Counters, control: "FleetControl") -> None:
    """Add the gauges of the rollout of new weights."""
    from vanillabeam.fleet.heldweights import count_behind, count_versions

    def versions() -> list[dict[str, int]]:
        records = control.follower.directory.records.values()
        return [record.target.versions for record in records]

    def behind() -> dict[tuple[str], float]:
        counts = count_behind(versions(), control.machine.state["weights"])
        return {(model,): count for model, count in counts.items()}

    def ages_s() -> dict[tuple[str], float]:
        ages_s = control.weight_ages_s(trio.current_time())
        return {(model,): age_s for model, age_s in ages_s.items()}

    add_gauges = counters.add_gauges
    add_gauges("targets_behind", "Targets on older weights.", ("model",), behind)
    add_gauges(
        "weights_age_seconds",
        "Age of the newest version that was named.",
        ("model",),
        ages_s,
    )
    add_gauges(
        "weights_targets",
        "Targets by version of their weights.",
        ("model", "version"),
        lambda: count_versions(versions()),
    )
