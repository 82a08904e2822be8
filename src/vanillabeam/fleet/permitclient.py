"""Client of an entry VM for the permits of targets that name a limit."""

from collections.abc import Mapping

import trio
from returns.result import Failure

from vanillabeam import wire
from vanillabeam.fleet.permits import PERMIT_PATH, Granted, PermitAsk, PermitReply
from vanillabeam.fleet.polling import ControlVm, rank_replying
from vanillabeam.fleet.records import Target
from vanillabeam.peercall import PeerCall

__all__ = ["PermitClient"]

#: Seconds within which a granter answers; an ask takes one round trip.
ASK_TIMEOUT_S = 0.25
#: Control VMs that are asked for one permit, one after the other.
MAX_ASKED = 2


class PermitClient:
    """Asks the control VM that grants a target's permits.

    It is chosen by rendezvous hashing among the control VMs that reply, those of the
    target's data centre first: what cuts it off from entry VMs cuts the target off too.

    :param control_vms: the polled control VMs by address.

    >>> client = PermitClient(call, follower.control_vms)
    >>> granter, reply = await client(target, ask)
    """

    def __init__(self, call: PeerCall, control_vms: Mapping[str, ControlVm]):
        self._call = call
        self._control_vms = control_vms
        #: Monotonic time at which a control VM gave no answer.
        self._silent_s: dict[str, float] = {}

    async def __call__(self, target: Target, ask: PermitAsk) -> Granted | None:
        """Return the granter's address and answer; ``None`` if none answers."""
        for address in self.granters(target, trio.current_time())[:MAX_ASKED]:
            with trio.move_on_after(ASK_TIMEOUT_S):
                answer = await self._call(address, PERMIT_PATH, wire.encode(ask))
                reply = _read(answer)
                if reply is not None:
                    return Granted(address, reply)
            self._silent_s[address] = trio.current_time()
        return None

    def granters(self, target: Target, now_s: float) -> list[str]:
        """Return the control VMs that may grant a target's permits, in order."""
        ranked = rank_replying(
            target.name, target.data_centre, self._control_vms, now_s
        )
        return [address for address in ranked if not self._is_silent(address)]

    def _is_silent(self, address: str) -> bool:
        """Return whether a control VM gave no answer and has not replied since."""
        silent_s = self._silent_s.get(address)
        if silent_s is None:
            return False
        return self._control_vms[address].last_seen_s <= silent_s


def _read(answer) -> PermitReply | None:
    if isinstance(answer, Failure):
        return None
    return wire.decode(PermitReply, answer.unwrap()).value_or(None)
