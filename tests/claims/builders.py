"""Builders of claims and commands, and a log that applies them."""

import random
from typing import NamedTuple

import msgspec
from returns.result import Failure, Success

from vanillabeam.claims import (
    Abandon,
    Claim,
    ClaimMachine,
    ClaimsClient,
    ClaimsClientSettings,
    ClaimSettings,
    Finish,
    Withdraw,
)
from vanillabeam.exceptions import Run, VanillabeamError

START_MS = 1_700_000_000_000
LEASE_MS = 60_000
RETENTION_S = 86_400.0
CONFIG = ClaimsClientSettings(
    claim_timeout_s=0.05, retry_interval_s=0.01, record_timeout_s=5.0
)


def make_machine(machine_class=ClaimMachine, **settings):
    return machine_class(ClaimSettings(**{"retention_s": RETENTION_S, **settings}))


def make_outcome(body="b2s=", status=200):
    return {"status": status, "headers": [], "body": body, "bytes": 2}


def make_uuid7(time_ms, number=0):
    value = f"{time_ms:012x}7{0:03x}8{number:015x}"
    return f"{value[:8]}-{value[8:12]}-{value[12:16]}-{value[16:20]}-{value[20:]}"


class Driver:
    """Applies commands to a machine in place of a log."""

    def __init__(self, machine=None):
        self.machine = machine or make_machine()
        self.now_ms = START_MS

    def apply(self, command):
        text = msgspec.json.encode(command).decode()
        return msgspec.json.decode(self.machine.apply(self.machine.index + 1, text))

    def command_fields(self, key, token, entry="e1"):
        return {
            "workspace": "w",
            "key": key,
            "token": token,
            "entry": entry,
            "now_ms": self.now_ms,
        }

    def claim(self, key="k", token="t1", digest="d", **fields):
        command = Claim(
            **self.command_fields(key, token, fields.pop("entry", "e1")),
            digest=digest,
            lease_ms=fields.pop("lease_ms", LEASE_MS),
            **fields,
        )
        return self.apply(command)["status"]

    def finish(self, key="k", token="t1", outcome=None):
        command_fields = self.command_fields(key, token)
        return self.apply(Finish(**command_fields, outcome=outcome or make_outcome()))

    def withdraw(self, key="k", token="t1"):
        return self.apply(Withdraw(**self.command_fields(key, token)))["status"]

    def abandon(self, key="k", token="t1"):
        return self.apply(Abandon(**self.command_fields(key, token)))["status"]


class Applied(NamedTuple):
    index: int
    reply: str


class NoQuorum(VanillabeamError):
    type = "no-quorum"
    run = Run.NOT_RUN


class ReplyLost(VanillabeamError):
    type = "reply-lost"


class FakeLog:
    """A shard of the log that can lose its quorum or its replies."""

    def __init__(self):
        self.machine = make_machine()
        self.quorum = True
        self.lose_replies = 0
        self.commands = []

    async def propose(self, command):
        if not self.quorum:
            return Failure(NoQuorum())
        self.commands.append(command)
        reply = self.machine.apply(self.machine.index + 1, command)
        if self.lose_replies:
            self.lose_replies -= 1
            return Failure(ReplyLost())
        return Success(Applied(self.machine.index, reply))


def make_claims(log, entry="e1", seed=1, cfg=CONFIG):
    return ClaimsClient(entry, [log.propose], random.Random(seed), cfg)
