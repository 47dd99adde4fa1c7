"""A fake replica of the configuration on a real socket. The test sets its newest version and its faults."""

from __future__ import annotations

import json
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Condition, Thread
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from violetsaddle.decide.document import digest


class Replica:
    """Answers the nodes' requests for a newer version, as a replica does."""

    def __init__(self) -> None:
        self.changed = Condition()
        self.newest: dict[str, Any] = {"number": 0, "digest": ""}  # the body of answers
        self.delay = 0.0  # seconds before a request is looked at
        self.silent = False  # whether requests are accepted and never answered
        self.status = 200
        self.truncated_bytes = 0  # missing at the end of each answer's body
        self.calls: list[dict[str, str]] = []  # the queries of all requests, in order of arrival
        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                body = replica.answer(self.path)
                if body is None:
                    self.close_connection = True
                    return
                self.send_response(replica.status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: Any) -> None:
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request: Any, client_address: Any) -> None:
                pass  # nodes cancel requests

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.closed = False
        Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def push(self, number: int, document: str, author: str = "ann", wrong_digest: str = "") -> None:
        with self.changed:
            self.newest = {
                "number": number,
                "digest": wrong_digest or digest(document),
                "author": author,
                "time_ms": 1,
                "document": document,
            }
            self.changed.notify_all()

    def set(self, **values: Any) -> None:
        with self.changed:
            for name, value in values.items():
                setattr(self, name, value)
            self.changed.notify_all()

    def answer(self, target: str) -> bytes | None:
        """The body of the answer, as soon as there is one. None closes the connection without an answer."""
        query = dict(parse_qsl(urlsplit(target).query))
        time.sleep(self.delay)
        after, deadline = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            self.calls.append(query)
            self.changed.notify_all()
            while self.silent or (self.newest["number"] <= after and self.status == 200):
                remaining = None if self.silent else deadline - time.monotonic()
                if self.closed:
                    return None
                if remaining is not None and remaining <= 0:
                    return json.dumps({k: self.newest[k] for k in ("number", "digest")}).encode()
                self.changed.wait(remaining)
            body = json.dumps(self.newest).encode()
            return body[: len(body) - self.truncated_bytes]

    def wait_for_call(self, timeout_s: float, **parameters: str) -> dict[str, str]:
        """Waits for a request whose query has these parameters, and returns its query."""
        deadline = time.monotonic() + timeout_s
        with self.changed:
            while True:
                for call in self.calls:
                    if parameters.items() <= call.items():
                        return call
                if time.monotonic() >= deadline:
                    raise AssertionError(f"no call with {parameters} in {timeout_s} s, but {self.calls[-5:]}")
                self.changed.wait(deadline - time.monotonic())

    def close(self) -> None:
        self.set(closed=True)
        self.server.shutdown()
        self.server.server_close()
