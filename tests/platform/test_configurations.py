"""End-to-end tests of configurations: confirmed, read back, in force or refused."""

import json
import random
import string
from functools import partial

import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.standin import running_platform, send_answer, wait_until

LARGE_CHARACTERS = 3_500_000
#: Seconds within which a confirmed configuration is in force.
APPLY_S = 2.5


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


async def wait_served(platform, host):
    """Wait until a route is served; other requests may be refused meanwhile."""
    with trio.fail_after(APPLY_S):
        while await ask(platform, host, b"key-1") != 200:
            await trio.sleep(0.05)


# Guards against a large configuration that is confirmed and reaches no entry VM in
# time, and against a small change after it that comes as late.
def test_a_large_configuration_and_a_small_change_of_it_are_served(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            orders = make_document()["routes"][1]
            added = [
                orders | {"name": f"r-{n}", "host": f"h-{n}.example"}
                for n in range(1_400)
            ]
            document = make_document()
            document["routes"] += added
            await platform.call_control("POST", "/api/Config.Put", document)
            await platform.start_worker("i-1", service="app")
            await platform.wait_ready()
            await wait_until(partial(platform.has_target, "i-1"))
            await wait_served(platform, "h-1399.example")
            document["version"] += 1
            document["routes"][700]["host"] = "new.example"
            await platform.call_control("POST", "/api/Config.Put", document)
            await wait_served(platform, "new.example")
            follower = platform.vms["front"][0].follower
            assert 0 < follower.documents.received_bytes < len(json.dumps(document)) / 2

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


ODD_TEXT = (
    '{ "version" :  50.0 ,\n\t"routes": [ ], "services":[],"x":"\\u00e9\\/ é'
    '\\ud83d\\ude00","n":1e5, "limits":null }\r\n '
).encode()


async def put_text(platform, host, body):
    url = f"http://{host}:{platform.control_port}/api/Config.Put"
    with trio.fail_after(20.0):
        while True:
            res = await platform.pool.request("POST", url, content=body)
            if res.status < 500:
                return res.status


async def read_back(platform):
    contents = set()
    for host in platform.hosts:
        res = await platform.call_control("GET", "/api/Config.Get", host=host)
        contents.add(res.content)
    return contents


# Guards against a document that is read back otherwise than it was sent, and against
# other content under its version that is obeyed.
def test_a_document_is_read_back_byte_for_byte(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            others = [ODD_TEXT + b" ", ODD_TEXT.replace(b"50.0", b"49")]
            for host, body in zip(platform.hosts, [ODD_TEXT, *others], strict=True):
                assert await put_text(platform, host, body) == 200
                assert await read_back(platform) == {ODD_TEXT}

    trio.run(main)


# Guards against two contents of one version, one on each side.
def test_of_two_contents_of_one_version_at_once_one_is_in_force(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await put_text(platform, platform.hosts[0], ODD_TEXT)
            for number in range(51, 61):
                one = ODD_TEXT.replace(b"50.0", str(number).encode())
                statuses = []

                async def put(host, body, statuses=statuses):
                    statuses.append(await put_text(platform, host, body))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(put, platform.hosts[1], one)
                    nursery.start_soon(put, platform.hosts[2], one + b" ")
                assert statuses == [200, 200]
                (content,) = await read_back(platform)
                assert content.strip() == one.strip()

    trio.run(main)


# Guards against a route that is in force and not served: capitals of a host, a dot at
# its end and a port make no difference.
def test_an_added_route_is_served_by_each_form_of_its_host(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            document = make_document()
            document["routes"][1]["host"] = "Shop.EXAMPLE"
            await platform.call_control("POST", "/api/Config.Put", document)
            await platform.start_worker("i-1", service="app")
            await platform.wait_ready()
            await wait_until(partial(platform.has_target, "i-1"))
            url = f"http://127.0.0.1:{platform.entry_port}/orders/7"
            for host in ("shop.example", "SHOP.example.", "shop.example:80"):
                headers = [("Host", host), ("X-Vanillabeam-Request-Id", "r-1")]
                res = await platform.pool.request("POST", url, headers=headers)
                assert (host, res.status) == (host, 200)

    trio.run(main)


def make_repeating_document(**changes):
    """Return a document that names a route, a service and a key twice."""
    orders = make_document()["routes"][1] | {"kind": "of-later-pages"}
    routes = [
        orders | {"name": "twice", "host": "one.example", "public": False},
        orders | {"name": "twice", "host": "two.example", "attempts": 3},
    ]
    services = [{"name": "app", "max_conns": 1}, {"name": "app", "max_conns": 96}]
    tenants = [{"name": "studio", "api_keys": ["key-1", "key-1"]}]
    return make_document(routes=routes, services=services, tenants=tenants, **changes)


async def ask(platform, host, key=b"none"):
    url = f"http://127.0.0.1:{platform.entry_port}/orders/7"
    headers = [
        ("Host", host),
        ("X-Vanillabeam-Request-Id", "r-1"),
        ("X-Vanillabeam-Key", key),
    ]
    return (await platform.pool.request("POST", url, headers=headers)).status


# Guards against a proper configuration that is refused, or confirmed and not served:
# none of these is among what the pages call invalid.
def test_names_and_keys_that_are_given_twice_are_served(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            document = make_repeating_document(version=-1)
            for host in platform.hosts:
                put = ("POST", "/api/Config.Put", document, host)
                assert (await platform.call_control(*put)).status == 200
            res = await platform.call_control("GET", "/api/Config.Get")
            assert json.loads(res.content) == document
            workers = [
                await platform.start_worker(name, service="app")
                for name in ("i-1", "i-2")
            ]
            await platform.wait_ready()
            for worker in workers:
                await wait_until(partial(platform.has_target, worker.name))
            deployment = platform.vms["front"][0].follower.view.deployment
            assert deployment.services["app"].max_connections == 96
            assert await ask(platform, "one.example", b"key-1") == 200
            assert await ask(platform, "one.example") == 401
            assert await ask(platform, "two.example") == 200
            # A kind that isn't known runs once at most, whatever its attempts.
            for worker in workers:
                worker.script = 3 * [_fail]
            assert await ask(platform, "two.example") == 500
            assert sum(len(worker.received_headers) for worker in workers) == 3

    trio.run(main)


async def _fail(headers, send):
    await send_answer(send, 500, b"failed", headers)
