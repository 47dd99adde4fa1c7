"""Stands in for a replica of the configuration, on a real socket: the test says what it holds and how it
fails."""

from __future__ import annotations

import json
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Condition, Thread
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from violetsaddle.decide.document import digest


class Replica:
    def __init__(self) -> None:
        self.changed = Condition()
        self.told: dict[str, Any] = {"number": 0, "digest": ""}  # the newest version, as it is answered
        self.silent = False  # calls are taken and never answered
        self.status = 200
        self.cut = 0  # bytes left out at the end of each answer's JSON
        self.calls: list[dict[str, str]] = []  # their queries, in the order in which they came
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
                pass  # nodes give calls up

        self.server = Server(("127.0.0.1", 0), Handler)
        self.at = f"127.0.0.1:{self.server.server_port}"
        self.closed = False
        Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def push(self, number: int, document: str, author: str = "ann", wrong_digest: str = "") -> None:
        with self.changed:
            self.told = {
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
        """None: no answer, and the connection ends."""
        query = dict(parse_qsl(urlsplit(target).query))
        after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            self.calls.append(query)
            self.changed.notify_all()
            while self.silent or (self.told["number"] <= after and self.status == 200):
                left = None if self.silent else until - time.monotonic()
                if self.closed:
                    return None
                if left is not None and left <= 0:
                    return json.dumps({k: self.told[k] for k in ("number", "digest")}).encode()
                self.changed.wait(left)
            body = json.dumps(self.told).encode()
            return body[: len(body) - self.cut]

    def wait_for_call(self, within: float, **wanted: str) -> dict[str, str]:
        """The first call whose query holds these."""
        end = time.monotonic() + within
        with self.changed:
            while True:
                for call in self.calls:
                    if wanted.items() <= call.items():
                        return call
                if time.monotonic() >= end:
                    raise AssertionError(f"no call with {wanted} in {within} s, but {self.calls[-5:]}")
                self.changed.wait(end - time.monotonic())

    def close(self) -> None:
        self.set(closed=True)
        self.server.shutdown()
        self.server.server_close()
