import re
import socket
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from tests.builders import make_settings
from vanillabeam.exceptions import SettingsInvalid
from vanillabeam.metrics import Counter, Gauge, Metrics, Timer
from vanillabeam.vm import Vm

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "metrics.md"
SOURCE = ROOT / "src" / "vanillabeam"


@pytest.fixture
def statsd():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5.0)
        yield server


def make_metrics(server) -> Metrics:
    host, port = server.getsockname()
    return Metrics(host, port, data_centre="kigali-1", vm="a1")


def received(server) -> str:
    return server.recv(2048).decode("ascii")


def test_each_kind_of_metric_is_sent_under_its_name(statsd):
    metrics = make_metrics(statsd)
    metrics.count(Counter.SHEDS, 2, by="overloaded")
    assert received(statsd) == "vanillabeam.kigali-1.a1.sheds.overloaded:2|c"
    metrics.gauge(Gauge.CONFIG_INDEX, 41)
    assert received(statsd) == "vanillabeam.kigali-1.a1.config_index:41|g"
    metrics.time(Timer.FIRST_TOKEN, 0.4125)
    assert received(statsd) == "vanillabeam.kigali-1.a1.first_token:412.500000|ms"


# Guards against a `metrics.prefix` in the settings that changes nothing.
def test_names_begin_with_the_prefix_of_the_settings(statsd, tmp_path):
    host, port = statsd.getsockname()
    daemon = {"host": host, "port": port, "prefix": "prod.serving:x"}
    vm = Vm(make_settings(tmp_path, metrics=daemon))
    vm.metrics.gauge(Gauge.CONFIG_INDEX, 41)
    assert received(statsd) == "prod.serving_x.dc-1.vm-1.config_index:41|g"


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.text(min_size=1, max_size=40))
def test_no_name_can_break_out_of_its_line(by):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5.0)
        make_metrics(server).count(Counter.RETRIES, by=by)
        line = received(server)
    assert re.fullmatch(r"vanillabeam\.kigali-1\.a1\.retries\.[\w-]+:1\|c", line)


def test_an_unreachable_statsd_raises_nothing(statsd):
    host, port = statsd.getsockname()
    statsd.close()
    metrics = Metrics(host, port)
    for _ in range(1000):
        metrics.count(Counter.REQUESTS)


def test_full_socket_buffer_drops_the_metric(statsd):
    metrics = make_metrics(statsd)
    real = metrics._client._sock
    assert real.getblocking() is False

    class FullSocket:
        def sendto(self, data, address):
            raise BlockingIOError

        def close(self):
            real.close()

    metrics._client._sock = FullSocket()
    metrics.time(Timer.DRAIN, 0.1)
    metrics.close()


def test_without_a_host_and_after_close_nothing_is_sent(statsd):
    Metrics().count(Counter.REQUESTS)
    metrics = make_metrics(statsd)
    metrics.close()
    metrics.gauge(Gauge.QUEUED, 1)
    statsd.settimeout(0.05)
    with pytest.raises(TimeoutError):
        received(statsd)


def test_host_must_be_an_ip_number():
    with pytest.raises(SettingsInvalid):
        Metrics("statsd.invalid")
    Metrics("::1").close()


@pytest.mark.parametrize("kind", [Counter, Gauge, Timer])
def test_page_documents_exactly_what_the_code_can_send(kind):
    row = rf"^\| `(\w+)` \| {kind.__name__.lower()} \| (.+?) \|$"
    documented = re.findall(row, PAGE.read_text(), flags=re.MULTILINE)
    assert documented == [(metric.value, metric.meaning) for metric in kind]


@pytest.mark.parametrize("metric", [*Counter, *Gauge, *Timer])
def test_every_documented_metric_is_sent_by_some_module(metric):
    modules = (p for p in SOURCE.rglob("*.py") if p.name != "metrics.py")
    name = rf"\b{type(metric).__name__}\.{metric.name}\b"
    assert any(re.search(name, path.read_text()) for path in modules)
