"""Parsing of OpenAI-compatible request bodies and choice of the model."""

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
    """The field ``stream_options`` of a request body."""

    include_usage: NotRequired[bool]


class ChatBody(TypedDict):
    """Fields read from the body of a chat completion.

    Other fields are passed on to the engine unread.
    """

    model: str
    messages: list[dict[str, Any]]
    stream: NotRequired[bool | None]
    stream_options: NotRequired[StreamOptions | None]
    n: NotRequired[int | None]


class CompletionBody(TypedDict):
    """Fields read from the body of a completion.

    Other fields are passed on to the engine unread.
    """

    model: str
    prompt: str
    stream: NotRequired[bool | None]
    stream_options: NotRequired[StreamOptions | None]
    n: NotRequired[int | None]


class Prompt(NamedTuple):
    """A caller's prompt.

    :param path: request path, which is the same at the engine.
    :param model: requested model, ``model`` or ``model:adapter``.
    :param content: chat messages or text, from which block ids are computed.
    :param stream: whether the caller requested a stream of events.
    :param include_usage: whether a streamed answer ends with a usage chunk.
    :param body: the whole decoded body, which is sent to the engine.
    """

    path: str
    model: str
    content: list[dict[str, Any]] | str
    stream: bool
    include_usage: bool
    body: dict[str, Any]


class ModelChoice(NamedTuple):
    """The model and adapter that a request was admitted for.

    :param adapter: ``None`` if no adapter was requested.
    """

    model: Model
    adapter: Adapter | None

    @property
    def adapter_release(self) -> str:
        """``name@version`` of the adapter, or the empty string without one."""
        if self.adapter is None:
            return ""
        return f"{self.adapter.name}@{self.adapter.version}"


def parse_prompt(path: str, body: bytes) -> Result[Prompt, MalformedBody]:
    """Parse the body of a prompt request.

    :param path: :data:`CHAT_PATH` or :data:`COMPLETIONS_PATH`.
    :param body: JSON text.
    """
    body_type = ChatBody if path == CHAT_PATH else CompletionBody
    decoded = wire.decode(body_type, body)
    if isinstance(decoded, Failure):
        return decoded
    fields = decoded.unwrap()
    content = fields["messages"] if path == CHAT_PATH else fields["prompt"]
    if not content:
        return Failure(MalformedBody("the prompt is empty"))
    if (fields.get("n") or 1) > MAX_CHOICES:
        return Failure(MalformedBody(f"n: at most {MAX_CHOICES}"))
    options = fields.get("stream_options") or {}
    return Success(
        Prompt(
            path=path,
            model=fields["model"],
            content=content,
            stream=bool(fields.get("stream")),
            include_usage=bool(options.get("include_usage")),
            body=msgspec.json.decode(body),
        )
    )


def choose_model(
    config: Config, workspace: Workspace, name: str
) -> Result[ModelChoice, VanillabeamError]:
    """Resolve a requested model name in the configuration in force.

    :param name: ``model`` or ``model:adapter``.
    :returns: model and adapter, or :class:`UnknownModel` if one of them does not
        exist or the workspace may not use it.
    """
    model_name, _, adapter_name = name.partition(":")
    model = config.models.get(model_name)
    if model is None or not _is_allowed(workspace, name):
        return Failure(UnknownModel(name))
    if not adapter_name:
        return Success(ModelChoice(model, None))
    adapter = config.adapters.get(name)
    if adapter is None:
        return Failure(UnknownModel(name))
    return Success(ModelChoice(model, adapter))


def model_list(config: Config, workspace: Workspace) -> dict[str, Any]:
    """Return the answer to ``GET /v1/models`` for a workspace."""
    names = [*config.models, *config.adapters]
    return {
        "object": "list",
        "data": [
            {"id": name, "object": "model", "created": 0, "owned_by": "vanillabeam"}
            for name in sorted(names)
            if _is_allowed(workspace, name)
        ],
    }


def _is_allowed(workspace: Workspace, name: str) -> bool:
    if not workspace.models or name in workspace.models:
        return True
    model_name, _, _ = name.partition(":")
    return model_name in workspace.models
