"""``make demo``: the main job from an empty folder, in one process.

A VM with every role, a fake target, a ticket, a prompt and its follow-up.
"""

import json
import tempfile
import time
from functools import partial
from pathlib import Path

import httpcore
import trio

from bench.fake_target import FakeTargetSettings, serve
from vanillabeam import logs
from vanillabeam.settings import Settings, load
from vanillabeam.vm import Vm

ROOT = Path(__file__).parents[1]
SETTINGS = ROOT / "examples" / "single.json"
TICKET = ROOT / "examples" / "ticket-1.json"
OPERATOR_KEY = "demo"
CALLER_KEY = "demo-caller"
LEDGER_LINES = 2_000
STEP_S = 0.05
LIMIT_S = 30.0


def main() -> None:
    """Run the demo."""
    with tempfile.TemporaryDirectory() as folder:
        code = trio.run(demo, _settings(Path(folder)))
    print(f"stopped with exit code {code}")
    raise SystemExit(code)


async def demo(cfg: Settings) -> int:
    """Start, apply a ticket, send a prompt and its follow-up, stop."""
    vm = Vm(cfg)
    async with trio.open_nursery() as nursery:
        nursery.cancel_scope.deadline = trio.current_time() + LIMIT_S
        await nursery.start(vm.run)
        print(f"vanillabeamd serves callers at {vm.address('callers')}")
        target = FakeTargetSettings(
            target="gpu-1",
            data_centre=cfg["data_centre"],
            listener=vm.address("targets"),
            models={"ledger": "v1"},
        )
        await nursery.start(partial(serve, target))
        await _apply_ticket(vm.address("peers"))
        await _wait_for_target(vm)
        await _converse(vm.address("callers"))
        vm.drain()
        code = await vm.wait_stopped()
        nursery.cancel_scope.cancel()
    return code


def _settings(folder: Path) -> Settings:
    cfg = load(SETTINGS).unwrap()
    cfg["data_folder"] = str(folder)
    for listener in (*cfg["listeners"].values(), cfg["store"]["listener"]):
        listener["port"] = 0
    cfg["logs"]["level"] = "WARNING"
    logs.configure(cfg["logs"], cfg["vm"], cfg["data_centre"])
    return cfg


async def _apply_ticket(address: str) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            res = await pool.request(
                "POST",
                f"http://{address}/operator/tickets",
                headers=[("Authorization", f"Bearer {OPERATOR_KEY}")],
                content=TICKET.read_bytes(),
            )
            if res.status == 200:
                break
            await trio.sleep(STEP_S)
    answer = json.loads(res.content)
    print(f"ticket {answer['number']} accepted at index {answer['index']}")


async def _wait_for_target(vm: Vm) -> None:
    while not (vm.lifecycle.is_ready and vm.components.targets.status()["owned"]):
        await trio.sleep(STEP_S)
    print("target gpu-1 has announced itself")


async def _converse(address: str) -> None:
    ledger = "\n".join(f"crate {n}: 24 bottles" for n in range(LEDGER_LINES))
    messages = [{"role": "user", "content": ledger + "\nHow many crates?"}]
    answer = await _ask(address, messages)
    messages.append({"role": "assistant", "content": answer})
    messages.append({"role": "user", "content": "And how many bottles?"})
    await _ask(address, messages)


async def _ask(address: str, messages: list[dict[str, str]]) -> str:
    body = {
        "model": "ledger",
        "messages": messages,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    headers = [
        ("Authorization", f"Bearer {CALLER_KEY}"),
        ("Content-Type", "application/json"),
    ]
    began_s = time.monotonic()
    first_token_s = 0.0
    text: list[str] = []
    usage: dict = {}
    async with httpcore.AsyncConnectionPool() as pool:
        async with pool.stream(
            "POST",
            f"http://{address}/v1/chat/completions",
            headers=headers,
            content=json.dumps(body).encode(),
        ) as res:
            buffer = b""
            async for part in res.aiter_stream():
                buffer += part
                *events, buffer = buffer.split(b"\n\n")
                for chunk in _chunks(events):
                    usage = chunk.get("usage") or usage
                    for choice in chunk["choices"]:
                        text.append(choice["delta"].get("content") or "")
                    if text and not first_token_s:
                        first_token_s = time.monotonic() - began_s
    print(f"prompt:      {messages[-1]['content'][-40:]!r}")
    print(f"answer:      {''.join(text)!r}")
    print(f"first token: {first_token_s * 1000:.0f} ms")
    cached = usage["prompt_tokens_details"]["cached_tokens"]
    share = cached / usage["prompt_tokens"]
    print(f"reused:      {share:.0%} of {usage['prompt_tokens']} prompt tokens")
    return "".join(text)


def _chunks(events: list[bytes]):
    for event in events:
        for line in event.splitlines():
            if line.startswith(b"data: {"):
                yield json.loads(line.removeprefix(b"data: "))


if __name__ == "__main__":
    main()
