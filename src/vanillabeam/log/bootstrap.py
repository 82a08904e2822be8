"""Bootstrapping a group, and joining it with a new disk.

A single VM, the first of the initial VMs by name, bootstraps the group, and only
if every other initial VM replies that it belongs to no group. All other VMs join
as learners. A VM that is no initial VM never bootstraps: the others, who don't know
it, would not find the group.
"""

import secrets
from collections.abc import Sequence

import trio
from loguru import logger
from returns.result import Failure

from vanillabeam import wire
from vanillabeam.log.client import LogClient
from vanillabeam.log.loop import BootstrapGroup, ReplicaLoop
from vanillabeam.log.records import Address, Member, Membership
from vanillabeam.log.requests import (
    GroupRequest,
    IdentityReply,
    IdentityRequest,
    identity_path,
)
from vanillabeam.peercall import PeerCall

__all__ = ["Bootstrapper"]

GROUP_ID_BYTES = 8
RETRY_S = 0.25
#: Retry period of a replica that has a group but no leader.
MEMBER_RETRY_S = 3.0
CALL_TIMEOUT_S = 2.0


class Bootstrapper:
    """Bootstraps the group or requests to join it.

    :param group: name of the group.
    :param me: this VM.
    :param initial: VMs of the group's initial membership.
    :param bootstrap: whether the settings allow this VM to bootstrap the group.
    :param loop: loop of this VM's replica.
    :param client: sends join requests to the group's leader.
    :param call: sends a request to another VM.
    """

    def __init__(
        self,
        group: str,
        me: Address,
        initial: Sequence[Address],
        bootstrap: bool,
        loop: ReplicaLoop,
        client: LogClient,
        call: PeerCall,
    ):
        self._group = group
        self._me = me
        is_initial = not initial or me.vm in {vm.vm for vm in initial}
        is_founder = bootstrap and is_initial
        self._initial = sorted(set(initial) | {me} if is_founder else set(initial))
        self._others = [vm for vm in self._initial if vm.vm != me.vm]
        self._may_bootstrap = is_founder and self._initial[0].vm == me.vm
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
            if not state.group_id and self._may_bootstrap:
                await self._bootstrap_or_join()
            elif self._others and not state.leader:
                await self._request_join()

    def _retry_s(self) -> float:
        return MEMBER_RETRY_S if self._loop.replica.group_id else RETRY_S

    async def _bootstrap_or_join(self) -> None:
        if await self._no_group_exists():
            await self._bootstrap()
        elif self._others:
            await self._request_join()

    async def _no_group_exists(self) -> bool:
        """Return whether every other initial VM replies that it has no group."""
        for other in self._others:
            identity = await self._identity(other)
            if identity is None or identity["group_id"]:
                return False
        return True

    async def _identity(self, other: Address) -> IdentityReply | None:
        founder = self._loop.replica.member_id
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
            allowed=tuple(vm.vm for vm in self._initial),
            founding=len(self._initial),
            opened=len(self._initial) == 1,
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
