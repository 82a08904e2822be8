"""Workers of a language model, which keep the parts of prompts in memory."""

import threading
from typing import NamedTuple

from standins.workers import Worker

MODEL = "m0"
VERSION = 1
EVENTS = 3


class Use(NamedTuple):
    """A use of a kept part by a request of another tenant than the one that made it.

    :param at_s: time at which the request began.
    """

    at_s: float
    request_id: str
    tenant: str
    part: str
    maker_id: str
    maker: str


class Engine(Worker):
    """A worker that finds kept parts only under the cache salt of a request.

    :ivar uses: uses of parts that another tenant's request made.
    """

    models = ({"name": MODEL, "version": VERSION, "adapters": []},)

    def __init__(self, *args):
        self.uses = []
        self._lock = threading.Lock()
        #: Id and tenant of the request that made each part, by salt and part.
        self._kept = {}
        super().__init__(*args)

    def report(self):
        """Return the answer to a question for a report."""
        return {
            "stage": "colocated",
            "models": list(self.models),
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 93471,
            "handles": 0,
        }

    def run(self, headers):
        """Read a prompt, with the help of kept parts, and answer with a stream."""
        super().run(headers)
        request_id = headers.get("X-Vanillabeam-Request-Id", "")
        tenant = headers.get("X-Vanillabeam-Tenant", "")
        salt = headers.get("X-Vanillabeam-Cache-Salt")
        entries = headers.get("X-Vanillabeam-Prefix-Hash", "").split(",")
        self._read(request_id, tenant, salt, [each.split(":")[0] for each in entries])
        events = [f"id: {n}\ndata: {request_id}\n\n" for n in range(1, EVENTS + 1)]
        return "text/event-stream", "".join(events).encode()

    def _read(self, request_id, tenant, salt, parts):
        record, is_kept = self.fleet.record, True
        with self._lock:
            for part in parts:
                maker = self._kept.get((salt, part))
                is_kept = is_kept and maker is not None
                if not is_kept:
                    self._kept[(salt, part)] = (request_id, tenant)
                    record.write(f"{request_id} of {tenant} makes {part} under {salt}")
                    continue
                at_s = record.write(
                    f"{request_id} of {tenant} uses {part}, made by {maker[0]} of"
                    f" {maker[1]}, under {salt}"
                )
                if maker[1] != tenant:
                    self.uses.append(Use(at_s, request_id, tenant, part, *maker))
