import json
from typing import Any, NamedTuple

from vanillabeam.tickets import Ticket, TicketMachine, parse

DIGEST = "ab" * 32
SECRET = "cd" * 32


class Applied(NamedTuple):
    index: int
    reply: str


def make_body(number: int = 1, author: str = "ama", **sections: Any) -> bytes:
    remove = sections.pop("remove", {})
    sections = sections or ({} if remove else {"models": {"m": {"version": "1"}}})
    document = {"number": number, "author": author, "set": sections}
    if remove:
        document["remove"] = remove
    return json.dumps(document).encode()


def make_ticket(number: int = 1, author: str = "ama", **sections: Any) -> Ticket:
    return parse(make_body(number, author, **sections)).unwrap()


def make_workspace(**fields: Any) -> dict[str, Any]:
    return {"key_digests": [DIGEST], "cache_secret": SECRET, **fields}


def apply(machine: TicketMachine, index: int, body: bytes) -> dict[str, Any]:
    return json.loads(machine.apply(index, body.decode()))
