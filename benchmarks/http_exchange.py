"""Cost of an HTTP exchange in this node's handler, compared with gevent's stock handler in the same run.

    python benchmarks/http_exchange.py [--count N]

One handler serves requests that already wait in a socket pair, so that only
the handler's work is timed (processor time, microseconds an exchange).
"""

import time
from types import SimpleNamespace

import click
import gevent
import orjson
from gevent.pywsgi import WSGIHandler

from kelpjunction.http import Handler

BATCH = 50  # requests in the socket at once
HEADERS = "Host: 10.0.0.1:8080\r\nUser-Agent: users/1.0\r\nAccept: */*\r\nConnection: keep-alive\r\n"


class StockHandler(WSGIHandler):
    """gevent's handler without the access log."""

    def log_request(self) -> None:
        pass


def application(environ: dict, start_response) -> list[bytes]:
    answer = orjson.dumps({"length": len(environ["wsgi.input"].read())})
    start_response("200 OK", [("Content-Type", "application/json"), ("Content-Length", str(len(answer)))])
    return [answer]


def request(body: bytes) -> bytes:
    if not body:
        return f"GET /api/jobs/j-000412 HTTP/1.1\r\n{HEADERS}\r\n".encode()
    length = f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return f"POST /checkin HTTP/1.1\r\n{HEADERS}{length}\r\n".encode() + body


def seconds_per_exchange(handler_class, body: bytes, count: int) -> float:
    """Processor time of one exchange, in seconds."""
    our_socket, client_socket = gevent.socket.socketpair()
    server = SimpleNamespace(application=application, get_environ=dict, log=None, loop=gevent.get_hub().loop)
    handler = handler_class(our_socket, ("127.0.0.1", 1), server, rfile=our_socket.makefile("rb", -1))
    request_bytes, spent = request(body), 0.0
    for _ in range(count // BATCH):
        client_socket.sendall(request_bytes * BATCH)
        began = time.process_time()
        for _ in range(BATCH):
            assert handler.handle_one_request() is True
        spent += time.process_time() - began
        client_socket.settimeout(0.0)
        while True:
            try:
                client_socket.recv(1 << 20)
            except (TimeoutError, OSError):
                break
        client_socket.settimeout(None)
    our_socket.close()
    client_socket.close()
    return spent / (count // BATCH * BATCH)


@click.command(help=__doc__)
@click.option("--count", default=20_000, show_default=True)
def main(count: int) -> None:
    for name, body in (("poll", b""), ("check-in of 300 bytes", b"x" * 300), ("check-in of 4 KiB", b"x" * 4096)):
        seconds_per_exchange(Handler, body, BATCH * 4)
        was, now = (seconds_per_exchange(kind, body, count) * 1e6 for kind in (StockHandler, Handler))
        click.echo(f"{name:24} stock {was:6.1f} us   ours {now:6.1f} us   ratio {now / was:.2f}")


if __name__ == "__main__":
    main()
