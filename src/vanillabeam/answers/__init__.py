"""Answers: whole, in order, from one run or as if from one; or a true word why not."""

from vanillabeam.answers.answer import Answer, PromptTimes
from vanillabeam.answers.call import CallTimes
from vanillabeam.answers.exceptions import (
    AnswerCut,
    AnswerLost,
    AnswerTooLarge,
    BodyNotKept,
    CallerDisconnected,
    CallNotRepeated,
    PromptRejected,
    RetriesDenied,
    TargetRefused,
)
from vanillabeam.answers.link import LinkTimes
from vanillabeam.answers.promptrun import PromptLimits
from vanillabeam.answers.records import (
    Acquire,
    PromptRequest,
    Release,
    ServiceAnswer,
    ServiceRequest,
    Trace,
)
from vanillabeam.answers.runner import Runner

__all__ = [
    "Acquire",
    "Answer",
    "AnswerCut",
    "AnswerLost",
    "AnswerTooLarge",
    "BodyNotKept",
    "CallNotRepeated",
    "CallTimes",
    "CallerDisconnected",
    "LinkTimes",
    "PromptLimits",
    "PromptRejected",
    "PromptRequest",
    "PromptTimes",
    "Release",
    "RetriesDenied",
    "Runner",
    "ServiceAnswer",
    "ServiceRequest",
    "TargetRefused",
    "Trace",
]
