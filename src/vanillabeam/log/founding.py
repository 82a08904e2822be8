"""Messages and data with which a replica bootstraps its group, or leaves it to another.

The loop of the replica executes them; :mod:`vanillabeam.log.bootstrap` sends them.
"""

from typing import NamedTuple

import trio
from returns.result import Failure, Result, Success

from vanillabeam.log.contents import Contents
from vanillabeam.log.entries import encode_membership
from vanillabeam.log.events import SaveEntries, SaveTerm
from vanillabeam.log.exceptions import LogError
from vanillabeam.log.records import Entry, EntryKind, Membership
from vanillabeam.log.storage import Storage

__all__ = [
    "BootstrapGroup",
    "BootstrapPromise",
    "bootstrap_contents",
    "is_free_to_bootstrap",
    "store_bootstrap",
    "store_promise",
]

BOOTSTRAP_TERM = 1


class BootstrapGroup(NamedTuple):
    """Bootstrap the group with this replica as its only voter.

    :param replicas: member ids of all other initial VMs' replicas, which have no group.
    """

    group_id: str
    membership: Membership
    replicas: frozenset[str] = frozenset()


class BootstrapPromise(NamedTuple):
    """Store a promise to let another replica bootstrap the group.

    :param founder: member id of that replica.
    :param answer: receives ``None`` once the promise is stored.
    """

    founder: str
    answer: trio.MemorySendChannel[None]


def bootstrap_contents(identity: dict, item: BootstrapGroup) -> Contents:
    """Return the contents of a bootstrapping replica's data folder.

    They consist of one entry with the initial membership, of which the replica
    is the only voter.
    """
    body = encode_membership(item.membership)
    entry = Entry(item.membership.index, BOOTSTRAP_TERM, EntryKind.MEMBERS, body)
    return Contents(
        identity | {"group_id": item.group_id},
        entries=(entry,),
        term=BOOTSTRAP_TERM,
        voted_for=identity["member_id"],
    )


def store_bootstrap(storage: Storage, contents: Contents) -> Result[None, LogError]:
    """Store the contents of a bootstrapping replica's data folder.

    The group id is stored last: the group exists from then on.
    """
    term = SaveTerm(contents.term, contents.voted_for)
    stored = storage.write([term, SaveEntries(contents.entries)], 0)
    if isinstance(stored, Failure):
        return stored
    return storage.save_identity(group_id=contents.identity["group_id"])


def is_free_to_bootstrap(
    storage: Storage, item: BootstrapGroup, requires_all: bool
) -> bool:
    """Return whether this replica has promised no existing one to wait for it.

    :param requires_all: whether a group opens only with each initial VM.
    """
    promised = storage.identity["promised"]
    return not promised or (requires_all and promised not in item.replicas)


def store_promise(storage: Storage, item: BootstrapPromise) -> Result[None, LogError]:
    """Store the promise to wait for a founder, in place of an earlier one."""
    if storage.identity["promised"] == item.founder:
        return Success(None)
    return storage.save_identity(promised=item.founder)
