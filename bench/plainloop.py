"""Baseline of the relay benchmark: a copy loop with the same libraries and a thread per stream."""

import sys
from collections.abc import Iterator
from typing import Any

import urllib3
from cheroot import wsgi

from swifttrestle_standins.serving import print_ready


def make_app(upstreams: list[str]) -> Any:
    """Return a WSGI application that copies streams of the upstreams chunk by chunk."""
    pool = urllib3.PoolManager(maxsize=2000, retries=False)
    turn = 0

    def app(environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        nonlocal turn
        turn += 1
        body = environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
        url = f"http://{upstreams[turn % len(upstreams)]}/v1/stream"
        response = pool.request("POST", url, body=body, preload_content=False)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        while piece := response.read1(65536):
            yield piece

    return app


def main() -> None:
    """Serve until killed; command line arguments: number of threads, then the upstreams."""
    server = wsgi.Server(("127.0.0.1", 0), make_app(sys.argv[2:]), numthreads=int(sys.argv[1]))
    server.request_queue_size = 1024
    server.prepare()
    print_ready("plainloop", listen=f"127.0.0.1:{server.bind_addr[1]}")
    server.serve()


if __name__ == "__main__":
    main()
