"""Runs of one seed are the same in every process."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
PROGRAM = """
import sys
from hashlib import sha256

if "loaded" in sys.argv:
    import tests.callers.test_openai
    import tests.platform.standin

from tests.log.test_runs import Runs, explore

digest = sha256()


class Recorded(Runs):
    def teardown(self):
        super().teardown()
        if hasattr(self, "cluster"):
            digest.update(repr(sorted(self.cluster.committed.items())).encode())


explore(Recorded, runs=4, steps=15, run_seed=7)
print(digest.hexdigest())
"""


def run_digest(hash_seed, *arguments):
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-c", PROGRAM, *arguments]
    result = subprocess.run(
        command, capture_output=True, text=True, check=True, cwd=ROOT, env=env
    )
    return result.stdout


def test_neither_loaded_modules_nor_hash_seeds_change_a_run():
    assert run_digest("1") == run_digest("2", "loaded")
