import pytest
from returns.result import Failure

from tests.forwarding.builders import make_metadata
from tests.platform.builders import make_scope
from vanillabeam.forwarding import AnswerKind, ForwardingContext
from vanillabeam.platform.headers import PlatformDialect

STAMP = (b"X-Vanillabeam-Response-Stamp", b"stamp")
DIALECT = PlatformDialect()
CONTEXT = ForwardingContext(target="i-1", remaining_s=1.5)

SYSTEM_HEADERS = [
    b"x-vanillabeam-tenant",
    b"x-vanillabeam-expect-instance",
    b"x-vanillabeam-expect-version",
    b"x-vanillabeam-cache-salt",
    b"x-vanillabeam-request-priority",
    b"x-vanillabeam-hold",
    b"x-vanillabeam-pin-ms",
    b"x-vanillabeam-kv-backup",
    b"x-vanillabeam-kv-source",
    b"x-vanillabeam-kv-sink",
    b"x-vanillabeam-kv-until",
    b"kv-from",
    b"x-vanillabeam-key",
]


@pytest.mark.parametrize("name", SYSTEM_HEADERS)
def test_system_headers_of_a_client_are_dropped(name):
    sent = DIALECT.request_headers([(name, b"forged")], CONTEXT)
    assert b"forged" not in [value for _, value in sent]


def test_hop_by_hop_headers_are_not_forwarded():
    headers = [
        (b"connection", b"close, X-Own"),
        (b"x-own", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"content-length", b"5"),
        (b"accept", b"text/plain"),
        (b"x-vanillabeam-model", b"m"),
    ]
    sent = dict(DIALECT.request_headers(headers, CONTEXT))
    assert sent == {
        b"accept": b"text/plain",
        b"x-vanillabeam-model": b"m",
        b"x-vanillabeam-expect-instance": b"i-1",
        b"x-vanillabeam-deadline-ms": b"1500",
    }


def test_the_worker_gets_workspace_salt_priority_and_last_event_id():
    context = CONTEXT._replace(
        workspace="studio", cache_salt="a", priority=12, last_event_id="3"
    )
    sent = dict(DIALECT.request_headers([(b"last-event-id", b"1")], context))
    assert sent[b"x-vanillabeam-tenant"] == b"studio"
    assert sent[b"x-vanillabeam-cache-salt"] == b"a"
    assert sent[b"x-vanillabeam-request-priority"] == b"9"
    assert sent[b"last-event-id"] == b"3"


def test_request_metadata_is_read_from_the_headers():
    scope = make_scope(
        [
            (b"x-vanillabeam-request-id", b"r-1"),
            (b"x-vanillabeam-deadline-ms", b"1500"),
            (b"x-vanillabeam-key", b"key-1"),
            (b"x-vanillabeam-model", b"m"),
            (b"x-vanillabeam-prefix-hash", b"5c1e07a2:800,91bd3f06:410"),
        ],
        query=b"a=%20b",
    )
    metadata = DIALECT.read_metadata(scope).unwrap()
    assert metadata.budget_s == 1.5
    assert metadata.target == b"/prompts/1?a=%20b"
    assert [(part.part_id, part.tokens) for part in metadata.parts] == [
        ("5c1e07a2", 800),
        ("91bd3f06", 410),
    ]


@pytest.mark.parametrize(
    "header",
    [
        (b"x-vanillabeam-deadline-ms", b"soon"),
        (b"x-vanillabeam-prefix-hash", b"5c1e07a2:many"),
    ],
)
def test_a_malformed_header_is_refused(header):
    assert isinstance(DIALECT.read_metadata(make_scope([header])), Failure)


@pytest.mark.parametrize(
    ("status", "headers", "kind"),
    [
        (200, [(b"X-Vanillabeam-Request-Id", b"r-1"), STAMP], AnswerKind.ANSWER),
        (200, [(b"X-Vanillabeam-Request-Id", b"r-1")], AnswerKind.INCOMPLETE),
        (
            200,
            [
                (b"X-Vanillabeam-Request-Id", b"r-1"),
                (b"Connection", b"close, X-Vanillabeam-Response-Stamp"),
                STAMP,
            ],
            AnswerKind.INCOMPLETE,
        ),
        (200, [(b"X-Vanillabeam-Request-Id", b"r-2")], AnswerKind.WRONG_REQUEST),
        (503, [(b"X-Vanillabeam-Not-Executed", b"1")], AnswerKind.NOT_RUN),
        (500, [(b"X-Vanillabeam-Request-Id", b"r-1")], AnswerKind.ANSWER),
        (
            200,
            [
                (b"X-Vanillabeam-Request-Id", b"r-1"),
                (b"X-Vanillabeam-Not-Executed", b"1"),
            ],
            AnswerKind.UNPROVEN,
        ),
        (503, [(b"X-Vanillabeam-Request-Id", b"r-1")], AnswerKind.UNPROVEN),
        (429, [(b"X-Vanillabeam-Request-Id", b"r-1")], AnswerKind.UNPROVEN),
        (408, [(b"X-Vanillabeam-Request-Id", b"r-1")], AnswerKind.UNPROVEN),
        (503, [], AnswerKind.WRONG_REQUEST),
        (200, [], AnswerKind.WRONG_REQUEST),
        (
            200,
            [
                (b"X-Vanillabeam-Request-Id", b"r-2"),
                (b"x-vanillabeam-request-id", b"r-1"),
            ],
            AnswerKind.WRONG_REQUEST,
        ),
        (421, [], AnswerKind.OTHER_TARGET),
        (421, [(b"X-Vanillabeam-Request-Id", b"r-2")], AnswerKind.WRONG_REQUEST),
    ],
)
def test_an_answer_is_classified_by_status_and_headers(status, headers, kind):
    assert DIALECT.classify_answer(make_metadata(), status, headers, True) is kind


# Guards against a refusal of an earlier request on the connection, written once more
# without its id, that is taken for the answer to a request that has run.
@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
def test_a_refusal_without_an_id_is_believed_only_on_a_new_connection(status):
    headers = [(b"X-Vanillabeam-Not-Executed", b"1")]
    kind = DIALECT.classify_answer(make_metadata(), status, headers, False)
    assert kind is AnswerKind.WRONG_REQUEST
    headers.append((b"X-Vanillabeam-Request-Id", b"r-1"))
    kind = DIALECT.classify_answer(make_metadata(), status, headers, False)
    assert kind in (AnswerKind.NOT_RUN, AnswerKind.OTHER_TARGET)


def test_the_answer_to_a_request_without_an_id_bears_none():
    metadata = make_metadata()._replace(request_id="")
    other = [(b"X-Vanillabeam-Request-Id", b"r-2")]
    for is_first in (True, False):
        kind = DIALECT.classify_answer(metadata, 200, [STAMP], is_first)
        assert kind is AnswerKind.ANSWER
        kind = DIALECT.classify_answer(metadata, 200, other, is_first)
        assert kind is AnswerKind.WRONG_REQUEST


# Guards against 404 for a route that is in force: the target may name the host itself.
@pytest.mark.parametrize(
    "target, host, path",
    [
        (b"http://shop.example/prompts/1", "shop.example", "/prompts/1"),
        (b"HTTP://Shop.Example:80/prompts/1", "Shop.Example:80", "/prompts/1"),
        (b"http://shop.example", "shop.example", "/"),
        (b"/prompts/http://other.example/1", "host", "/prompts/http://other.example/1"),
        (b"//shop.example/prompts/1", "host", "//shop.example/prompts/1"),
        (b"*", "host", "*"),
    ],
)
def test_a_target_in_absolute_form_names_host_and_path(target, host, path):
    scope = make_scope(path=target, query=b"a=1")
    scope["headers"] = [(b"host", b"host")]
    metadata = DIALECT.read_metadata(scope).unwrap()
    assert (metadata.host, metadata.path) == (host, path)
    assert metadata.target == path.encode() + b"?a=1"


def test_a_limit_is_read_and_not_passed_on():
    headers = [(b"Server-Limit", b"2.5"), (b"server-limit", b"abc"), (b"a", b"1")]
    assert DIALECT.read_notice(200, headers).limits == ("2.5", "abc")
    assert DIALECT.answer_headers(200, headers) == [(b"a", b"1")]
    assert DIALECT.answer_headers(503, headers) == [(b"a", b"1")]
