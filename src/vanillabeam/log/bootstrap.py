"""Bootstrapping a group, and joining it with a new disk.

A single VM, the first of the initial VMs by name, bootstraps the group, and only
if every other initial VM replies that it belongs to no group. All other VMs join
as learners, also those that start with the system and are no initial VMs: all VMs
must have the same list, or two of them would each wait for the other's group.

An initial VM stores at its first start that it is one, as it may end before there is
a group, and its settings allow a bootstrap only once. If the first one has lost its
disk, the next one takes its place, also if it had promised to wait for that replica:
without this VM no group can have opened (where that requires all initial VMs).
"""

import secrets
from collections.abc import Sequence

import trio
from loguru import logger
from returns.result import Failure

from vanillabeam import wire
from vanillabeam.log.client import LogClient
from vanillabeam.log.exceptions import LogError
from vanillabeam.log.founding import BootstrapGroup
from vanillabeam.log.loop import ReplicaLoop
from vanillabeam.log.records import Address, Member, Membership
from vanillabeam.log.requests import (
    GroupRequest,
    IdentityReply,
    IdentityRequest,
    identity_path,
)
from vanillabeam.peercall import PeerCall

__all__ = ["Bootstrapper", "is_initial"]

GROUP_ID_BYTES = 8
RETRY_S = 0.25
CALL_TIMEOUT_S = 2.0
#: Shortest time between two warnings of a replica that asks to join.
WARN_S = 10.0


class Bootstrapper:
    """Bootstraps the group or requests to join it.

    :param group: name of the group.
    :param me: this VM.
    :param initial: VMs of the group's initial membership; this VM alone if empty.
    :param bootstrap: whether this VM may bootstrap the group, by its settings or by
        what it stored at its first start.
    :ivar seeds: further VMs to ask, of settings that have changed since the start.
    :ivar has_resigned: whether this replica stops and joins no group any more.
    :ivar founds: whether this VM may bootstrap the group if none before it may.
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
        self._initial = sorted(set(initial) or {me})
        self._others = [vm for vm in self._initial if vm.vm != me.vm]
        self._before = [vm for vm in self._initial if vm.vm < me.vm]
        self.founds = bootstrap and is_initial(me, self._initial)
        self.has_resigned = False
        self.seeds: tuple[Address, ...] = ()
        self._loop = loop
        self._client = client
        self._call = call
        self._warned_s = float("-inf")

    async def run(self) -> None:
        """Bootstrap or join whenever this replica has no group or no leader.

        A replica that was removed while it was silent may not have received that
        change, so it keeps asking. A join request from a member has no effect.
        """
        while True:
            await trio.sleep(self._retry_s())
            if self.has_resigned:
                return
            state = self._loop.replica
            if not state.group_id and await self._is_first():
                await self._bootstrap_or_join()
            elif not state.leader:
                await self._request_join()

    def _retry_s(self) -> float:
        """Return the retry period in seconds: a member first awaits an election."""
        state = self._loop.replica
        return state.settings.election_s if state.group_id else RETRY_S

    async def _bootstrap_or_join(self) -> None:
        replicas = await self._others_without_group()
        if replicas is not None:
            await self._bootstrap(replicas)
        else:
            await self._request_join()

    async def _is_first(self) -> bool:
        """Return whether no initial VM before this one may bootstrap the group."""
        if not self.founds:
            return False
        for other in self._before:
            identity = await self._identity(other, founder="")
            if identity is None or identity["group_id"]:
                return False
            if identity.get("founds", True):
                return False
        return True

    async def _others_without_group(self) -> frozenset[str] | None:
        """Return the member ids of the other initial VMs, which promise to wait.

        :returns: ``None`` unless each of them replies that it has no group.
        """
        replicas = set()
        for other in self._others:
            identity = await self._identity(other, self._loop.replica.member_id)
            if identity is None or identity["group_id"]:
                return None
            replicas.add(identity["member_id"])
        return frozenset(replicas)

    async def _identity(self, other: Address, founder: str) -> IdentityReply | None:
        body = wire.encode(IdentityRequest(founder=founder))
        with trio.move_on_after(CALL_TIMEOUT_S):
            path = identity_path(self._group)
            answer = await self._call(other.address, path, body)
            if isinstance(answer, Failure):
                return None
            return wire.decode(IdentityReply, answer.unwrap()).value_or(None)
        return None

    async def _bootstrap(self, replicas: frozenset[str]) -> None:
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
            BootstrapGroup(secrets.token_hex(GROUP_ID_BYTES), membership, replicas)
        )

    async def _request_join(self) -> None:
        """Ask the members that this replica knows, the initial VMs and the seeds."""
        seeds = [seed for seed in self.seeds if seed.vm != self._me.vm]
        known = [*self._loop.replica.peers, *self._others, *seeds]
        if not known:
            return
        self._client.set_members(known)
        member = Member(self._loop.replica.member_id, *self._me)
        outcome = await self._client.request(GroupRequest(kind="knock", member=member))
        if isinstance(outcome, Failure):
            self._warn(outcome.failure())

    def _warn(self, failure: LogError) -> None:
        """Log why a request to join had no effect, unless one was logged just now."""
        now_s = trio.current_time()
        if now_s < self._warned_s + WARN_S:
            return
        self._warned_s = now_s
        state = self._loop.replica
        if not state.group_id:
            logger.warning("{} has not joined yet: {}", self._me.vm, failure)
        elif state.membership.member(state.member_id):
            logger.warning("{} is a member without a leader: {}", self._me.vm, failure)
        else:
            logger.warning("{} is not a member any more: {}", self._me.vm, failure)


def is_initial(me: Address, initial: Sequence[Address]) -> bool:
    """Return whether ``me`` is one of the initial VMs, or there is no other."""
    return not initial or any(vm.vm == me.vm for vm in initial)
