"""Execution of admitted requests: retries, resumes, ordered streaming, recording.

A caller gets a complete answer in the right order, or a failure that says whether the
request may have run. An answer that had to continue on another engine looks like the
answer of one run.
"""

from vanillabeam.answers.answer import Answer, PromptTimeouts
from vanillabeam.answers.call import CallTimeouts
from vanillabeam.answers.connection import ConnectionTimeouts
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
from vanillabeam.answers.promptrun import PromptLimits
from vanillabeam.answers.records import (
    Acquire,
    PromptRequest,
    Release,
    ServiceAnswer,
    ServiceRequest,
    TraceSink,
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
    "CallTimeouts",
    "CallerDisconnected",
    "ConnectionTimeouts",
    "PromptLimits",
    "PromptRejected",
    "PromptRequest",
    "PromptTimeouts",
    "Release",
    "RetriesDenied",
    "Runner",
    "ServiceAnswer",
    "ServiceRequest",
    "TargetRefused",
    "TraceSink",
]
