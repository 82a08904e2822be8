"""HTTP client of the command-line tool for the operator API of a VM."""

import ssl
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, NamedTuple, NoReturn, TypeVar

import httpcore
import msgspec
import trio
import typer
from returns.result import Failure, Result, Success
from rich.console import Console

from vanillabeam.connecting import BROKEN, open_pool
from vanillabeam.exceptions import (
    PeerSilent,
    PeerUnreachable,
    RemoteFailure,
    Run,
    VanillabeamError,
)
from vanillabeam.httpread import request_bounded
from vanillabeam.problems import from_problem

__all__ = [
    "AddressOption",
    "CaOption",
    "JsonOption",
    "KeyOption",
    "OperatorClient",
    "exit_with",
    "print_json",
    "request_once",
    "unwrap_or_exit",
]

T = TypeVar("T")

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 60.0
#: Longest answer, such as a whole configuration or a trace.
MAX_ANSWER_BYTES = 2**30

EXIT_REFUSED = 1
EXIT_UNKNOWN = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5

AddressOption = Annotated[
    str,
    typer.Option(
        "--address",
        envvar="VANILLABEAM_ADDRESS",
        help="host:port of a VM's listener for peers.",
    ),
]
KeyOption = Annotated[
    Path | None,
    typer.Option(
        "--key-file",
        envvar="VANILLABEAM_KEY_FILE",
        help="File with your operator key.",
    ),
]
CaOption = Annotated[
    Path | None,
    typer.Option(
        "--ca",
        envvar="VANILLABEAM_CA",
        help="CA file; if given, the VM is called over TLS.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


class OperatorClient(NamedTuple):
    """HTTP client that calls one VM as an operator.

    :param address: ``host:port`` of the VM's listener for peers.
    :param key_file: file with the operator's key, or ``None`` to send no key.
    :param ca: CA file, or ``None`` for plain HTTP.
    """

    address: str
    key_file: Path | None
    ca: Path | None

    def get(self, path: str) -> Result[Any, VanillabeamError]:
        """Return the decoded JSON document at ``path``."""
        return self._request("GET", path, b"")

    def post(self, path: str, body: bytes) -> Result[Any, VanillabeamError]:
        """Post ``body`` and return the decoded JSON document of the answer."""
        return self._request("POST", path, body)

    def _request(
        self, method: str, path: str, body: bytes
    ) -> Result[Any, VanillabeamError]:
        headers = [("Content-Type", "application/json")]
        if self.key_file is not None:
            headers.append(("Authorization", f"Bearer {_read_key(self.key_file)}"))
        scheme = "http" if self.ca is None else "https"
        tls = None if self.ca is None else ssl.create_default_context(cafile=self.ca)
        url = f"{scheme}://{self.address}{path}"
        try:
            res = request_once(method, url, _timeouts(), headers, body, tls)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            return Failure(PeerUnreachable(f"{self.address}: {exc}"))
        except BROKEN as exc:
            return Failure(PeerSilent(f"{self.address}: {type(exc).__name__}"))
        if res.status >= 300:
            return Failure(from_problem(res.status, res.content))
        try:
            return Success(msgspec.json.decode(res.content))
        except msgspec.DecodeError:
            return Failure(RemoteFailure(f"{self.address} sent no JSON"))


def request_once(
    method: str,
    url: str,
    timeouts_s: dict[str, float],
    headers: Sequence[tuple[str, str]] = (),
    body: bytes = b"",
    tls: ssl.SSLContext | None = None,
) -> httpcore.Response:
    """Send a request over a connection of its own and return the whole answer.

    :param timeouts_s: seconds for each step, as httpcore names them.
    :param tls: context that verifies the VM, or ``None`` for plain HTTP.
    """

    async def request() -> httpcore.Response:
        async with open_pool(ssl_context=tls) as pool:
            return await request_bounded(
                pool,
                method,
                url,
                MAX_ANSWER_BYTES,
                headers=list(headers),
                content=body,
                extensions={"timeout": timeouts_s},
            )

    return trio.run(request)


def exit_with(exc: VanillabeamError, as_json: bool = False) -> NoReturn:
    """Print ``exc`` and its advice, and exit with the matching exit code.

    :param as_json: print type, detail and run as JSON, without the advice.
    """
    if as_json:
        print_json({"type": exc.type, "detail": exc.detail, "run": str(exc.run)})
    else:
        console = Console(stderr=True, highlight=False)
        console.print(f"[red]{exc.type}[/red]: {exc.detail}", soft_wrap=True)
        console.print(exc.advice, soft_wrap=True)
    raise typer.Exit(_exit_code(exc))


def unwrap_or_exit(result: Result[T, VanillabeamError], as_json: bool = False) -> T:
    """Return the value of ``result``, or exit as :func:`exit_with` does."""
    if isinstance(result, Failure):
        exit_with(result.failure(), as_json)
    return result.unwrap()


def print_json(document: Any) -> None:
    """Print ``document`` as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(document), indent=2)
    typer.echo(text.decode())


def _exit_code(exc: VanillabeamError) -> int:
    if isinstance(exc, PeerUnreachable):
        return EXIT_UNREACHABLE
    if exc.run is Run.UNKNOWN:
        return EXIT_UNKNOWN
    return EXIT_REFUSED


def _read_key(path: Path) -> str:
    try:
        return path.read_text().strip()
    except OSError as exc:
        raise typer.BadParameter(f"{path}: {exc.strerror}") from exc


def _timeouts() -> dict[str, float]:
    return {
        "connect": CONNECT_TIMEOUT_S,
        "read": READ_TIMEOUT_S,
        "write": READ_TIMEOUT_S,
        "pool": CONNECT_TIMEOUT_S,
    }
