"""The build line of the deploy file."""

import importlib.util
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
#: Flags in the header of byte code that is used without a look at its source.
UNCHECKED = 1


# The running process can't write next to the sources, so without byte code from the
# build every start compiled all modules anew.
def test_the_build_leaves_byte_code_that_a_start_uses(tmp_path):
    shutil.copytree(ROOT / "src", tmp_path / "src")
    shutil.copy(ROOT / "requirements.lock", tmp_path)
    dependencies = tmp_path / "target" / "deps"
    dependencies.mkdir(parents=True)
    # Libraries count as installed, so that nothing is downloaded here.
    (dependencies / ".ready").touch()
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    environment = {"PATH": path}
    subprocess.run(build, shell=True, cwd=tmp_path, env=environment, check=True)
    for source in (dependencies / "vanillabeam").rglob("*.py"):
        code = Path(importlib.util.cache_from_source(str(source))).read_bytes()
        flags = int.from_bytes(code[4:8], "little")
        assert flags == UNCHECKED, source
