"""Starts the programs of the deploy file as processes on loopback addresses."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[3]
ENTRY_PORT, READY_PORT, CONTROL_PORT = 8202, 8200, 8204
PEER_PORTS = [7420, 7435]
ZONES = ("kgl-a", "kgl-b", "kgl-c", "kgl-d")
#: Bounds of the site icupa-kigali.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "skew_max_ms": 5000,
    "revoke_strict": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_min_retries": 58,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evac_ms": 5000,
    "recover_s": 12,
    "transit_ms": 120,
    "again_s": 20,
    "require_fence": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "version_ms": 10000,
    "version_all_ms": 14000,
}


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = Path(path).open("w")  # noqa: SIM115
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, text):
        """Write a line; return its time."""
        with self._lock:
            now_s = self.now_s()
            self._file.write(f"{now_s:8.3f} {text}\n")
            self._file.flush()
        return now_s


class Fleet:
    """Control VMs, one in each zone, and entry VMs in the first two zones."""

    def __init__(self, record, entries=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_net()
        self.processes = {}
        self.hosts = {}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._roles = deploy["roles"]
        for number, zone in enumerate(ZONES, 1):
            self.hosts[f"core-{zone}-1"] = f"127.{self.net}.{number}.101"
        for number, zone in enumerate(ZONES[:entries], 1):
            self.hosts[f"front-{zone}-1"] = f"127.{self.net}.{number}.1"

    @property
    def controls(self):
        """Names of the control VMs."""
        return [name for name in self.hosts if name.startswith("core")]

    @property
    def fronts(self):
        """Names of the entry VMs."""
        return [name for name in self.hosts if name.startswith("front")]

    def start_all(self):
        """Start all VMs for the first time, within 0.3 s."""
        for name in self.hosts:
            self.start(name, bootstrap=True)

    def start(self, name, bootstrap=False):
        """Start the process of a VM as the deploy file says."""
        role = self._roles["control" if name.startswith("core") else "entry"]
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        (folder / "data").mkdir(exist_ok=True)
        fields = json.dumps(self._settings(name, bootstrap))
        template = (ROOT / role["template"]).read_text()
        settings = folder / "local.json"
        settings.write_text(template.replace("{{.|json}}", fields))
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        added = {
            "VANILLABEAM_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (folder / "log.txt").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=kept | added,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record.write(f"start {name} {self.hosts[name]}")

    def _settings(self, name, bootstrap):
        is_control = name.startswith("core")
        host, zone = self.hosts[name], name[name.index("-") + 1 : name.rindex("-")]
        listen = {"control": f"{host}:{CONTROL_PORT}"}
        if not is_control:
            listen = {"front": f"{host}:{ENTRY_PORT}", "ready": f"{host}:{READY_PORT}"}
        seeds = [f"{self.hosts[each]}:{CONTROL_PORT}" for each in self.controls[:3]]
        return {
            "node": name,
            "role": "control" if is_control else "entry",
            "machine_class": "core" if is_control else "front",
            "serves": ["control" if is_control else "front"],
            "ip": host,
            "zone": zone,
            "region": "rw-central",
            "zones": dict.fromkeys(ZONES, "rw-central"),
            "listen": listen,
            "port_range": PEER_PORTS,
            "seeds": seeds,
            "bootstrap": bootstrap,
            "counts_as_loss": is_control,
            "limits": {"memory_mb": 296 if is_control else 300, "max_fds": 4096},
            "data_dir": str(self.folder / name / "data") if is_control else None,
            "discovery": "registered",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }

    def signal(self, name, number):
        """Send a signal to the process of a VM."""
        self.record.write(f"signal {signal.Signals(number).name} {name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        """End the process of a VM at once."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def memory_mb(self, name):
        """Return the memory of the process of a VM, 0 while it is down."""
        try:
            text = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0
        lines = [line for line in text.splitlines() if line.startswith("VmRSS:")]
        return int(lines[0].split()[1]) // 1024 if lines else 0

    def stop(self):
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_net():
    numbers = random.SystemRandom().sample(range(2, 255), 253)
    for number in numbers:
        with socket.socket() as sock:
            try:
                sock.bind((f"127.{number}.1.101", CONTROL_PORT))
            except OSError:
                continue
            return number
    raise OSError("no free addresses")
