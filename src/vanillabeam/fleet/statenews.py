"""Fleet state of a VM by the replies of all control VMs."""

from collections.abc import Callable, Mapping

import trio

from vanillabeam.decisions import StateInForce, log_record
from vanillabeam.fleet.documentfetch import DocumentFetcher
from vanillabeam.fleet.documents import DocumentRef, digest_document
from vanillabeam.fleet.machine import FleetState
from vanillabeam.fleet.polling import ControlVm
from vanillabeam.fleet.records import Deployment, FleetSettings
from vanillabeam.fleet.view import FleetView, make_view
from vanillabeam.fleet.watch import WatchReply
from vanillabeam.peercall import PeerCall

__all__ = ["StateNews"]

#: Quarantined parts in a log line.
MAX_LOGGED_PARTS = 8


class StateNews:
    """Puts each newer state in force, and its deployment once that is here.

    :param call: sends requests to the control VMs.
    :param control_vms: the polled control VMs by address.
    :param read: parses an operator's document into a deployment.
    :param on_change: called once a state or its deployment is in force.
    :ivar view: newest state that a control VM has sent.
    :ivar documents: fetches its deployment.

    >>> news = StateNews(cfg, call, control_vms, read, on_change)
    >>> news.apply(reply, control_vm)
    >>> news.view.evacuated
    frozenset({'kgl-a'})
    """

    def __init__(
        self,
        cfg: FleetSettings,
        call: PeerCall,
        control_vms: Mapping[str, ControlVm],
        read: Callable[[str], Deployment],
        on_change: Callable[[], None],
    ):
        self.view = FleetView()
        self.documents = DocumentFetcher(cfg, call, control_vms, self._apply_document)
        #: Digest of the document that was read last.
        self.known = ""
        self._read = read
        self._on_change = on_change
        #: Newest state, without its document.
        self._state: FleetState | None = None
        #: Index of the newest state whose document was here.
        self._whole_index = 0

    def index_for(self, control_vm: ControlVm) -> int:
        """Return the index to name to a control VM.

        While a document is missing, one that has not named it is asked for the state
        again: its answer names the document, or has it whole. The whole one of another
        release is asked for only if nobody else has the document.
        """
        wanted = self.documents.wanted
        if wanted is None or control_vm.document == wanted["digest"]:
            return self.view.index
        if not control_vm.document and self.documents.has_source():
            return self.view.index
        return self._whole_index

    def apply(self, reply: WatchReply, control_vm: ControlVm) -> None:
        """Apply the state in a control VM's reply, if it has one."""
        if "state" not in reply:
            return
        state, ref = reply["state"], reply.get("document")
        control_vm.document = "" if ref is None else ref["digest"]
        if not self._is_news(state):
            return
        self._state = state | {"document": ""}
        is_missing = ref is not None and self._is_missing(state, ref)
        self.documents.want(ref if is_missing else None)
        self._put_in_force(state, reply.get("named", {}))

    def _is_news(self, state: FleetState) -> bool:
        """Return whether a state is newer, or brings the document that is missing."""
        if self.documents.wanted is not None and state["document"]:
            return state["index"] >= self.view.index
        return state["index"] > self.view.index

    def _is_missing(self, state: FleetState, ref: DocumentRef) -> bool:
        """Return whether a state's document is newer, and neither in it nor here."""
        if state["document"] or ref["digest"] in ("", self.known):
            return False
        return ref["number"] > self.view.deployment.number or not self.view.is_known

    def _apply_document(self, document: str) -> None:
        """Put the deployment of the newest state in force, which has been fetched."""
        self._put_in_force(self._state | {"document": document}, {})

    def _put_in_force(
        self, state: FleetState, named: dict[str, list[tuple[int, float]]]
    ) -> None:
        began_s = trio.current_time()
        self.view = make_view(self.view, state, self._read, named, began_s)
        if state["document"]:
            self.known = digest_document(state["document"])
        if self.documents.wanted is None:
            self._whole_index = state["index"]
        log_record(
            StateInForce(
                state["index"],
                self.view.deployment.number,
                state["evacuated"],
                state["weights"],
                sorted(self.view.quarantine)[:MAX_LOGGED_PARTS],
                round(trio.current_time() - began_s, 3),
            )
        )
        self._on_change()
