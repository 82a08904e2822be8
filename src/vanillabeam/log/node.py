"""Shell of one replica: its API for its own VM and for other VMs."""

import random
import secrets
from collections.abc import Callable, Sequence
from pathlib import Path

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.log.bootstrap import Bootstrapper, is_initial
from vanillabeam.log.client import LogClient
from vanillabeam.log.contents import Contents
from vanillabeam.log.elections import hears_quorum
from vanillabeam.log.events import Received, Role, TransferLeadership
from vanillabeam.log.exceptions import (
    DataFolderDamaged,
    LogError,
    ReplicaStopped,
    StorageFailed,
)
from vanillabeam.log.folder import DiskFolder, Folder, group_folder
from vanillabeam.log.loop import EventBatch, ReplicaLoop
from vanillabeam.log.loopcalls import (
    exchange_messages,
    promise_bootstrap,
    submit_request,
)
from vanillabeam.log.messages import (
    Envelope,
    decode_message_batch,
    encode_message_batch,
)
from vanillabeam.log.outbox import Outbox
from vanillabeam.log.persistence import load_replica
from vanillabeam.log.records import (
    DEFAULT_SETTINGS,
    Address,
    Applied,
    LogSettings,
    Member,
    StateMachine,
)
from vanillabeam.log.requests import (
    GroupRequest,
    IdentityReply,
    IdentityRequest,
    LogStatus,
    failure_outcome,
    identity_path,
    messages_path,
    request_path,
    status_path,
)
from vanillabeam.log.status import replica_status, stopped_status
from vanillabeam.log.storage import Storage, open_storage
from vanillabeam.log.waiters import Waiters
from vanillabeam.peercall import PeerCall, PeerRoutes

__all__ = ["LogNode", "make_random_id"]

ID_BYTES = 8
#: Seconds between two attempts to use a data folder that has failed.
REOPEN_S = 1.0
#: Election timeouts after which an answer of another replica is given up.
ANSWER_ELECTIONS = 3


def make_random_id() -> str:
    """Return a random unique id."""
    return secrets.token_hex(ID_BYTES)


class LogNode:
    """One replica of a group.

    :param group: name of the group; a process can run replicas of several.
    :param vm: name of this VM.
    :param address: ``host:port`` of this VM's listener for peers.
    :param data_folder: data folder of the VM; each group has a subfolder in it.
    :param machine: state machine that committed commands are applied to.
    :param initial_members: VMs of the group's initial membership; for a replica
        that joins later, VMs to contact.
    :param call: sends a request to another VM.
    :param rng: seeded generator that randomises election timeouts.
    :param bootstrap: whether this VM may bootstrap the group.
    :param folder: replaces the folder on disk, for instance in tests.
    :param make_id: returns an id that no other replica has ever had.
    :ivar failure: reason why the replica does not run, else ``None``.

    After a failed write, or if the data folder can't be used, the replica begins again
    from its files once they can be written.

    >>> node = LogNode("tickets", "vm-1", "10.0.0.1:7003", Path("/data"), machine,
    ...                members, call, random.Random(), bootstrap=True)
    >>> await nursery.start(node.run)
    >>> result = await node.propose('{"number": 7}')
    >>> result.unwrap().reply
    'accepted'
    """

    def __init__(
        self,
        group: str,
        vm: str,
        address: str,
        data_folder: Path,
        machine: StateMachine,
        initial_members: Sequence[Address],
        call: PeerCall,
        rng: random.Random,
        settings: LogSettings = DEFAULT_SETTINGS,
        *,
        bootstrap: bool = False,
        folder: Folder | None = None,
        make_id: Callable[[], str] = make_random_id,
    ):
        self.group = group
        self.vm = vm
        self.address = address
        self.settings = settings
        self.failure: LogError | None = None
        self._data_folder = data_folder
        self._folder = folder
        self._machine = machine
        self._initial = tuple(Address(*member) for member in initial_members)
        self._seeds: tuple[Address, ...] = ()
        self._peer_call = call
        self._rng = rng
        self._bootstrap = bootstrap
        self._make_id = make_id
        self._waiters = Waiters(machine)
        self._loop: ReplicaLoop | None = None
        self._bootstrapper: Bootstrapper | None = None
        contacts = self._initial or (Address(vm, address),)
        self._client = LogClient(group, contacts, self._call, settings)
        self._routes: PeerRoutes = {
            messages_path(group): self._on_messages,
            request_path(group): self._on_request,
            identity_path(group): self._on_identity,
            status_path(group): self._on_status,
        }

    def routes(self) -> PeerRoutes:
        """Return the handlers for requests of other VMs, keyed by path."""
        return dict(self._routes)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; a replica that fails only reports it in its status."""
        async with trio.open_nursery() as nursery:
            started = trio.Event()
            nursery.start_soon(self._keep_running, started)
            await started.wait()
            task_status.started()

    async def _keep_running(self, started: trio.Event) -> None:
        """Run the replica, and again after each failure of its storage.

        :param started: is set once the replica runs or has failed.
        """
        has_failed = False
        while True:
            opened = await trio.to_thread.run_sync(self._open, has_failed)
            if isinstance(opened, Failure):
                failure = opened.failure()
            else:
                failure = await self._run_replica(*opened.unwrap(), started)
            self._report_failure(failure)
            started.set()
            if not isinstance(failure, StorageFailed):
                await trio.sleep_forever()
            has_failed = True
            await trio.sleep(REOPEN_S)

    def _report_failure(self, failure: LogError) -> None:
        """Log a failure, unless it is the same as before."""
        if repr(failure) != repr(self.failure):
            logger.critical("{}: {}: {}", self.group, failure.type, failure)
        self.failure = failure

    async def _run_replica(
        self, storage: Storage, contents: Contents, started: trio.Event
    ) -> LogError:
        """Run a replica until it fails; return its failure."""
        try:
            async with trio.open_nursery() as nursery:
                made = self._make_loop(storage, contents, nursery)
                if isinstance(made, Failure):
                    return made.failure()
                if self.failure is not None:
                    logger.warning("{}: the data folder works again", self.group)
                self._loop, self.failure = made.unwrap(), None
                self._bootstrapper = self._make_bootstrapper()
                nursery.start_soon(self._bootstrapper.run)
                started.set()
                await self._loop.run()
                nursery.cancel_scope.cancel()
        finally:
            storage.close()
        return self._loop.failure

    async def propose(
        self, command: str, after: int | None = None
    ) -> Result[Applied, LogError]:
        """Propose a command to the leader; wait until it is committed and applied.

        :param after: index of the log that the command's author knew, as in
            :class:`~vanillabeam.log.events.Propose`; ``None`` for any.
        :returns: its index, term and reply. If the ``run`` of a failure is
            ``NOT_RUN``, the command was not and will not be committed; after
            any other failure it may be.
        """
        self._hint_leader()
        return await self._client.propose(command, after)

    async def read(self) -> Result[int, LogError]:
        """Wait until everything committed before the call is applied on this VM.

        :returns: the read index; entries up to it are applied.
        """
        self._hint_leader()
        confirmed = await self._client.read()
        if isinstance(confirmed, Failure):
            return confirmed
        if self._loop is None:
            return Failure(ReplicaStopped())
        with trio.move_on_after(self.settings.propose_timeout_s):
            await self._loop.wait_applied(confirmed.unwrap())
            return confirmed
        return Failure(ReplicaStopped("this replica is behind"))

    async def add_member(self, vm: str) -> Result[None, LogError]:
        """Allow a VM to join; it becomes a voter once its log is up to date."""
        self._hint_leader()
        return await self._client.add_member(vm)

    async def remove_member(self, vm: str) -> Result[None, LogError]:
        """Remove a VM from the group; a leader first transfers its leadership."""
        self._hint_leader()
        return await self._client.remove_member(vm)

    async def transfer_leadership(self) -> bool:
        """Transfer leadership to another replica before a planned stop.

        :returns: whether this replica is no longer the leader.
        """
        if self._loop is None:
            return True
        await self._loop.put(EventBatch((TransferLeadership(),)))
        with trio.move_on_after(self.settings.election_s):
            await self._loop.wait_until_not_leading()
        return not self.is_leader

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Ask these VMs too from now on, where this replica looks for its group."""
        self._seeds = tuple(seeds)
        if self._bootstrapper is not None:
            self._bootstrapper.seeds = self._seeds

    async def resign(self) -> None:
        """Leave the voters before a planned stop, if enough of them remain.

        Called once leadership is transferred; asks until a leader has answered. A VM
        that starts again joins again.
        """
        if self._loop is None or self._bootstrapper is None:
            return
        if self.settings.replace_after_s is None:
            return
        self._bootstrapper.has_resigned = True
        self._client.leader = ""
        self._client.set_members(self._loop.replica.peers)
        self._hint_leader()
        member = Member(self._loop.replica.member_id, self.vm, self.address)
        await self._client.request(GroupRequest(kind="resign", member=member))

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads and heard a quorum within ``election_s``.

        Where answers are slow it stays the log's leader for longer, but only one in
        touch may act beyond the log: another one may have been elected.
        """
        loop = self._loop
        if loop is None or loop.failure is not None:
            return False
        state, limit_s = loop.replica, self.settings.election_s
        if state.role is not Role.LEADER:
            return False
        return hears_quorum(state, trio.current_time(), limit_s)

    @property
    def term(self) -> int:
        """Return the current term of this replica, 0 before it runs."""
        return self._loop.replica.term if self._loop else 0

    @property
    def applied(self) -> int:
        """Return the highest index applied to the state machine."""
        return self._loop.applied if self._loop else 0

    @property
    def leaderless_s(self) -> float:
        """Return the seconds for which this replica has had a group and no leader."""
        return self._loop.leaderless_s if self._loop else 0.0

    def status(self) -> LogStatus:
        """Return this replica's view of its group."""
        if self._loop is None:
            return stopped_status(self.group, self.failure)
        snapshot_index = self._loop.storage.snapshot.index
        failure = self._loop.failure
        now_s = trio.current_time()
        state = self._loop.replica
        return replica_status(self.group, state, snapshot_index, failure, now_s)

    def _open(self, rewrite: bool) -> Result[tuple[Storage, Contents], LogError]:
        folder = self._folder
        try:
            if folder is None:
                folder = DiskFolder(group_folder(self._data_folder, self.group))
        except OSError as exc:
            return Failure(StorageFailed(str(exc)))
        me = Address(self.vm, self.address)
        founds = self._bootstrap and is_initial(me, self._initial)
        initial = (self._initial or (me,)) if founds else ()
        return open_storage(folder, self.group, self._make_id, initial, rewrite=rewrite)

    def _make_loop(
        self, storage: Storage, contents: Contents, nursery: trio.Nursery
    ) -> Result[ReplicaLoop, LogError]:
        member_id = storage.identity["member_id"]
        if self._loop is not None and self._loop.replica.member_id != member_id:
            return Failure(DataFolderDamaged(f"it is now that of member {member_id}"))
        now_s = trio.current_time()
        replica = load_replica(storage, contents, self.settings, self._rng, now_s)
        outbox = Outbox(
            self.group,
            self._call,
            nursery,
            self._receive_replies,
            ANSWER_ELECTIONS * self.settings.election_s,
            self.settings.slowest_bytes_s,
        )
        loop = ReplicaLoop(
            replica, storage, self._machine, self._waiters, outbox, self.group
        )
        try:
            if replica.group_id:
                loop.restore(contents.snapshot, self.applied)
        except InvariantBroken as exc:
            return Failure(ReplicaStopped(f"{exc.type}: {exc}"))
        return Success(loop)

    def _make_bootstrapper(self) -> Bootstrapper:
        stored = self._loop.storage.identity.get("initial")
        bootstrapper = Bootstrapper(
            self.group,
            Address(self.vm, self.address),
            stored or self._initial,
            self._bootstrap or bool(stored),
            self._loop,
            self._client,
            self._peer_call,
        )
        bootstrapper.seeds = self._seeds
        return bootstrapper

    def _hint_leader(self) -> None:
        if self._loop is None:
            return
        state = self._loop.replica
        leader = state.membership.member(state.leader)
        if leader is not None:
            self._client.leader = leader.address

    async def _call(
        self, address: str, path: str, body: bytes
    ) -> Result[bytes, VanillabeamError]:
        if address == self.address and path in self._routes:
            return await self._routes[path](body)
        return await self._peer_call(address, path, body)

    async def _receive_replies(self, envelopes: list[Envelope]) -> None:
        await self._loop.put(EventBatch(tuple(Received(e) for e in envelopes)))

    async def _on_messages(self, body: bytes) -> Result[bytes, VanillabeamError]:
        decoded = decode_message_batch(body)
        if isinstance(decoded, Failure):
            return decoded
        envelopes = decoded.unwrap()
        if self._loop is None:
            return Failure(ReplicaStopped())
        answered = await exchange_messages(self._loop, envelopes)
        return answered.map(encode_message_batch)

    async def _on_request(self, body: bytes) -> Result[bytes, VanillabeamError]:
        decoded = wire.decode(GroupRequest, body)
        if isinstance(decoded, Failure):
            return decoded
        if self._loop is None:
            return Success(wire.encode(failure_outcome(ReplicaStopped())))
        outcome = await submit_request(
            self._loop,
            self._waiters,
            decoded.unwrap(),
            self.settings.propose_timeout_s,
        )
        return outcome.map(wire.encode)

    async def _on_identity(self, body: bytes) -> Result[bytes, VanillabeamError]:
        decoded = wire.decode(IdentityRequest, body)
        if isinstance(decoded, Failure):
            return decoded
        if self._loop is None or self._bootstrapper is None:
            return Failure(ReplicaStopped())
        founder = decoded.unwrap()["founder"]
        if founder and not await promise_bootstrap(self._loop, founder):
            return Failure(ReplicaStopped())
        state = self._loop.replica
        reply = IdentityReply(
            member_id=state.member_id,
            group_id=state.group_id,
            founds=self._bootstrapper.founds,
        )
        return Success(wire.encode(reply))

    async def _on_status(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return Success(wire.encode(self.status()))
