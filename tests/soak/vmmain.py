"""Runs one VM's program in a child process, with faults that only the child sees.

Connections that the program opens go through the soak's proxy, which is told the
address of the VM and the address that is called.
"""

import ctypes
import os
import signal
import sys

import trio

PROXY_VARIABLE = "SOAK_PROXY"
HOST_VARIABLE = "SOAK_HOST"
FAULTS_VARIABLE = "SOAK_FAULTS_FOLDER"
CONNECTED = b"+"
SET_PARENT_DEATH_SIGNAL = 1


def open_through(proxy: str, source: str, open_stream):
    """Return a replacement of ``trio.open_tcp_stream`` that connects by a proxy.

    :param proxy: ``host:port`` of the proxy.
    :param source: host of this VM.
    :param open_stream: the function that is replaced.
    """
    proxy_host, _, proxy_port = proxy.rpartition(":")

    async def open_tcp_stream(host, port, **options):
        stream = await open_stream(proxy_host, int(proxy_port))
        try:
            await stream.send_all(f"{source} {host}:{port}\n".encode())
            if await stream.receive_some(1) != CONNECTED:
                raise ConnectionRefusedError(f"{host}:{port}")
        except BaseException as exc:
            await trio.aclose_forcefully(stream)
            if isinstance(exc, trio.BrokenResourceError):
                raise ConnectionRefusedError(f"{host}:{port}") from exc
            raise
        return stream

    return open_tcp_stream


def main() -> int:
    """Install the faults that the environment names, then run the program."""
    # A test run that is killed leaves no VM behind.
    ctypes.CDLL(None).prctl(SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)
    if folder := os.environ.get(FAULTS_VARIABLE):
        from tests.soak import childfaults

        childfaults.install(folder)
    if proxy := os.environ.get(PROXY_VARIABLE):
        source = os.environ[HOST_VARIABLE]
        trio.open_tcp_stream = open_through(proxy, source, trio.open_tcp_stream)
    from vanillabeam.platform.__main__ import main as run_program

    return run_program()


if __name__ == "__main__":
    sys.exit(main())
