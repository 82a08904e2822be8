"""Everything that an entry does with a request once it has been let in."""

from typing import Any

import trio

from vanillabeam.admission import RetryBudget
from vanillabeam.answers.answer import PromptParts, PromptTimes
from vanillabeam.answers.background import Background
from vanillabeam.answers.call import CallParts, CallTimes
from vanillabeam.answers.promptrun import PromptLimits
from vanillabeam.answers.prompts import Prompts
from vanillabeam.answers.records import Acquire, Release, Trace
from vanillabeam.answers.services import Services
from vanillabeam.claims import ClaimsClient

__all__ = ["Runner"]


class Runner:
    """Runs prompts and calls on targets that ``acquire`` names.

    :param acquire: gives permits, such as ``Targets.acquire``.
    :param release: takes them back, such as ``Targets.release``.
    :param claims: claims keys of calls that may not be repeated.
    :param trace: takes the record of each finished request.
    :param budget: retries of all requests of this VM.

    Usage::

        runner = Runner(targets.acquire, targets.release, claims)
        await nursery.start(runner.run)
        result = await runner.prompts.open(prompt_request)
        result = await runner.services.call(service_request)
    """

    def __init__(
        self,
        acquire: Acquire,
        release: Release,
        claims: ClaimsClient,
        *,
        trace: Trace = lambda request_id, record: None,
        budget: RetryBudget | None = None,
        prompt_limits: PromptLimits | None = None,
        prompt_times: PromptTimes | None = None,
        call_times: CallTimes | None = None,
    ):
        self.background = Background()
        budget = budget or RetryBudget()
        prompt_parts = PromptParts(
            acquire,
            release,
            self.background,
            budget,
            prompt_limits or PromptLimits(),
            prompt_times or PromptTimes(),
            trace,
        )
        call_parts = CallParts(
            acquire, release, self.background, budget, call_times or CallTimes(), trace
        )
        self.prompts = Prompts(prompt_parts)
        self.services = Services(call_parts, claims)

    async def flush(self) -> None:
        """Wait for what goes on without a caller; for a planned stop."""
        await self.services.flush()

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Hold connections and unfinished calls until cancelled."""
        await self.background.run(task_status=task_status)
