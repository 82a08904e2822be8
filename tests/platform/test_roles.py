"""Modules that each role imports: many VMs start at the same time."""

import subprocess
import sys

PROGRAM = "import sys, vanillabeam.platform.program; print(*sys.modules)"


def imported_modules():
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    return result.stdout.split()


def test_an_entry_vm_does_not_import_what_only_control_vms_need():
    modules = imported_modules()
    assert "vanillabeam.forwarding.app" in modules
    for name in ("vanillabeam.log", "vanillabeam.fleet.control", "pydantic"):
        assert not [each for each in modules if f"{each}.".startswith(f"{name}.")]
