"""End-to-end tests of configurations: confirmed, read back, in force or refused."""

import json
import random
import string

import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.standin import running_platform

LARGE_CHARACTERS = 3_500_000


def make_notes(name):
    """Return text that grows most in messages, or that can't be compressed."""
    if name == "quotes":
        return '"' * (LARGE_CHARACTERS // 2)
    letters = string.ascii_letters + string.digits
    return "".join(random.Random(29).choices(letters, k=LARGE_CHARACTERS))


# Guards against a large configuration whose log entry no other control VM accepted:
# neither it nor any later change was ever confirmed.
@pytest.mark.parametrize("name", ["quotes", "random"])
def test_changes_after_a_large_configuration_are_confirmed(tmp_path, name):
    async def main():
        async with running_platform(tmp_path) as platform:
            for number, host in enumerate(platform.hosts, 1):
                large = make_document(version=2 * number, notes=make_notes(name))
                small = make_document(version=2 * number + 1)
                for document in (large, small):
                    res = await platform.call_control(
                        "POST", "/api/Config.Put", document, host
                    )
                    assert res.status == 200
                    res = await platform.call_control("GET", "/api/Config.Get")
                    assert json.loads(res.content) == document

    trio.run(main)


# Guards against a number that no worker can have, after which no newer one is ordered.
def test_weight_versions_in_and_out_of_range(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await platform.call_control("POST", "/api/Config.Put", make_document())
            for version, status in [
                (2, 200),
                (3.0, 200),
                (1, 200),
                (2**63 - 1, 200),
                (2**63, 400),
                (0, 400),
                (-1, 400),
                (2.5, 400),
                ("2", 400),
                (True, 400),
                (None, 400),
            ]:
                order = {"model": "m", "version": version, "later": 1}
                res = await platform.call_control("POST", "/api/version-put", order)
                assert (version, res.status) == (version, status)

    trio.run(main)


# Guards against a first configuration that is confirmed, is not read back and leaves
# every entry VM without one.
def test_a_first_version_of_0_is_read_back_and_in_force(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            for version, newest in ((-4, -4), (0, 0), (-7, 0)):
                document = make_document(version=version)
                await platform.call_control("POST", "/api/Config.Put", document)
                await platform.wait_ready()
                res = await platform.call_control("GET", "/api/Config.Get")
                assert json.loads(res.content)["version"] == newest
            assert (await platform.send_request("/none/1")).status == 404

    trio.run(main)
