"""Large blocks go back to the system, so that large messages don't add up."""

import subprocess
import sys

SCRIPT = """
from vanillabeam.allocator import return_large_blocks

def resident_mb():
    lines = open("/proc/self/status").read().splitlines()
    (line,) = [line for line in lines if line.startswith("VmRSS")]
    return int(line.split()[1]) / 1024

assert return_large_blocks()
first = bytearray(8_000_000)
del first
before_mb = resident_mb()
# Blocks that stay keep the heap from being cut behind the large ones.
kept, large = [], []
for _ in range(60):
    large.append(bytearray(2_000_000))
    kept.append(bytearray(5_000))
large.clear()
print(resident_mb() - before_mb)
"""


# Guards against control VMs that grow by each large configuration, past their memory.
def test_freed_large_blocks_are_returned():
    command = [sys.executable, "-c", SCRIPT]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert float(done.stdout) < 10
