"""The OpenAI-compatible request bodies: what is read of them."""

from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.config import Adapter, Config, Model, Workspace
from vanillabeam.exceptions import MalformedBody, UnknownModel, VanillabeamError

__all__ = [
    "CHAT_PATH",
    "COMPLETIONS_PATH",
    "ModelChoice",
    "Prompt",
    "choose_model",
    "model_list",
    "parse_prompt",
]

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MAX_CHOICES = 1


class StreamOptions(TypedDict):
    """``stream_options`` of a body."""

    include_usage: NotRequired[bool]


class ChatBody(TypedDict):
    """What is read of a chat completion's body; the rest is passed on."""

    model: str
    messages: list[dict[str, Any]]
    stream: NotRequired[bool | None]
    stream_options: NotRequired[StreamOptions | None]
    n: NotRequired[int | None]


class CompletionBody(TypedDict):
    """What is read of a completion's body; the rest is passed on."""

    model: str
    prompt: str
    stream: NotRequired[bool | None]
    stream_options: NotRequired[StreamOptions | None]
    n: NotRequired[int | None]


class Prompt(NamedTuple):
    """A caller's prompt.

    :param path: path at the engine.
    :param model: as the caller names it, ``model`` or ``model:adapter``.
    :param content: chat messages or text, for block ids.
    :param stream: whether the caller wants events.
    :param include_usage: whether a streamed answer ends with a usage chunk.
    :param body: the body as decoded, to be passed on.
    """

    path: str
    model: str
    content: list[dict[str, Any]] | str
    stream: bool
    include_usage: bool
    body: dict[str, Any]


class ModelChoice(NamedTuple):
    """The model and adapter that a request was admitted for.

    :param adapter: ``None`` without one.
    """

    model: Model
    adapter: Adapter | None

    @property
    def adapter_release(self) -> str:
        """``name@version`` of the adapter, empty without one."""
        if self.adapter is None:
            return ""
        return f"{self.adapter.name}@{self.adapter.version}"


def parse_prompt(path: str, body: bytes) -> Result[Prompt, MalformedBody]:
    """Return the prompt in ``body``.

    :param path: :data:`CHAT_PATH` or :data:`COMPLETIONS_PATH`.
    """
    kind = ChatBody if path == CHAT_PATH else CompletionBody
    checked = wire.decode(kind, body)
    if isinstance(checked, Failure):
        return checked
    known = checked.unwrap()
    content = known["messages"] if path == CHAT_PATH else known["prompt"]
    if not content:
        return Failure(MalformedBody("the prompt is empty"))
    if (known.get("n") or 1) > MAX_CHOICES:
        return Failure(MalformedBody(f"n: at most {MAX_CHOICES}"))
    options = known.get("stream_options") or {}
    return Success(
        Prompt(
            path=path,
            model=known["model"],
            content=content,
            stream=bool(known.get("stream")),
            include_usage=bool(options.get("include_usage")),
            body=msgspec.json.decode(body),
        )
    )


def choose_model(
    config: Config, workspace: Workspace, name: str
) -> Result[ModelChoice, VanillabeamError]:
    """Return what ``name`` means to ``workspace`` now.

    :param name: ``model`` or ``model:adapter``.
    """
    model_name, _, adapter_name = name.partition(":")
    model = config.models.get(model_name)
    if model is None or not _allowed(workspace, name):
        return Failure(UnknownModel(name))
    if not adapter_name:
        return Success(ModelChoice(model, None))
    adapter = config.adapters.get(name)
    if adapter is None:
        return Failure(UnknownModel(name))
    return Success(ModelChoice(model, adapter))


def model_list(config: Config, workspace: Workspace) -> dict[str, Any]:
    """Return the answer to ``GET /v1/models``."""
    names = [*config.models, *config.adapters]
    return {
        "object": "list",
        "data": [
            {"id": name, "object": "model", "created": 0, "owned_by": "vanillabeam"}
            for name in sorted(names)
            if _allowed(workspace, name)
        ],
    }


def _allowed(workspace: Workspace, name: str) -> bool:
    if not workspace.models or name in workspace.models:
        return True
    model_name, _, _ = name.partition(":")
    return model_name in workspace.models
