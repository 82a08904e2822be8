"""Checks of the documentation pages: the example runs and no link is broken."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")


def test_the_example_of_the_cores_page_runs():
    text = (ROOT / "docs" / "design" / "cores.md").read_text()
    code = text.partition("```python\n")[2].partition("```")[0]
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout == "['vm-1', 'vm-2', 'vm-3']\n"


def test_every_link_between_pages_has_an_existing_target():
    broken = [
        f"{page.relative_to(ROOT)}: {link}"
        for page in PAGES
        for link in LINK.findall(page.read_text())
        if "://" not in link and not (page.parent / link).exists()
    ]
    assert broken == []
