import re
from pathlib import Path

import trio

from vanillabeam.counters import Counters, CountersApp

PAGE = Path(__file__).parents[1] / "docs" / "OPERATIONS.md"


def get(app, path):
    sent = []

    async def send(message):
        sent.append(message)

    trio.run(app, {"type": "http", "path": path}, None, send)
    return sent[0]["status"], sent[1]["body"].decode()


def test_metrics_are_served_as_text():
    counters = Counters()
    counters.requests.labels("orders", "refused", "too-late").inc()
    counters.first_event_s.labels("llm").observe(0.3)
    counters.add_gauge("targets", "Targets.", lambda: 3)
    status, text = get(CountersApp(counters), "/metrics")
    assert status == 200
    expected = 'requests_total{outcome="refused",reason="too-late",route="orders"} 1.0'
    assert expected in text
    assert "vanillabeam_targets 3.0" in text
    assert 'first_event_seconds_bucket{le="0.4",service="llm"} 1.0' in text


def test_gauges_have_the_labels_that_are_there_when_they_are_read():
    counters, values = Counters(), {("m", "2"): 3}
    counters.add_gauges("weights", "By version.", ("model", "version"), lambda: values)
    values["n", "1"] = 4
    text = counters.text().decode()
    assert 'vanillabeam_weights{model="m",version="2"} 3.0' in text
    assert 'vanillabeam_weights{model="n",version="1"} 4.0' in text


def test_another_path_is_not_found():
    assert get(CountersApp(Counters()), "/")[0] == 404


def test_the_operators_page_lists_every_metric():
    _, text = get(CountersApp(Counters()), "/metrics")
    page = PAGE.read_text()
    names = set(re.findall(r"^# TYPE (vanillabeam_\w+?)(?:_created)? ", text, re.M))
    assert [name for name in sorted(names) if name not in page] == []
