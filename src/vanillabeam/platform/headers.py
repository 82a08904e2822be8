"""The platform's headers, read and set."""

from returns.result import Failure, Result, Success

from vanillabeam.exceptions import MalformedHeader, VanillabeamError
from vanillabeam.fleet import Deployment
from vanillabeam.forwarding import AnswerKind, ForwardingContext, RequestMetadata
from vanillabeam.forwarding.dialect import Headers, PromptPart
from vanillabeam.hops import end_to_end
from vanillabeam.platform.documents import read_document

__all__ = ["PlatformDialect"]

PREFIX = b"x-vanillabeam-"
REQUEST_ID = PREFIX + b"request-id"
DEADLINE = PREFIX + b"deadline-ms"
KEY = PREFIX + b"key"
TENANT = PREFIX + b"tenant"
INSTANCE = PREFIX + b"expect-instance"
NOT_EXECUTED = PREFIX + b"not-executed"
MODEL = PREFIX + b"model"
TOKEN_USAGE = PREFIX + b"token-usage"
PROMPT_PARTS = PREFIX + b"prefix-hash"
CACHE_SALT = PREFIX + b"cache-salt"
PRIORITY = PREFIX + b"request-priority"
LAST_EVENT_ID = b"last-event-id"
KV_FROM = b"kv-from"
EXPECT_VERSION = PREFIX + b"expect-version"
KV_SOURCE = PREFIX + b"kv-source"
KV_SINK = PREFIX + b"kv-sink"
KV_UNTIL = PREFIX + b"kv-until"

#: Headers that only the system sets, whatever a client sends.
SYSTEM_ONLY = frozenset(
    {
        KEY,
        TENANT,
        INSTANCE,
        CACHE_SALT,
        PRIORITY,
        KV_FROM,
        LAST_EVENT_ID,
        DEADLINE,
        EXPECT_VERSION,
        PREFIX + b"pin-ms",
        PREFIX + b"hold",
        PREFIX + b"kv-backup",
        KV_SOURCE,
        KV_SINK,
        KV_UNTIL,
        PREFIX + b"kv-from",
    }
)
FRAMING = frozenset({b"content-length"})
LOWEST_PRIORITY = 9
OTHER_WORKER = 421


class PlatformDialect:
    """The platform's names for what forwarding does."""

    def read_deployment(self, document: str) -> Deployment:
        """Return what an accepted document says."""
        return read_document(document)

    def read_metadata(self, scope) -> Result[RequestMetadata, VanillabeamError]:
        """Return what a request says of itself."""
        headers = dict(scope["headers"])
        path, query = scope["raw_path"], scope["query_string"]
        try:
            return Success(
                RequestMetadata(
                    request_id=_text(headers, REQUEST_ID),
                    host=_text(headers, b"host"),
                    method=scope["method"],
                    path=path.decode("ascii"),
                    target=path + b"?" + query if query else path,
                    budget_s=_seconds(headers.get(DEADLINE)),
                    key=_text(headers, KEY),
                    model=_text(headers, MODEL),
                    parts=_parts(headers.get(PROMPT_PARTS, b"")),
                    output_tokens=_output_tokens(headers.get(TOKEN_USAGE, b"")),
                    last_event_id=_text(headers, LAST_EVENT_ID),
                )
            )
        except ValueError as exc:
            return Failure(MalformedHeader(str(exc)))

    def request_headers(self, headers: Headers, context: ForwardingContext) -> Headers:
        """Return the headers for the worker."""
        dropped = SYSTEM_ONLY | FRAMING
        kept = [each for each in end_to_end(headers) if each[0] not in dropped]
        kept.append((INSTANCE, context.target.encode()))
        kept.append((DEADLINE, str(max(1, int(context.remaining_s * 1000))).encode()))
        if context.workspace:
            kept.append((TENANT, context.workspace.encode()))
        if context.cache_salt:
            kept.append((CACHE_SALT, context.cache_salt.encode()))
        if context.priority is not None:
            rank = min(max(0, context.priority), LOWEST_PRIORITY)
            kept.append((PRIORITY, str(rank).encode()))
        kept += _prefix_headers(context)
        if context.last_event_id:
            kept.append((LAST_EVENT_ID, context.last_event_id.encode()))
        return kept

    def classify_answer(
        self, metadata: RequestMetadata, status: int, headers: Headers
    ) -> AnswerKind:
        """Return what a worker's answer says of the request's run."""
        found = {name.lower(): value for name, value in headers}
        echoed = found.get(REQUEST_ID)
        if echoed is not None and echoed.decode("latin-1") != metadata.request_id:
            return AnswerKind.WRONG_REQUEST
        if status == OTHER_WORKER:
            return AnswerKind.OTHER_TARGET
        if NOT_EXECUTED in found:
            return AnswerKind.NOT_RUN
        return AnswerKind.ANSWER


def _prefix_headers(context: ForwardingContext) -> Headers:
    """Return the headers that say what is kept of the prompt, and where."""
    headers: Headers = []
    if context.version is not None:
        headers.append((EXPECT_VERSION, str(context.version).encode()))
    if any(context.fetches):
        sources = [
            f"{held.store}/{held.tokens}" if held else "-" for held in context.fetches
        ]
        headers.append((KV_SOURCE, ",".join(sources).encode()))
        headers.append((KV_UNTIL, str(int(context.fetch_until_ms)).encode()))
    if any(context.saves):
        sinks = [store or "-" for store in context.saves]
        headers.append((KV_SINK, ",".join(sinks).encode()))
    return headers


def _text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1")


def _seconds(value: bytes | None) -> float | None:
    return None if value is None else float(value) / 1000


def _parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of ``ID:TOKENS`` entries, separated by commas."""
    entries = [entry.strip() for entry in value.decode("ascii").split(",")]
    pairs = [entry.rpartition(":") for entry in entries if entry]
    return tuple(PromptPart(part, int(tokens)) for part, _, tokens in pairs)


def _output_tokens(value: bytes) -> int:
    """Return the second of ``PROMPT,OUTPUT`` tokens."""
    _, _, output = value.partition(b",")
    return int(output) if output.strip() else 0
