"""Fetches deployment documents from one control VM at a time."""

from collections.abc import Callable, Mapping

import trio
from returns.result import Failure

from vanillabeam import wire
from vanillabeam.decisions import DocumentDelayed, DocumentFetched, log_record
from vanillabeam.fleet.documents import (
    DOCUMENT_PATH,
    Assembly,
    DocumentRef,
    DocumentReply,
    DocumentRequest,
)
from vanillabeam.fleet.polling import ControlVm, rank_replying
from vanillabeam.fleet.records import FleetSettings
from vanillabeam.peercall import PeerCall

__all__ = ["DocumentFetcher"]

#: Seconds from the first control VM that names a document to the first request for
#: it: the others name it meanwhile, and all VMs don't ask the same one.
GATHER_S = 0.05
#: Seconds within which a reply must be whole before another control VM is asked.
REPLY_TIMEOUT_S = 0.8
#: The same for a reply of the least length.
LONG_REPLY_TIMEOUT_S = 2.5
#: Seconds until a control VM that gave no pieces is asked again.
RETRY_S = 0.25
#: Bytes of packed pieces in a reply.
MAX_REPLY_BYTES = 64 * 1024
MIN_REPLY_BYTES = 4 * 1024
#: Digests of pieces in a request.
MAX_PIECES = 256
#: Reason of a failure, beside the types of others.
TIMEOUT = "timeout"


class DocumentFetcher:
    """Fetches the newest document that control VMs name, in bounded replies.

    What has arrived is kept when a control VM fails, so that the next one sends the
    rest; the pieces of the last document count too.

    :param control_vms: the polled control VMs by address.
    :param put_in_force: takes the text of each whole document.
    :ivar wanted: the document that is to be fetched; ``None`` for none.
    :ivar received_bytes: bytes of replies since the start.

    >>> fetcher = DocumentFetcher(cfg, call, control_vms, put_in_force)
    >>> nursery.start_soon(fetcher.run)
    >>> fetcher.want(ref)
    """

    def __init__(
        self,
        cfg: FleetSettings,
        call: PeerCall,
        control_vms: Mapping[str, ControlVm],
        put_in_force: Callable[[str], None],
    ):
        self.wanted: DocumentRef | None = None
        self.received_bytes = 0
        self._cfg = cfg
        self._call = call
        self._control_vms = control_vms
        self._put_in_force = put_in_force
        self._assembly = Assembly()
        self._limit_bytes = MAX_REPLY_BYTES
        self._wanted_since_s = 0.0
        self._failed_s: dict[str, float] = {}
        self._changed = trio.Event()

    def want(self, ref: DocumentRef | None) -> None:
        """Fetch a document from now on, in place of the last one; ``None`` for none."""
        if ref == self.wanted:
            return
        if self.wanted is None:
            self._wanted_since_s = trio.current_time()
        self.wanted = ref
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def waiting_s(self, now_s: float) -> float:
        """Return the seconds for which a newer document has been known; 0 for none."""
        return 0.0 if self.wanted is None else now_s - self._wanted_since_s

    def has_source(self) -> bool:
        """Return whether a control VM that replies has named the wanted document."""
        now_s = trio.current_time()
        return self.wanted is not None and any(
            vm.document == self.wanted["digest"] and not vm.is_silent(now_s)
            for vm in self._control_vms.values()
        )

    async def run(self) -> None:
        """Fetch each document that is wanted until cancelled."""
        while True:
            if self.wanted is None:
                await self._changed.wait()
                await trio.sleep(GATHER_S)
            elif not await self._fetch_more(self.wanted):
                with trio.move_on_after(RETRY_S):
                    await self._changed.wait()

    async def _fetch_more(self, ref: DocumentRef) -> bool:
        """Ask one control VM for the next pieces; return whether to go on at once."""
        control_vm = self._choose(ref)
        if control_vm is None:
            return False
        if self._assembly.digest != ref["digest"]:
            self._assembly.begin(ref["digest"])
        reply = await self._ask(control_vm, ref)
        if reply is None or self.wanted != ref:
            return self.wanted is not None
        if "order" in reply:
            self._assembly.set_order(reply["order"])
        if self._assembly.order is not None and not self._assembly.missing():
            self._end(ref, control_vm)
        return True

    def _choose(self, ref: DocumentRef) -> ControlVm | None:
        """Return a control VM that has a document and hasn't just failed."""
        now_s = trio.current_time()
        cfg, vms = self._cfg, self._control_vms
        for address in rank_replying(cfg.vm, cfg.data_centre, vms, now_s):
            has_failed = now_s - self._failed_s.get(address, -RETRY_S) < RETRY_S
            if vms[address].document == ref["digest"] and not has_failed:
                return vms[address]
        return None

    async def _ask(
        self, control_vm: ControlVm, ref: DocumentRef
    ) -> DocumentReply | None:
        """Return a reply whose pieces have been added, or ``None`` after a failure."""
        missing = self._assembly.missing()[:MAX_PIECES]
        request = DocumentRequest(
            vm=self._cfg.vm,
            digest=ref["digest"],
            pieces=missing,
            limit_bytes=self._limit_bytes,
        )
        is_least = self._limit_bytes <= MIN_REPLY_BYTES
        reason = TIMEOUT
        with trio.move_on_after(LONG_REPLY_TIMEOUT_S if is_least else REPLY_TIMEOUT_S):
            answer = await self._call(
                control_vm.address, DOCUMENT_PATH, wire.encode(request)
            )
            if not isinstance(answer, Failure):
                self.received_bytes += len(answer.unwrap())
                answer = wire.decode(DocumentReply, answer.unwrap())
            if isinstance(answer, Failure):
                reason = type(answer.failure()).__name__
            else:
                reason = self._add(answer.unwrap(), ref, missing)
        if not reason:
            self._limit_bytes = min(2 * self._limit_bytes, MAX_REPLY_BYTES)
            return answer.unwrap()
        self._record_failure(control_vm, ref, reason)
        return None

    def _add(self, reply: DocumentReply, ref: DocumentRef, asked: list[str]) -> str:
        """Add the pieces of a reply; return what was wrong with it, or nothing."""
        if reply["digest"] != ref["digest"]:
            return "another document"
        if not asked:
            return "" if "order" in reply else "no list of pieces"
        return "" if self._assembly.add(asked, reply["pieces"]) else "no right piece"

    def _record_failure(
        self, control_vm: ControlVm, ref: DocumentRef, reason: str
    ) -> None:
        self._failed_s[control_vm.address] = trio.current_time()
        if reason != TIMEOUT:
            # It may be of another release by now: its next reply names the document
            # again, or has it whole.
            control_vm.document = ""
            if control_vm.scope is not None:
                control_vm.scope.cancel()
        self._limit_bytes = max(self._limit_bytes // 2, MIN_REPLY_BYTES)
        pieces = len(self._assembly.order or ())
        missing = len(self._assembly.missing())
        log_record(
            DocumentDelayed(control_vm.address, ref["number"], reason, pieces, missing)
        )

    def _end(self, ref: DocumentRef, control_vm: ControlVm) -> None:
        """Put a document in force whose pieces have all arrived."""
        text = self._assembly.text()
        if text is None:
            self._record_failure(control_vm, ref, "another digest")
            return
        waited_s = round(self.waiting_s(trio.current_time()), 3)
        self.want(None)
        log_record(
            DocumentFetched(
                control_vm.address,
                ref["number"],
                len(text),
                len(self._assembly.order),
                self.received_bytes,
                waited_s,
            )
        )
        try:
            self._put_in_force(text)
        except Exception:
            # The document is wanted again when this task goes on.
            self.want(ref)
            raise
