"""Names of the metrics and a client that sends them to statsd."""

import ipaddress
import re
from enum import StrEnum
from typing import Self

from statsd import StatsClient

from vanillabeam.exceptions import SettingsInvalid

__all__ = ["Counter", "Gauge", "Metrics", "Timer"]

PREFIX = "vanillabeam"
DEFAULT_PORT = 8125
_MS_PER_S = 1000.0
_UNSAFE = re.compile(r"[^A-Za-z0-9_-]+")


class _Metric(StrEnum):
    """Name of a metric; :attr:`meaning` is its description in ``docs/metrics.md``."""

    meaning: str

    def __new__(cls, name: str, meaning: str) -> Self:
        member = str.__new__(cls, name)
        member._value_ = name
        member.meaning = meaning
        return member


class Counter(_Metric):
    """Names of counters, which sum events."""

    REQUESTS = "requests", "callers' requests that ended, by outcome"
    SERVED = "served", "requests answered whole, by data centre of the target"
    PROMPT_TOKENS = "prompt_tokens", "prompt tokens of requests that ran"
    RECOMPUTED_TOKENS = (
        "recomputed_tokens",
        "prompt tokens computed again although they had been before",
    )
    LINK_BYTES = "link_bytes", "KV bytes moved on this VM's orders, by direction"
    SHEDS = "sheds", "requests refused before they started, by reason"
    RETRIES = "retries", "attempts after the first, by reason"
    RETRIES_DENIED = "retries_denied", "retries that the budget did not allow"
    RESUMES = "resumes", "streams resumed after a silent or lost connection"
    CLAIMS_UNKNOWN = "claims_unknown", "calls refused, an earlier outcome being unknown"
    LOG_COMMITS = "log_commits", "entries committed, by log"
    ELECTIONS = "elections", "terms begun, by log"
    REQUESTS_CUT = "requests_cut", "requests that a planned stop cut off"
    INVARIANT_BROKEN = "invariant_broken", "invariants found broken, by module"


class Gauge(_Metric):
    """Names of gauges, which hold current values."""

    CONFIG_INDEX = "config_index", "ticket index in force on this VM"
    CONFIG_INDEX_SEEN = "config_index_seen", "highest ticket index heard of"
    COMMIT_INDEX = "commit_index", "last index committed, by log"
    LOSSES_LEFT = "losses_left", "control VMs that the quorum can still lose, by log"
    IN_SERVICE = "in_service", "1 if this VM has a data centre in service, by name"
    READY_TARGETS = "ready_targets", "targets that take work, by data centre"
    TARGETS_OWNED = "targets_owned", "targets that this VM owns"
    PEERS_ALIVE = "peers_alive", "VMs that this one holds alive"
    OPEN_REQUESTS = "open_requests", "callers' requests under way"
    QUEUED = "queued", "requests that wait for a permit, by priority"
    RECOMPUTED_SHARE = "recomputed_share", "recomputed among prompt tokens, last minute"
    STORE_BYTES = "store_bytes", "bytes held by this store, by tier"


class Timer(_Metric):
    """Names of timers, sent in milliseconds."""

    FIRST_TOKEN = "first_token", "from the request to its first token"
    TOKEN_GAP = "token_gap", "mean time between tokens of one answer"
    QUEUE_WAIT = "queue_wait", "from the request to its first attempt, with imports"
    DRAIN = "drain", "from the stop signal to the last answer"


class Metrics:
    """Client that sends metrics to statsd, or does nothing without a host.

    Each metric is one UDP datagram from a non-blocking socket. If statsd is
    down or the socket's buffer is full, metrics are lost; nothing else fails
    and no caller waits.

    :param host: IP address of statsd; ``None`` sends nothing.
    :param port: UDP port of statsd.
    :param data_centre: part of each metric's name after the prefix.
    :param vm: part of each metric's name after the data centre.
    :param prefix: first part of each metric's name; dots divide it further.
    :raises SettingsInvalid: if ``host`` is not an IP address. Host names are
        not allowed because resolving them blocks the process.

    >>> metrics = Metrics("127.0.0.1", data_centre="kigali-1", vm="a1")
    >>> metrics.count(Counter.SHEDS, by="overloaded")
    >>> metrics.time(Timer.FIRST_TOKEN, 0.412)
    """

    def __init__(
        self,
        host: str | None = None,
        port: int = DEFAULT_PORT,
        data_centre: str = "",
        vm: str = "",
        prefix: str = PREFIX,
    ):
        self._client: StatsClient | None = None
        if host is None:
            return
        parts = (*prefix.split("."), data_centre, vm)
        start = ".".join(_sanitize(part) for part in parts if part)
        ipv6 = _is_ipv6(host)
        self._client = StatsClient(host, port, prefix=start, ipv6=ipv6)
        # By default the socket blocks while the kernel's send buffer is full.
        self._client._sock.setblocking(False)

    def count(self, counter: Counter, number: int = 1, by: str = "") -> None:
        """Add ``number`` to ``counter``.

        :param by: optional last part of the name, such as a reason or a direction.
        """
        if self._client is not None:
            self._client.incr(_name(counter, by), number)

    def gauge(self, gauge: Gauge, value: float, by: str = "") -> None:
        """Set ``gauge`` to ``value``."""
        if self._client is not None:
            self._client.gauge(_name(gauge, by), value)

    def time(self, timer: Timer, seconds: float, by: str = "") -> None:
        """Record a duration of ``seconds``."""
        if self._client is not None:
            self._client.timing(_name(timer, by), seconds * _MS_PER_S)

    def close(self) -> None:
        """Close the socket; later calls do nothing."""
        if self._client is not None:
            self._client.close()
            self._client = None


def _name(metric: _Metric, by: str) -> str:
    return f"{metric}.{_sanitize(by)}" if by else str(metric)


def _sanitize(part: str) -> str:
    return _UNSAFE.sub("_", part)


def _is_ipv6(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).version == 6
    except ValueError as exc:
        raise SettingsInvalid(f"statsd host {host!r} is no IP number") from exc
