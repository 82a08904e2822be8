"""Parser and writer of the platform's request and answer headers."""

from returns.result import Failure, Result, Success

from vanillabeam.exceptions import MalformedHeader, VanillabeamError
from vanillabeam.fleet import Deployment
from vanillabeam.forwarding import AnswerKind, ForwardingContext, RequestMetadata
from vanillabeam.forwarding.dialect import Headers, PromptPart
from vanillabeam.hopheaders import strip_hop_by_hop
from vanillabeam.notices import Notice
from vanillabeam.platform.documents import read_document

__all__ = ["MISDIRECTED_REQUEST", "PlatformDialect", "read_notice"]

PREFIX = b"x-vanillabeam-"
REQUEST_ID = PREFIX + b"request-id"
STAMP = PREFIX + b"response-stamp"
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
LEAVING = b"server-leaving"
LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"
EXPECT_VERSION = PREFIX + b"expect-version"
KV_SOURCE = PREFIX + b"kv-source"
KV_SINK = PREFIX + b"kv-sink"
KV_UNTIL = PREFIX + b"kv-until"

#: Schemes of request targets in absolute form (RFC 9112, 3.2.2).
SCHEMES = (b"http", b"https")

#: Headers that only the system may set. They are removed from a client's request,
#: so that a client can't forge them.
SYSTEM_HEADERS = frozenset(
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
FRAMING_HEADERS = frozenset({b"content-length"})
LOWEST_PRIORITY = 9
MULTIPLE_CHOICES = 300
MISDIRECTED_REQUEST = 421
UNAVAILABLE = 503
#: Statuses that tell a client that its request has not run and never will.
PROMISES = frozenset({408, 429, UNAVAILABLE})


class PlatformDialect:
    """Header names and documents of the platform."""

    def read_deployment(self, document: str) -> Deployment:
        """Return the deployment that an accepted document describes."""
        return read_document(document)

    def read_metadata(self, scope) -> Result[RequestMetadata, VanillabeamError]:
        """Return the metadata of a client's request.

        :param scope: ASGI scope of the request.
        """
        headers = dict(scope["headers"])
        host, path = _split_target(headers.get(b"host", b""), scope["raw_path"])
        query = scope["query_string"]
        try:
            return Success(
                RequestMetadata(
                    request_id=_read_text(headers, REQUEST_ID),
                    host=host.decode("latin-1"),
                    method=scope["method"],
                    path=path.decode("ascii"),
                    target=path + b"?" + query if query else path,
                    budget_s=_read_seconds(headers.get(DEADLINE)),
                    key=_read_text(headers, KEY),
                    model=_read_text(headers, MODEL),
                    parts=_read_parts(headers.get(PROMPT_PARTS, b"")),
                    output_tokens=_read_output_tokens(headers.get(TOKEN_USAGE, b"")),
                    last_event_id=_read_text(headers, LAST_EVENT_ID),
                )
            )
        except ValueError as exc:
            return Failure(MalformedHeader(str(exc)))

    def request_headers(self, headers: Headers, context: ForwardingContext) -> Headers:
        """Return the headers to send to the worker.

        :param headers: headers as the client sent them.
        :param context: values that the system adds.
        """
        dropped = SYSTEM_HEADERS | FRAMING_HEADERS
        sent_headers = [
            header for header in strip_hop_by_hop(headers) if header[0] not in dropped
        ]
        sent_headers.append((INSTANCE, context.target.encode()))
        sent_headers.append(
            (DEADLINE, str(max(1, int(context.remaining_s * 1000))).encode())
        )
        if context.workspace:
            sent_headers.append((TENANT, context.workspace.encode()))
        if context.cache_salt:
            sent_headers.append((CACHE_SALT, context.cache_salt.encode()))
        if context.priority is not None:
            rank = min(max(0, context.priority), LOWEST_PRIORITY)
            sent_headers.append((PRIORITY, str(rank).encode()))
        sent_headers += _prefix_headers(context)
        if context.last_event_id:
            sent_headers.append((LAST_EVENT_ID, context.last_event_id.encode()))
        return sent_headers

    def classify_answer(
        self, metadata: RequestMetadata, status: int, headers: Headers, is_first: bool
    ) -> AnswerKind:
        """Return the kind of a worker's answer, by its status and headers.

        Workers repeat the id of a request in their answers. A refusal without it is
        believed only as the first answer on its connection: on a kept one it may be
        that of an earlier request, written once more. A success that says that the
        request has not run contradicts itself, so the request may have run. Every
        success bears its worker's stamp.

        :param is_first: whether it is the first answer on its connection.
        """
        names = {name.lower() for name, _ in headers}
        ids = {value for name, value in headers if name.lower() == REQUEST_ID}
        own_id = metadata.request_id.encode("latin-1")
        if ids - {own_id} or (own_id and not ids and not is_first):
            return AnswerKind.WRONG_REQUEST
        if status == MISDIRECTED_REQUEST:
            return AnswerKind.OTHER_TARGET
        if NOT_EXECUTED in names:
            is_success = status < MULTIPLE_CHOICES
            return AnswerKind.UNPROVEN if is_success else AnswerKind.NOT_RUN
        if own_id and not ids:
            return AnswerKind.WRONG_REQUEST
        if status < MULTIPLE_CHOICES and not _has_stamp(headers):
            return AnswerKind.INCOMPLETE
        return AnswerKind.UNPROVEN if status in PROMISES else AnswerKind.ANSWER

    def read_notice(self, status: int, headers: Headers) -> Notice:
        """Return what a worker said of itself in an answer."""
        return read_notice(status, headers)

    def answer_headers(self, status: int, headers: Headers) -> Headers:
        """Return the headers of an answer without what its worker said of itself."""
        dropped = {LEAVING, LIMIT} | ({RETRY_AFTER} if status == UNAVAILABLE else set())
        return [header for header in headers if header[0].lower() not in dropped]


def read_notice(status: int, headers: Headers) -> Notice:
    """Return what a worker said of itself in an answer to any call."""
    by_name = {name.lower(): value.decode("latin-1") for name, value in headers}
    pause = by_name.get(RETRY_AFTER) if status == UNAVAILABLE else None
    limits = tuple(
        value.decode("latin-1") for name, value in headers if name.lower() == LIMIT
    )
    return Notice(by_name.get(LEAVING, "").strip() == "1", pause, limits)


def _prefix_headers(context: ForwardingContext) -> Headers:
    """Return the headers that tell the worker where to fetch and save KV cache.

    They also name the weight version that must run the request.
    """
    headers: Headers = []
    if context.version is not None:
        headers.append((EXPECT_VERSION, str(context.version).encode()))
    if any(context.fetches):
        sources = [
            f"{part.store}/{part.tokens}" if part else "-" for part in context.fetches
        ]
        headers.append((KV_SOURCE, ",".join(sources).encode()))
        headers.append((KV_UNTIL, str(int(context.fetch_until_ms)).encode()))
    if any(context.saves):
        sinks = [store or "-" for store in context.saves]
        headers.append((KV_SINK, ",".join(sinks).encode()))
    return headers


def _has_stamp(headers: Headers) -> bool:
    """Return whether an answer has a stamp that is passed on to the client."""
    return any(name == STAMP for name, _ in strip_hop_by_hop(headers))


def _split_target(host: bytes, path: bytes) -> tuple[bytes, bytes]:
    """Return host and path of a request, whose target may name the host itself."""
    scheme, separator, rest = path.partition(b"://")
    if not separator or scheme.lower() not in SCHEMES:
        return host, path
    host, _, path = rest.partition(b"/")
    return host, b"/" + path


def _read_text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1")


def _read_seconds(value: bytes | None) -> float | None:
    return None if value is None else float(value) / 1000


def _read_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Parse prompt parts: ``ID:TOKENS`` entries, separated by commas."""
    entries = [entry.strip() for entry in value.decode("ascii").split(",")]
    pairs = [entry.rpartition(":") for entry in entries if entry]
    return tuple(PromptPart(part, int(tokens)) for part, _, tokens in pairs)


def _read_output_tokens(value: bytes) -> int:
    """Parse the second number of ``PROMPT,OUTPUT`` token counts; 0 if missing."""
    _, _, output = value.partition(b",")
    return int(output) if output.strip() else 0
