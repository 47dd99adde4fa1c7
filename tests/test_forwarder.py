"""The yardstick forwards what it should: in single bytes, sent ahead, large, over lines that break."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import unittest

from benchmarks.guard import End
from benchmarks.load import request
from benchmarks.standins import HOST


class Forwarder(unittest.TestCase):
    def setUp(self) -> None:
        self.boxes = [socket.create_server((HOST, 0)) for _ in range(2)]
        discovery = socket.create_server((HOST, 0))
        for sock in (*self.boxes, discovery):
            sock.settimeout(20)
            self.addCleanup(sock.close)
        listed = json.dumps(
            {"servers": [{"addr": f"{HOST}:{box.getsockname()[1]}"} for box in self.boxes]}
        ).encode()

        def answer() -> None:
            asked = End(discovery.accept()[0])
            asked.message()
            asked.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(listed), listed))
            asked.sock.close()

        told = threading.Thread(target=answer)
        told.start()
        self.program = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.forwarder", "0", str(discovery.getsockname()[1])],
            stderr=subprocess.PIPE,
            env=dict(os.environ),
        )
        self.addCleanup(self.end)
        assert self.program.stderr is not None
        self.port = int(self.program.stderr.readline().rpartition(b":")[2])
        told.join()

    def end(self) -> None:
        self.program.send_signal(signal.SIGTERM)
        self.assertEqual(self.program.wait(20), 0)
        assert self.program.stderr is not None
        self.program.stderr.close()

    def dial(self) -> End:
        made = End(socket.create_connection((HOST, self.port)))
        self.addCleanup(made.sock.close)
        return made

    def accept(self, number: int) -> End:
        made = End(self.boxes[number].accept()[0])
        self.addCleanup(made.sock.close)
        return made

    def call(self, end: End, job: str, state: str, result: str = "", single: bool = False) -> None:
        body = json.dumps({"id": job, "from": "s", "state": state, "result": result}).encode()
        head = b"POST /callback HTTP/1.1\r\nHost: n\r\ncontent-length: %d\r\n\r\n" % len(body)
        self.send(end, head + body, single)
        self.assertTrue(end.message().startswith(b"HTTP/1.1 204 "))

    def send(self, end: End, data: bytes, single: bool) -> None:
        for at in range(0, len(data), 1 if single else len(data)):
            end.sock.sendall(data[at : at + (1 if single else len(data))])

    def test_whole_in_single_bytes_and_large(self) -> None:
        client, calls = self.dial(), self.dial()
        lines: list[End] = []
        # Servers in turn, and each one's connection is used again.
        for number, (single, body, result) in enumerate(
            (
                (False, b"hello", "one"),
                (True, b"bytes", "two"),
                (True, b"\r\n\r\nPOST", "thr\r\n\r\nee"),
                (False, os.urandom(65_536), "x" * 64_000),
                (False, b"", ""),
            )
        ):
            data, job = request(f"a{number}", body, number), f"a{number}"
            self.send(client, data.replace(b"\r\nX-Txn", b"\r\nConnection: keep-alive\r\nX-Txn"), single)
            if number < 2:
                lines.append(self.accept(number))
            line = lines[number % 2]
            heard = line.message()
            head, _, rest = heard.partition(b"\r\n\r\n")
            self.assertEqual(rest, body)
            self.assertIn(f"Host: {HOST}:{self.boxes[number % 2].getsockname()[1]}".encode(), head)
            self.assertNotIn(b"Connection", head)
            self.assertEqual(head.count(b"Host: "), 1)
            told, heard_of = (
                [row for row in text.partition(b"\r\n\r\n")[0].split(b"\r\n") if not row.startswith(b"Host")]
                for text in (data, heard)
            )
            self.assertEqual(told, heard_of)
            self.send(line, b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", single)
            self.call(calls, job, "started", single=single)
            self.call(calls, job, "done", result, single)
            answer = client.message()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "))
            self.assertEqual(answer.partition(b"\r\n\r\n")[2].decode(), result)

    def test_what_is_sent_ahead_waits_its_turn(self) -> None:
        client, calls = self.dial(), self.dial()
        client.sock.sendall(request("p0", b"zero", 0) + request("p1", b"one", 1)[:-2])
        first = self.accept(0)
        self.assertIn(b"zero", first.message())
        self.call(calls, "p0", "done", "a")
        client.sock.sendall(b"ne")
        self.assertTrue(client.message().endswith(b"a"))
        self.assertTrue(self.accept(1).message().endswith(b"one"))
        self.call(calls, "p1", "done", "b")
        self.assertTrue(client.message().endswith(b"b"))

    def test_what_breaks_is_answered(self) -> None:
        client = self.dial()
        client.sock.sendall(request("b0", b"x", 0))
        line = self.accept(0)
        line.message()
        line.sock.close()
        self.assertTrue(client.message().startswith(b"HTTP/1.1 502 "))
        client.sock.sendall(request("b1", b"x", 0))
        line = self.accept(1)
        line.message()
        line.sock.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
        self.assertTrue(client.message().startswith(b"HTTP/1.1 503 "))


if __name__ == "__main__":
    unittest.main()
