"""Entry point for model prompts."""

from returns.result import Failure, Result, Success

from vanillabeam.answers.answer import Answer, PromptDependencies
from vanillabeam.answers.records import PromptRequest
from vanillabeam.exceptions import VanillabeamError

__all__ = ["Prompts"]


class Prompts:
    """Opens answers to model prompts.

    Usage::

        match await prompts.open(request):
            case Success(answer):
                async with contextlib.aclosing(answer):
                    async for data in answer:
                        await send(data)
            case Failure(failure):
                ...
    """

    def __init__(self, deps: PromptDependencies):
        self._deps = deps

    async def open(self, request: PromptRequest) -> Result[Answer, VanillabeamError]:
        """Start a prompt and return its answer once the first bytes are available.

        :returns: an answer that must be closed, or a failure whose ``run`` says
            whether the prompt may have run.
        """
        answer = Answer(request, self._deps)
        try:
            await answer.begin()
        except BaseException:
            await answer.aclose()
            raise
        if answer.failure is not None:
            return Failure(answer.failure)
        return Success(answer)
