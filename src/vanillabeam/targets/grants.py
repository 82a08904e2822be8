"""State of an owned target: permits, window, queue and estimates."""

import math
import random
from collections import deque
from typing import NamedTuple

from vanillabeam.admission import FairQueue, Shares
from vanillabeam.blocks import BLOCK_TOKENS
from vanillabeam.config import Priority
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.routing.records import TargetView
from vanillabeam.targets.blocks import BlockHints
from vanillabeam.targets.breaker import Breaker
from vanillabeam.targets.estimates import Estimates
from vanillabeam.targets.records import EntryVm, Outcome, OutcomeKind, PermitRequest
from vanillabeam.targets.settings import TargetsSettings
from vanillabeam.targets.window import Window
from vanillabeam.targetwire import Announcement, LoadReport

__all__ = ["Grant", "OwnedTarget"]

#: Fraction of a target's limit that batch requests leave to interactive ones.
BATCH_HEADROOM = 0.2
#: A load report is expected to include runs granted this much before its values.
LOST_RUN_AGE_S = 3.0
#: Runs that must be missing from a load report without runs for the target to be
#: regarded as restarted.
MIN_LOST_RUNS = 2


class Grant(NamedTuple):
    """A permit as recorded by its owner.

    :param granted_s: monotonic time of the grant.
    :param expires_s: monotonic time at which the permit expires unless renewed.
    :param tokens: prompt tokens that the target was expected to compute.
    :param work_tokens: ``tokens`` and those pending at the target at the grant.
    :param first_token_s: expected seconds to the first token.
    :param cached_tokens: prompt tokens expected in the target's cache.
    :param adopted: whether a previous owner granted it.
    """

    permit_id: str
    holder: str
    workspace: str
    priority: Priority
    epoch: int
    granted_s: float
    expires_s: float
    tokens: float = 0.0
    work_tokens: float = 0.0
    first_token_s: float = 0.0
    cached_tokens: int = 0
    adopted: bool = False


class OwnedTarget:
    """A target of this owner, with its window, permits, queue and estimates.

    :param epoch: epoch of this ownership, recorded in its permits.
    :param shares: fair shares of the workspaces in the queue.

    :ivar last_seen_s: monotonic time of the last announcement.
    :ivar foreign_runs: runs at the target that no permit of this owner covers.
    :ivar foreign_seen_s: monotonic time at which foreign runs were last reported.
    :ivar no_grants_until_s: monotonic time until which no permit is granted,
        because a previous owner may still grant some.
    :ivar cold_until_s: monotonic time until which only the cold window is granted,
        because permits of a previous owner may still be valid.
    :ivar next_sequence: lowest sequence number of a load report still accepted.
    :ivar reported_s: monotonic time of the values in the last load report.
    :ivar handover_requested_s: monotonic time of the last requests for a handover.
    :ivar summary_requested_s: monotonic time of the last request for a summary of the
        target's cache.
    """

    def __init__(
        self,
        announcement: Announcement,
        epoch: int,
        settings: TargetsSettings,
        shares: Shares,
        rng: random.Random,
        now_s: float,
    ):
        self.announcement = announcement
        self.epoch = epoch
        self.settings = settings
        self.last_seen_s = now_s
        self.window = Window(announcement["capacity"], announcement["cold_capacity"])
        self.permits: dict[str, Grant] = {}
        self.queue = FairQueue(self._queue_limit(), shares)
        self.breaker = Breaker(rng)
        self.blocks = BlockHints()
        self.estimates = Estimates()
        self.foreign_runs = 0
        self.foreign_seen_s = float("-inf")
        self.no_grants_until_s = float("-inf")
        self.cold_until_s = float("-inf")
        self.next_sequence = 0
        self.reported_s = float("-inf")
        self.handover_requested_s = float("-inf")
        self.summary_requested_s = float("-inf")
        self.reported_cached_tokens = 0
        self._end_times_s: deque[float] = deque(maxlen=256)
        self._former_boots: dict[str, float] = {}

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.announcement["target"]

    @property
    def data_centre(self) -> str:
        """Return the target's data centre."""
        return self.announcement["data_centre"]

    @property
    def in_use(self) -> int:
        """Return how many permits are in use."""
        return len(self.permits)

    def apply_announcement(self, announcement: Announcement, now_s: float) -> bool:
        """Apply an announcement and return whether the target has a new boot id."""
        previous_boot = self.announcement["boot_id"]
        rebooted = announcement["boot_id"] != previous_boot
        if rebooted and self._is_superseded_boot(announcement["boot_id"], now_s):
            return False
        self.announcement = announcement
        self.last_seen_s = now_s
        self.window.resize(announcement["capacity"], announcement["cold_capacity"])
        self.queue.limit = self._queue_limit()
        if rebooted:
            self._former_boots[previous_boot] = now_s
            self.permits.clear()
            self.next_sequence = 0
            self.foreign_runs = 0
            self._reset_to_cold(now_s)
        return rebooted

    def apply_load_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report of this boot; drop one that a newer one overtook."""
        if report["boot_id"] != self.announcement["boot_id"]:
            return
        if report["sequence"] < self.next_sequence:
            return
        self.next_sequence = report["sequence"] + 1
        self.reported_s = now_s - report["age_s"]
        if self._shows_lost_state(report, now_s):
            self._reset_to_cold(now_s)
        self.reported_cached_tokens = report["cached_tokens"]
        self.estimates.apply_report(report, now_s)
        self._count_foreign_runs(report, now_s)

    def limit(self, share: float, now_s: float) -> int:
        """Return how many permits may be in use at once.

        :param share: fraction of the window that is safe to grant.
        """
        if now_s < self.no_grants_until_s:
            return 0
        size = self.window.size
        if now_s < self.cold_until_s:
            if self.reported_s < self.no_grants_until_s:
                return 0
            size = min(size, self.window.cold_capacity)
        safe = math.floor(size * share + 1e-9)
        return max(0, min(safe, size - self.foreign_runs))

    def batch_limit(self, limit: int) -> int:
        """Return how many of ``limit`` permits batch requests may use."""
        if limit <= 1:
            return limit
        return limit - max(1, int(limit * BATCH_HEADROOM))

    def grant(self, request: PermitRequest, share: float, now_s: float) -> Grant:
        """Grant a permit; the caller has checked the limit.

        :raises InvariantBroken: if the limit is reached already.
        """
        if self.in_use >= self.limit(share, now_s):
            raise InvariantBroken(f"window of {self.name} overfilled")
        cached = self.blocks.count_leading(request.blocks) * BLOCK_TOKENS
        cached = min(cached, request.prompt_tokens)
        tokens = request.prompt_tokens - cached
        expires_s = now_s + self.settings.permit_s + self.settings.permit_margin_s
        grant = Grant(
            permit_id=request.permit_id,
            holder=request.holder,
            workspace=request.workspace,
            priority=request.priority,
            epoch=self.epoch,
            granted_s=now_s,
            expires_s=expires_s,
            tokens=tokens,
            work_tokens=self.estimates.pending_tokens(now_s) + tokens,
            first_token_s=self.estimates.first_token_s(tokens, now_s),
            cached_tokens=cached,
        )
        self.permits[request.permit_id] = grant
        self.estimates.add_grant(request.permit_id, tokens, now_s)
        self.breaker.record_grant(request.permit_id)
        return grant

    def renew(self, permit_id: str, now_s: float) -> Grant | None:
        """Renew a permit and return it, ``None`` if it is not in use."""
        grant = self.permits.get(permit_id)
        if grant is None:
            return None
        lifetime_s = self.settings.permit_s + self.settings.permit_margin_s
        grant = grant._replace(expires_s=now_s + lifetime_s)
        self.permits[permit_id] = grant
        return grant

    def adopt(self, grant: Grant) -> None:
        """Count a permit of a previous owner; its run may be going on already."""
        if grant.permit_id not in self.permits:
            self.permits[grant.permit_id] = grant._replace(adopted=True)
            self.foreign_runs = max(0, self.foreign_runs - 1)

    def release(self, permit_id: str, outcome: Outcome, now_s: float) -> bool:
        """Release a permit and update the estimates from its run.

        :returns: ``False`` if the permit is not in use.
        """
        grant = self.permits.pop(permit_id, None)
        if grant is None:
            return False
        self._end_times_s.append(now_s)
        self.estimates.remove_grant(permit_id)
        if outcome.kind is OutcomeKind.COMPLETED:
            self._update_estimates(grant, outcome, now_s)
        elif outcome.kind is OutcomeKind.FAILED:
            self.breaker.record_failure(permit_id, now_s)
        else:
            self.breaker.record_end(permit_id)
        return True

    def expire(self, now_s: float) -> list[Grant]:
        """Remove and return the permits that were not renewed in time.

        Their runs may go on, so they count as foreign runs until the next load
        report.
        """
        expired = [g for g in self.permits.values() if g.expires_s <= now_s]
        for grant in expired:
            del self.permits[grant.permit_id]
            self.estimates.remove_grant(grant.permit_id)
            self.breaker.record_end(grant.permit_id)
        self.foreign_runs += len(expired)
        return expired

    def queue_wait_s(self, limit: int, ahead: int) -> float:
        """Return the expected wait of a new request in the queue, in seconds.

        :param limit: permits that may be in use at once.
        :param ahead: queued requests that go before the new one.
        """
        excess = self.in_use + ahead + 1 - limit
        if excess <= 0:
            return 0.0
        return excess * self.estimates.run_s.value / max(1, limit)

    def prefill_backlog_s(self, now_s: float) -> float:
        """Return the seconds until all pending prompts are computed."""
        rate = self.estimates.prefill_tokens_s.value
        return self.estimates.pending_tokens(now_s) / rate

    def first_token_delay_s(self, request: PermitRequest, now_s: float) -> float:
        """Return the expected seconds from a grant to the first token.

        The time for the prompt itself is capped at half of the deadline, so that
        a long prompt is tried before the target's rate is known.
        """
        cached = self.blocks.count_leading(request.blocks) * BLOCK_TOKENS
        tokens = max(0, request.prompt_tokens - cached)
        own_s = tokens / self.estimates.prefill_tokens_s.value
        return self.prefill_backlog_s(now_s) + min(own_s, request.deadline_s / 2)

    def view(
        self, me: EntryVm, share: float, is_open: bool, now_s: float
    ) -> TargetView:
        """Return the view of the target that is published to other entries."""
        limit = self.limit(share, now_s)
        announcement = self.announcement
        return TargetView(
            target=self.name,
            boot_id=announcement["boot_id"],
            address=announcement["address"],
            data_centre=self.data_centre,
            owner=me.vm,
            epoch=self.epoch,
            models=announcement["models"],
            adapters=announcement.get("adapters", {}),
            service=announcement.get("service", ""),
            limit=limit,
            in_use=self.in_use,
            queued=len(self.queue),
            run_s=self.estimates.run_s.value,
            pending_tokens=int(self.estimates.pending_tokens(now_s)),
            prefill_tokens_s=self.estimates.prefill_tokens_s.value,
            link_bytes_s=self.estimates.link_bytes_s.value,
            open=is_open,
            cold=self.window.cold,
            seen_s=now_s,
        )

    def _update_estimates(self, grant: Grant, outcome: Outcome, now_s: float) -> None:
        self.breaker.record_success(grant.permit_id)
        self.estimates.run_s.add(now_s - grant.granted_s)
        self.window.record_completion(
            grant.granted_s,
            outcome.first_token_s,
            grant.first_token_s + outcome.import_s,
            now_s,
        )
        self.estimates.observe_import(outcome.imported_bytes, outcome.import_s)
        if outcome.first_token_s is None or grant.adopted:
            return
        computed = max(0, outcome.prompt_tokens - outcome.cached_tokens)
        pending = grant.work_tokens - grant.tokens
        first_token_s = outcome.first_token_s - outcome.import_s
        self.estimates.observe_first_token(pending + computed, first_token_s)

    def _is_superseded_boot(self, boot_id: str, now_s: float) -> bool:
        """Return whether ``boot_id`` is of a boot that a newer one replaced."""
        cutoff_s = now_s - self.settings.target_timeout_s
        former = self._former_boots.items()
        self._former_boots = {boot: s for boot, s in former if s > cutoff_s}
        return boot_id in self._former_boots

    def _queue_limit(self) -> int:
        slots = max(1, self.announcement["capacity"])
        return max(2, int(slots * self.settings.queue_per_slot))

    def _reset_to_cold(self, now_s: float) -> None:
        self.window.reset(now_s)
        self.blocks.clear()
        self.reported_cached_tokens = 0

    def _shows_lost_state(self, report: LoadReport, now_s: float) -> bool:
        if self.reported_cached_tokens > 0 and report["cached_tokens"] == 0:
            return True
        if report["running"] or report["queued"]:
            return False
        cutoff_s = now_s - report["age_s"] - LOST_RUN_AGE_S
        lost = sum(g.granted_s < cutoff_s for g in self.permits.values())
        return lost >= MIN_LOST_RUNS

    def _count_foreign_runs(self, report: LoadReport, now_s: float) -> None:
        reported_s = now_s - report["age_s"]
        ended = sum(ended_s > reported_s for ended_s in self._end_times_s)
        covered = sum(grant.granted_s <= reported_s for grant in self.permits.values())
        total = report["running"] + report["queued"]
        self.foreign_runs = max(0, total - covered - ended)
        if self.foreign_runs:
            self.foreign_seen_s = now_s
