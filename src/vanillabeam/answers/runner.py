"""Runner of admitted requests on an entry VM."""

from typing import Any

import trio

from vanillabeam.admission import RetryBudget
from vanillabeam.answers.answer import PromptDependencies, PromptTimeouts
from vanillabeam.answers.background import Background
from vanillabeam.answers.call import CallDependencies, CallTimeouts
from vanillabeam.answers.promptrun import PromptLimits
from vanillabeam.answers.prompts import Prompts
from vanillabeam.answers.records import (
    Acquire,
    IgnoredNotices,
    NoticeBoard,
    Release,
    TraceSink,
)
from vanillabeam.answers.services import Services
from vanillabeam.claims import ClaimsClient

__all__ = ["Runner"]


class Runner:
    """Runs prompts and service calls on targets chosen by ``acquire``.

    :param acquire: grants permits, such as ``Targets.acquire``.
    :param release: takes permits back, such as ``Targets.release``.
    :param claims: claims the idempotency keys of calls that may not be repeated.
    :param trace: receives the trace of each finished request.
    :param budget: retry budget of all requests of this VM.
    :param notices: what targets say of themselves, such as ``Targets``.

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
        trace: TraceSink = lambda request_id, record: None,
        budget: RetryBudget | None = None,
        notices: NoticeBoard | None = None,
        prompt_limits: PromptLimits | None = None,
        prompt_timeouts: PromptTimeouts | None = None,
        call_timeouts: CallTimeouts | None = None,
    ):
        self.background = Background()
        budget = budget or RetryBudget()
        notices = notices or IgnoredNotices()
        prompt_deps = PromptDependencies(
            acquire,
            release,
            self.background,
            budget,
            prompt_limits or PromptLimits(),
            prompt_timeouts or PromptTimeouts(),
            trace,
            notices,
        )
        call_deps = CallDependencies(
            acquire,
            release,
            self.background,
            budget,
            call_timeouts or CallTimeouts(),
            trace,
            notices,
        )
        self.prompts = Prompts(prompt_deps)
        self.services = Services(call_deps, claims)

    async def flush(self) -> None:
        """Wait for calls that run without a caller; used for a planned stop."""
        await self.services.flush()

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Run connections and unfinished calls until cancelled."""
        await self.background.run(task_status=task_status)
