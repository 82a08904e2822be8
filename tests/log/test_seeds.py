"""Runs of one seed are the same everywhere."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
PROGRAM = """
import sys
from hashlib import sha256

if "loaded" in sys.argv:
    import tests.test_openai
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


def digest_of(hash_seed, *arguments):
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-c", PROGRAM, *arguments]
    result = subprocess.run(
        command, capture_output=True, text=True, check=True, cwd=ROOT, env=env
    )
    return result.stdout


def test_neither_loaded_modules_nor_the_order_of_sets_change_a_run():
    assert digest_of("1") == digest_of("2", "loaded")
