"""Workers that announce themselves and record what they run."""

import json
import socket
import struct
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from standins.fleet import CONTROL_PORT
from standins.http import call

HEARTBEAT_S = 1.2
RESET_LINGER = struct.pack("ii", 1, 0)


class Worker:
    """A worker of a plain service, which answers each request at once.

    :ivar arrivals: time and id of each request that it ran.
    """

    models = None

    def __init__(self, fleet, name, service, zone, number, port=0, cold_s=0.0):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.born_ms = int(time.time() * 1000)
        self.arrivals = []
        self.started_s = fleet.record.write(f"{name} starts, cold for {cold_s:g} s")
        self.cold_until_s = self.started_s + cold_s
        self._sequence = 0
        self._is_open = True
        host = f"127.{fleet.net}.{200 + number}.1"
        self._server = _Server((host, port), _Handler)
        self._server.worker = self
        self.port = self._server.server_address[1]
        self.address = f"{host}:{self.port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def announce(self, late_s=0.0):
        """Send heartbeats from now on.

        :param late_s: seconds by which the first one arrives late.
        """
        threading.Thread(target=self._announce, args=(late_s,), daemon=True).start()

    def heartbeat(self):
        """Return the next heartbeat."""
        self._sequence += 1
        beat = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": self._cold_left_ms(),
            "seq": self._sequence,
            "born": self.born_ms,
        }
        if self.models is not None:
            beat |= {"stage": "colocated", "models": self.models}
        return beat

    def stop_announcing(self):
        """Send no more heartbeats; requests are still served."""
        self._is_open = False

    def close(self):
        """End without a word."""
        self._is_open = False
        self._server.shutdown()
        self._server.server_close()

    def crash(self):
        """End at once: all channels are reset, and nothing listens any more."""
        self._is_open = False
        self.fleet.record.write(f"{self.name} crashes")
        self._server.socket.close()
        for channel in list(self._server.channels):
            reset(channel)
        threading.Thread(target=self._server.shutdown, daemon=True).start()

    def report(self):
        """Return the answer to a question for a report."""
        return {}

    def run(self, headers):
        """Run a request; return the type and the bytes of its answer."""
        request_id = headers.get("X-Vanillabeam-Request-Id", "")
        at_s = self.fleet.record.write(f"run {request_id} at {self.name}")
        self.arrivals.append((at_s, request_id))
        return "application/json", json.dumps({"id": request_id}).encode()

    def _cold_left_ms(self):
        return max(0, int(1000 * (self.cold_until_s - self.fleet.record.now_s())))

    def _announce(self, late_s):
        place = 0
        while self._is_open:
            beat = self.heartbeat()
            if late_s:
                threading.Timer(late_s, self._send, (beat, place)).start()
                late_s = 0.0
            else:
                place = self._send(beat, place)
            time.sleep(HEARTBEAT_S)

    def _send(self, beat, place):
        """Send a heartbeat; return the place of the control VM that took it."""
        path, controls = f"/api/Instances.Heartbeat/{self.name}", self.fleet.controls
        for _ in controls:
            host = self.fleet.hosts[controls[place]]
            status, _, _ = call(host, CONTROL_PORT, "POST", path, beat)
            if 200 <= status < 300:
                break
            place = (place + 1) % len(controls)
        return place


def reset(channel):
    """Reset a channel."""
    with suppress(OSError):
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        channel.shutdown(socket.SHUT_RD)
        channel.close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    worker = None

    def __init__(self, *args):
        self.channels = set()
        super().__init__(*args)

    def process_request(self, request, client_address):
        """Serve a channel in a thread of its own."""
        self.channels.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Close a channel."""
        self.channels.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Say nothing of a channel that was closed meanwhile."""


class _Handler(BaseHTTPRequestHandler):
    """Answers the requests of one channel."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):  # noqa: N802
        """Answer a question, or run a request."""
        self._answer()

    def do_POST(self):  # noqa: N802
        """Run a request."""
        self._answer()

    def _answer(self):
        worker = self.server.worker
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        expected = self.headers.get("X-Vanillabeam-Expect-Instance", worker.name)
        if expected != worker.name:
            self._answer_with(421, "text/plain", b"")
        elif self.path == "/healthz":
            self._answer_with(200, "text/plain", b"")
        elif self.path.startswith("/api/report"):
            body = json.dumps(worker.report()).encode()
            self._answer_with(200, "application/json", body)
        elif self.path.startswith("/api/"):
            self._answer_with(404, "text/plain", b"")
        else:
            self._answer_with(200, *worker.run(self.headers))

    def _answer_with(self, status, kind, body):
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        request_id = self.headers.get("X-Vanillabeam-Request-Id", "")
        self.send_header("X-Vanillabeam-Request-Id", request_id)
        self.send_header("X-Vanillabeam-Response-Stamp", "stamp")
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        """Write no log."""
