"""Log lines of attempts that fail."""

from loguru import logger

from tests.forwarding.builders import make_prompt
from tests.forwarding.exchanges import EntryVm, Reply, play


# Guards against logs that don't tell what requests had in common that broke with their
# targets.
def test_a_failed_attempt_logs_the_shared_parts_and_how_long_it_was_open(monkeypatch):
    vm = EntryVm(monkeypatch, ("t-0",), attempts=1)
    vm.replies["t-0"] = [Reply(0, after_s=0.25)]
    vm.targets[0] = vm.targets[0]._replace(versions={"m": 1}, sequence=2)
    lines = []
    sink = logger.add(lambda line: lines.append(line.record))

    async def main():
        vm.announce()
        await vm.request(metadata=make_prompt())

    try:
        play(main)
    finally:
        logger.remove(sink)
    (failed,) = [line["extra"] for line in lines if line["message"] == "attempt-failed"]
    assert failed["parts"] == ["sys", "s-1"]
    assert failed["open_s"] == 0.25
