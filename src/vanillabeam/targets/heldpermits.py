"""Permits that this entry holds: renewed until they are released."""

from typing import NamedTuple

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.routing.records import RouteRequest
from vanillabeam.targets import messages
from vanillabeam.targets.client import OwnerClient
from vanillabeam.targets.dispatcher import OwnerDispatcher
from vanillabeam.targets.exceptions import OwnerUnreachable, PermitUnknown
from vanillabeam.targets.grants import Grant
from vanillabeam.targets.outbox import Outbox
from vanillabeam.targets.ownership import Ownership
from vanillabeam.targets.records import EntryVm, Outcome, Permit
from vanillabeam.targets.settings import TargetsSettings

__all__ = ["HeldPermit", "HeldPermits"]

#: Renewals within the lifetime of a permit.
RENEWALS_PER_LIFETIME = 4
#: Attempts to send the release of a permit.
RELEASE_TRIES = 2


class HeldPermit(NamedTuple):
    """A permit that this entry holds, with the owner's grant and the request.

    :param is_counted: whether it counts as a request after the target's pause.
    """

    permit: Permit
    grant: Grant
    request: RouteRequest
    is_counted: bool = False


class HeldPermits:
    """Renews permits at the present owners of their targets, and releases them."""

    def __init__(
        self,
        ownership: Ownership,
        dispatcher: OwnerDispatcher,
        client: OwnerClient,
        outbox: Outbox,
        settings: TargetsSettings,
    ):
        self.held: dict[str, HeldPermit] = {}
        self._ownership = ownership
        self._dispatcher = dispatcher
        self._client = client
        self._outbox = outbox
        self._settings = settings

    def add(self, held: HeldPermit) -> None:
        """Add a permit, which is renewed from now on."""
        self.held[held.permit.id] = held

    def release(self, permit: Permit, outcome: Outcome) -> HeldPermit | None:
        """Release a permit; return ``None`` if it was released before."""
        held = self.held.pop(permit.id, None)
        if held is None:
            return None
        owner = self._owner_of(permit)
        if owner is None or owner.vm == self._ownership.me.vm:
            self._dispatcher.release(permit.id, permit.target, outcome)
            return held
        message = messages.ReleaseMessage(
            permit_id=permit.id, target=permit.target, **outcome._asdict()
        )
        path = "/peer/targets/release"
        self._outbox.put(self._client.make_job(owner, path, message, RELEASE_TRIES))
        return held

    async def run(self) -> None:
        """Renew all held permits periodically, until cancelled."""
        while True:
            await trio.sleep(self._settings.permit_s / RENEWALS_PER_LIFETIME)
            for owner, permits in self._by_owner().items():
                self._outbox.put(lambda o=owner, p=permits: self.renew(o, p))

    async def renew_one(self, permit: Permit) -> Result[Permit, VanillabeamError]:
        """Renew a permit now and return it.

        :returns: :class:`PermitUnknown` if it is not held or its owner doesn't know
            it, or why the owner was not reached.
        """
        held = self.held.get(permit.id)
        if held is None:
            return Failure(PermitUnknown(permit.id))
        renewed = await self.renew(self._owner_of(permit), [held])
        if isinstance(renewed, Failure):
            return renewed
        held = self.held.get(permit.id)
        if held is None or permit.id not in renewed.unwrap():
            return Failure(PermitUnknown(permit.id))
        return Success(held.permit)

    async def renew(
        self, owner: EntryVm | None, permits: list[HeldPermit]
    ) -> Result[list[str], VanillabeamError]:
        """Renew ``permits`` at ``owner`` in one call and return the ids renewed."""
        if owner is None:
            return Failure(OwnerUnreachable("no owner"))
        requested_s = trio.current_time()
        renewals = [_pack_renewal(held, requested_s) for held in permits]
        if owner.vm == self._ownership.me.vm:
            permit_ids = self._renew_locally(renewals, requested_s)
            self._record_renewals(permit_ids, requested_s)
            return Success(permit_ids)
        message = wire.encode(messages.RenewMessage(renewals=renewals))
        result = await self._client.send(
            owner, "/peer/targets/renew", message, messages.RenewReply
        )
        if isinstance(result, Failure):
            return result
        permit_ids = result.unwrap()["renewed"]
        self._record_renewals(permit_ids, requested_s)
        return Success(permit_ids)

    def _renew_locally(
        self, renewals: list[messages.RenewalMessage], now_s: float
    ) -> list[str]:
        unpacked = [messages.unpack_renewal(m, now_s) for m in renewals]
        return [r.grant.permit_id for r in unpacked if self._dispatcher.renew(r)]

    def _record_renewals(self, permit_ids: list[str], requested_s: float) -> None:
        for permit_id in permit_ids:
            held = self.held.get(permit_id)
            if held is None:
                continue
            expires_s = requested_s + self._settings.permit_s
            permit = held.permit._replace(expires_s=expires_s)
            self.held[permit_id] = held._replace(permit=permit)

    def _by_owner(self) -> dict[EntryVm | None, list[HeldPermit]]:
        by_owner: dict[EntryVm | None, list[HeldPermit]] = {}
        for held in self.held.values():
            by_owner.setdefault(self._owner_of(held.permit), []).append(held)
        return by_owner

    def _owner_of(self, permit: Permit) -> EntryVm | None:
        return self._ownership.owner_of(permit.target, permit.data_centre)


def _pack_renewal(held: HeldPermit, now_s: float) -> messages.RenewalMessage:
    return messages.RenewalMessage(
        target=held.permit.target,
        boot_id=held.permit.boot_id,
        grant=messages.pack_grant(held.grant, now_s),
    )
