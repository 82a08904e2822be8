"""Bootstrapping a group, and joining it with a new disk.

The initial VMs that start with the whole system may bootstrap the group, and keep
that on disk, as a later start is not told so. The first of them by name does it, and
only if every other initial VM replies that it belongs to no group. Another one does
it if all before it reply that they may not: their first process has ended before it
could keep anything. All other VMs join as learners. A VM that is no initial VM never
bootstraps: the others, who don't know it, would not find the group.
"""

import secrets
from collections.abc import Sequence

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.log.client import LogClient
from vanillabeam.log.contents import Contents
from vanillabeam.log.exceptions import LogError
from vanillabeam.log.loop import BootstrapGroup, ReplicaLoop
from vanillabeam.log.records import Address, Member, Membership
from vanillabeam.log.requests import (
    GroupRequest,
    IdentityReply,
    IdentityRequest,
    identity_path,
)
from vanillabeam.log.storage import Storage
from vanillabeam.peercall import PeerCall

__all__ = ["Bootstrapper", "keep_founders"]

GROUP_ID_BYTES = 8
RETRY_S = 0.25
#: Retry period of a replica that has a group but no leader.
MEMBER_RETRY_S = 3.0
CALL_TIMEOUT_S = 2.0


def keep_founders(
    storage: Storage, contents: Contents, me: Address, initial: Sequence[Address]
) -> Result[tuple[Storage, Contents], LogError]:
    """Store that this VM and the other initial VMs may bootstrap the group.

    :param initial: VMs of the group's initial membership; empty for this one alone.
    """
    identity = storage.identity
    is_initial = not initial or me.vm in {vm.vm for vm in initial}
    if not is_initial or identity["group_id"] or "founders" in identity:
        return Success((storage, contents))
    saved = storage.save_identity(founders=sorted({*initial, me}))
    return saved.map(lambda _: (storage, contents))


class Bootstrapper:
    """Bootstraps the group or requests to join it.

    :param group: name of the group.
    :param me: this VM.
    :param initial: VMs to ask for the group.
    :param loop: loop of this VM's replica.
    :param client: sends join requests to the group's leader.
    :param call: sends a request to another VM.
    """

    def __init__(
        self,
        group: str,
        me: Address,
        initial: Sequence[Address],
        loop: ReplicaLoop,
        client: LogClient,
        call: PeerCall,
    ):
        self._group = group
        self._me = me
        founders = loop.storage.identity.get("founders", ())
        self._founders = [Address(*founder) for founder in founders]
        self._contacts = [vm for vm in initial if vm.vm != me.vm]
        self._loop = loop
        self._client = client
        self._call = call

    async def run(self) -> None:
        """Bootstrap or join whenever this replica has no group or no leader.

        A replica that was removed and is then allowed again may have received
        neither change, so it keeps asking. A join request from a member has no
        effect.
        """
        while True:
            await trio.sleep(self._retry_s())
            state = self._loop.replica
            if not state.group_id and await self._is_founder():
                await self._bootstrap_or_join()
            elif self._contacts and not state.leader:
                await self._request_join()

    def _retry_s(self) -> float:
        return MEMBER_RETRY_S if self._loop.replica.group_id else RETRY_S

    async def _is_founder(self) -> bool:
        """Return whether this VM may bootstrap the group and none before it may."""
        if not self._founders:
            return False
        for other in self._founders:
            if other.vm == self._me.vm:
                return True
            identity = await self._identity(other, "")
            if identity is None or identity["group_id"]:
                return False
            if identity.get("may_bootstrap", True):
                return False
        return False

    async def _bootstrap_or_join(self) -> None:
        if await self._no_group_exists():
            await self._bootstrap()
        elif self._contacts:
            await self._request_join()

    async def _no_group_exists(self) -> bool:
        """Return whether every other initial VM replies that it has no group."""
        founder = self._loop.replica.member_id
        for other in self._founders:
            if other.vm == self._me.vm:
                continue
            identity = await self._identity(other, founder)
            if identity is None or identity["group_id"]:
                return False
        return True

    async def _identity(self, other: Address, founder: str) -> IdentityReply | None:
        body = wire.encode(IdentityRequest(founder=founder))
        with trio.move_on_after(CALL_TIMEOUT_S):
            path = identity_path(self._group)
            answer = await self._call(other.address, path, body)
            if isinstance(answer, Failure):
                return None
            return wire.decode(IdentityReply, answer.unwrap()).value_or(None)
        return None

    async def _bootstrap(self) -> None:
        member = Member(self._loop.replica.member_id, *self._me)
        membership = Membership(
            index=1,
            voters=(member,),
            allowed=tuple(vm.vm for vm in self._founders),
            founding=len(self._founders),
            opened=len(self._founders) == 1,
        )
        logger.warning("{} bootstraps group {}", self._me.vm, self._group)
        await self._loop.put(
            BootstrapGroup(secrets.token_hex(GROUP_ID_BYTES), membership)
        )

    async def _request_join(self) -> None:
        member = Member(self._loop.replica.member_id, *self._me)
        outcome = await self._client.request(GroupRequest(kind="knock", member=member))
        if isinstance(outcome, Failure):
            failure = outcome.failure()
            logger.warning("{} has not joined yet: {}", self._me.vm, failure)
