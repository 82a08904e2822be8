import ssl
from pathlib import Path

import trio
from returns.result import Success
from starlette.applications import Starlette

from tests.builders import make_listener
from tests.certificates import Authority
from vanillabeam.listeners import ListenerTask
from vanillabeam.peerhttp import PeerClient, peer_routes
from vanillabeam.tls import client_context


async def echo(body):
    return Success(body)


def serve_with(tls, act):
    async def main():
        app = Starlette(routes=peer_routes({"/peer/echo": echo}))
        cfg = make_listener()
        cfg["tls"] = tls
        listener = ListenerTask("peers", app, cfg, graceful_s=1.0)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(listener.run)
            result = await act(address, listener)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


async def call(address, tls):
    client = PeerClient(key=None, tls=client_context(tls).unwrap())
    answer = await client(address, "/peer/echo", b"hello")
    await client.aclose()
    return answer


def test_peers_with_certificates_of_one_ca_can_connect(tmp_path):
    authority = Authority(tmp_path)
    server, client = authority.issue("server"), authority.issue("client")
    answer = serve_with(server, lambda address, _: call(address, client))
    assert answer == Success(b"hello")


def test_a_client_certificate_of_another_ca_is_refused(tmp_path):
    server = Authority(tmp_path).issue("server")
    foreign = Authority(tmp_path, "other").issue("foreign")
    foreign["ca"] = server["ca"]
    answer = serve_with(server, lambda address, _: call(address, foreign))
    assert answer.failure().type in ("peer-unreachable", "peer-silent")


def test_a_server_certificate_of_another_ca_is_refused(tmp_path):
    server = Authority(tmp_path, "other").issue("server")
    client = Authority(tmp_path).issue("client")
    answer = serve_with(server, lambda address, _: call(address, client))
    assert answer.failure().type == "peer-unreachable"


def test_a_reload_serves_the_new_certificate_and_keeps_open_connections(tmp_path):
    authority = Authority(tmp_path)
    server, client = authority.issue("server"), authority.issue("client")

    async def act(address, listener):
        before = await peer_certificate(address, client)
        open_client = PeerClient(key=None, tls=client_context(client).unwrap())
        await open_client(address, "/peer/echo", b"1")
        renewed = authority.issue("renewed")
        for name in ("certificate", "key"):
            Path(server[name]).write_bytes(Path(renewed[name]).read_bytes())
        assert listener.reload_tls() == Success(None)
        after = await peer_certificate(address, client)
        answer = await open_client(address, "/peer/echo", b"2")
        await open_client.aclose()
        return before, after, answer

    before, after, answer = serve_with(server, act)
    assert before != after
    assert answer == Success(b"2")


async def peer_certificate(address, tls):
    host, _, port = address.rpartition(":")
    ctx = client_context(tls).unwrap()
    stream = await trio.open_ssl_over_tcp_stream(host, int(port), ssl_context=ctx)
    async with stream:
        await stream.do_handshake()
        return ssl.DER_cert_to_PEM_cert(stream.getpeercert(binary_form=True))
