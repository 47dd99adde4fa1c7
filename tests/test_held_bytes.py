"""What clients and real servers send is held in bounded memory, for all connections together.

Each test plays a node with real connections and measures the process's peak of resident memory.  The bounds
are those of `docs/architecture.md`, "Memory"."""

from __future__ import annotations

import re
import select
import socket
import threading
import time
from collections.abc import Iterable, Sequence

from hypothesis import given
from hypothesis import strategies as st

from tests.scenario import PATIENCE, Scenario
from violetsaddle.net import http
from violetsaddle.net.arrivals import MAX_ENTRIES, Arrivals
from violetsaddle.net.limits import MIB, MS, Limits

KIB = 1024
READ = 64 * KIB  # bytes that one read takes at most
# What Python and the allocator take beside the bytes that are counted, for a few hundred connections.
SLACK = 6 * MIB
CONNECTION_OBJECTS = 12 * KIB  # of one connection: protocol, transport, parser, timers
LIMITS = Limits(600, 320, 1, 1)
HEAD = (
    b"POST /api HTTP/1.1\r\nHost: n\r\nX-Txn: %s\r\nX-Lane: quote\r\nX-Org: acme\r\nX-Remaining: 20000m\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SIZED = HEAD + b"Content-Length: %d\r\n\r\n"
LONG_EXTENSION = b"1;note=" + b"y" * 16_000 + b"\r\nz\r\n"  # one byte of content


def send(client: socket.socket, pieces: Iterable[bytes]) -> None:
    """Sends until the node closes the connection."""
    try:
        for piece in pieces:
            client.sendall(piece)
    except OSError:
        pass


def status(client: socket.socket) -> int:
    """The status of the next answer; 0 where the connection ends without one."""
    try:
        return int(client.recv(65536)[9:12] or 0)
    except OSError:
        return 0


class Memory(Scenario):
    def client(self) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", self.port), PATIENCE)
        self.addCleanup(client.close)
        return client

    def clients(self, count: int) -> list[socket.socket]:
        return [self.client() for _ in range(count)]

    def in_parallel(self, clients: Sequence[socket.socket], pieces: Sequence[Sequence[bytes]]) -> None:
        senders = [threading.Thread(target=send, args=pair) for pair in zip(clients, pieces)]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def resident(self, field: str) -> int:
        with open(f"/proc/{self.program.pid}/status", encoding="ascii") as file:
            found = re.search(rf"{field}:\s+(\d+) kB", file.read())
        assert found is not None
        return int(found[1]) * KIB

    def measure(self) -> None:
        """From now on the peak counts."""
        with open(f"/proc/{self.program.pid}/clear_refs", "w", encoding="ascii") as file:
            file.write("5")
        self.before = self.resident("VmRSS")

    def grown_at_most(self, bound: int) -> None:
        grown = self.resident("VmHWM") - self.before
        self.assertLessEqual(grown, bound, f"grew by {grown / MIB:.1f} MiB, {bound / MIB:.1f} MiB allowed")

    def serves(self, job: str) -> None:
        """A usual request is served."""
        self.play(f"""
            c-{job} send job {job} quote
            s expect ~X-Txn: {job}
            of-{job} send 202
            of-{job} call+ {job} done result=fine
            c-{job} expect 200 | fine
        """)

    def counted(self, name: str) -> int:
        self.play("node send USR1")
        line = self.log("counters")[0]
        found = re.search(rf" {name}=(\d+)", line)
        return int(found[1]) if found else 0

    def test_chunk_extensions_of_bad_clients_are_not_held(self) -> None:
        # A node was killed for its memory: every byte of chunk lines was kept until the message was complete.
        self.start()
        self.serves("a")
        self.measure()
        bad = self.clients(5)
        body = [CHUNKED % b"bad", *[LONG_EXTENSION] * 2500]  # 40 MB
        self.in_parallel(bad, [body] * len(bad))
        self.assertLessEqual({status(client) for client in bad}, {408, 413})
        self.serves("b")
        self.grown_at_most(len(bad) * (LIMITS.head + LIMITS.body + 2 * READ) + SLACK)

    def test_messages_in_every_form_of_chunks_are_served(self) -> None:
        self.start(servers=1)
        whole = bytes(97 + n % 26 for n in range(LIMITS.body))
        plain = b"".join(b"1\r\n%c\r\n" % byte for byte in whole)
        extended = b"".join(b"%x ;a=b;c\r\n%s\r\n" % (50, whole[n : n + 50]) for n in range(0, 65500, 50))
        long = b"".join(LONG_EXTENSION[:-3] + b"%c\r\n" % byte for byte in whole[:200])
        trailers = b"X-Sum: 1\r\nX-Note: " + b"t" * 10_000 + b"\r\n"
        forms = (
            (whole, plain + b"0\r\n\r\n"),
            (whole, plain + b"0\r\n" + trailers + b"\r\n"),
            (whole[:65500], extended + b"000;last\r\n" + trailers + b"\r\n"),
            (whole[:200], long + b"0\r\n\r\n"),
            (whole, b"%X\r\n%s\r\n0\r\n\r\n" % (len(whole), whole)),
        )
        for number, (body, chunks) in enumerate(forms):
            job = f"form{number}"
            send(self.line(f"c-{job}").sock, [CHUNKED % job.encode() + chunks])
            heard = self.next_heard(["~POST /api"])
            self.assertEqual(heard.partition("\r\n\r\n")[2].encode(), body, job)
            self.play(f"s send 202\ns call+ {job} done result=fine\nc-{job} expect 200 | fine")

    def test_many_half_requests_together_stay_under_the_limit(self) -> None:
        # Each connection kept to its limit, but nothing limited what all of them held.
        self.start(limits={"sockets": 1024, "memory_mb": 32})
        self.serves("a")
        self.measure()
        bad = self.clients(400)
        for client in bad:
            send(client, [SIZED % (b"half", LIMITS.body) + b"x" * 60_000])
        self.serves("b")
        refused = [client for client in bad if select.select([client], [], [], 0)[0]]
        self.assertIn(429, {status(client) for client in refused})
        self.assertGreater(self.counted("refused_for_memory"), 0)
        self.grown_at_most(32 * MIB // 3 + len(bad) * (LIMITS.edge_uncounted + CONNECTION_OBJECTS) + SLACK)

    def stays_within(self, memory_mb: int, message: bytes, pieces: int) -> None:
        """Hundreds of clients write `message` in so many pieces and stay: the node keeps to its memory.

        They are fewer than the node has connections, so that usual requests are not refused."""
        self.start(limits={"sockets": 1024, "memory_mb": memory_mb})
        self.serves("a")
        bad = self.clients(570)
        size = -(-len(message) // pieces)
        for start in range(0, len(message), size):
            for client in bad:
                send(client, [message[start : start + size]])
        self.serves("b")
        for client in bad:
            self.assertIn(status(client), (0, 408, 429))
        self.assertLessEqual(self.resident("VmHWM"), memory_mb * MIB)
        for client in bad:
            client.close()
        self.serves("c")
        self.assertEqual(self.counted("held_client_bytes"), 0)

    def test_hundreds_of_heads_of_many_fields_and_half_bodies_fit_into_the_memory(self) -> None:
        # A node of 64 MB held 73 MB: the objects made of each field were not counted.
        names = b"".join(b"N%065d:\r\n" % number for number in range(90))
        message = SIZED.replace(b"\r\nContent", b"\r\n" + names + b"Content") % (b"half", LIMITS.body)
        for memory_mb in (64, 32):
            with self.subTest(memory_mb):
                self.stays_within(memory_mb, message + b"x" * 48_000, 1)
                self.end()

    def test_hundreds_of_clients_that_write_slowly_fit_into_the_memory(self) -> None:
        message = SIZED % (b"slow", LIMITS.body) + b"x" * 60_000
        for memory_mb in (64, 32):
            with self.subTest(memory_mb):
                self.stays_within(memory_mb, message, 40)
                self.end()

    def test_pipelined_bytes_count_after_the_first_answer_too(self) -> None:
        # The count of bytes sent ahead went to 0 as the next request was taken, though they were still held.
        self.start(servers=1)
        self.serves("a")
        self.measure()
        bad = self.clients(150)
        for wave in range(0, len(bad), 30):  # 6 MiB each
            for number, client in enumerate(bad[wave : wave + 30], wave):
                first = SIZED.replace(b"20000m", b"200m") % (b"first%d" % number, 0)
                send(client, [first, (SIZED % (b"second%d" % number, 0)) * 1700])
            for client in bad[wave : wave + 30]:
                self.assertIn(status(client), (429, 502, 503, 504))  # the second is taken, the rest waits
        bound = LIMITS.edge_ahead_all + len(bad) * (2 * LIMITS.edge_uncounted + CONNECTION_OBJECTS)
        self.grown_at_most(bound + SLACK)

    def test_answers_to_a_client_that_does_not_read_are_not_held(self) -> None:
        # Each message was answered as it came, and answers that were not read piled up.
        self.start(servers=1)
        self.serves("a")
        self.measure()
        bad = self.client()
        bad.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        asked = b"GET /nothing HTTP/1.1\r\nHost: n\r\n\r\n"
        bad.settimeout(2)
        send(bad, [asked * 1000] * 1500)  # 50 MB
        self.serves("b")
        self.grown_at_most(LIMITS.edge_unsent + LIMITS.edge_ahead + 4 * READ + SLACK)

    def test_a_client_that_reads_late_gets_every_answer(self) -> None:
        self.start(servers=1)
        client = self.client()
        asked, number = b"GET /nothing HTTP/1.1\r\nHost: n\r\n\r\n", 3000
        sender = threading.Thread(target=send, args=(client, [asked * number]))
        sender.start()
        time.sleep(0.3)
        answers = b""
        while (answered := answers.count(b"HTTP/1.1 404")) < number:
            data = client.recv(65536)
            self.assertTrue(data, f"closed after {answered} answers")
            answers += data
        sender.join()

    def test_answers_of_real_servers_without_end_are_not_held(self) -> None:
        # The same parser reads them: one answer took a node to 682 MB.
        self.start(servers=1)
        self.serves("a")
        self.measure()
        answer = b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n"
        for number in range(3):
            self.play(f"c{number} send job bad{number} settle\ns expect ~X-Txn: bad{number}")
            self.line("s").sock.settimeout(3)
            send(self.line("s").sock, [answer, *[LONG_EXTENSION] * 2500])
        self.grown_at_most(3 * (2 * LIMITS.head + 2 * READ) + SLACK)
        self.assertGreater(self.counted("bad_answers"), 0)

    def test_bodies_of_real_servers_answers_are_not_held(self) -> None:
        # Nothing reads them, but each was kept up to 1 MiB until it was complete.
        self.start(servers=1)
        self.serves("a")
        self.measure()
        head = b"HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n" % LIMITS.answer_body
        for number in range(30):
            self.play(f"c{number} send job big{number} quote\ns expect X-Txn: big{number}")
            send(self.line("s").sock, [head + b"x" * (LIMITS.answer_body - 1)])
        self.grown_at_most(30 * (2 * LIMITS.head + READ + CONNECTION_OBJECTS) + SLACK)
        for number in range(30):
            self.play(f"of-big{number} send RAW x\nof-big{number} call+ big{number} done result=fine")
            self.play(f"c{number} expect 200 | fine")


@given(st.binary(max_size=300), st.lists(st.integers(0, 2000), max_size=20), st.integers(1, 40), st.data())
def test_chunks_in_any_pieces_give_the_body(
    body: bytes, cuts: list[int], size: int, data: st.DataObject
) -> None:
    extension = data.draw(st.sampled_from([b"", b";a=b", b" ; long=" + b"y" * 60]))
    chunks = b"".join(
        b"%x%s\r\n%s\r\n" % (len(part), extension, part)
        for part in (body[at : at + size] for at in range(0, len(body), size))
    )
    sent = CHUNKED % b"a" + chunks + b"0\r\nX-Sum: 1\r\n\r\nGET"
    parser, pieces = (
        http.Parser(LIMITS, LIMITS.body),
        sorted({0, len(sent), *(c for c in cuts if c < len(sent))}),
    )
    message = None
    for begin, end in zip(pieces, pieces[1:]):
        parser.feed(sent[begin:end])
        message = message or parser.next()
        assert parser.held <= len(CHUNKED) + len(body) + 80 + end - begin
    assert message is not None and bytes(message.body) == body and parser.held == 3


def test_arrival_times_of_bytes_sent_one_by_one_are_limited() -> None:
    # A byte each 10 ms behind a request that waits added an entry each, for as long as it waited.
    arrivals = Arrivals()
    for number in range(5000):
        arrivals.record(1, number * 20 * MS)
    assert len(arrivals._marks) <= MAX_ENTRIES
    for number in range(0, 5000, 7):
        assert 0 <= arrivals.last_byte_of_message(4999 - number) <= number * 20 * MS


def test_long_header_names_are_not_cached() -> None:
    # 256 names of 16 KiB each stayed in memory for good.
    before = len(http._LOWER_NAMES)
    parser = http.Parser(LIMITS, LIMITS.body)
    parser.feed(b"GET /up HTTP/1.1\r\nHost: n\r\n" + b"X" * 10_000 + b": 1\r\n\r\n")
    assert parser.next() is not None
    assert all(len(name) < 100 for name in http._LOWER_NAMES) and len(http._LOWER_NAMES) <= before + 1


def test_rare_header_names_are_read_once_the_cache_is_full() -> None:
    # Ever new names fill the cache for good; what other clients send is read all the same.
    parser = http.Parser(LIMITS, LIMITS.body)
    for number in range(300):
        parser.feed(b"GET /up HTTP/1.1\r\nHost: n\r\nNew-%d: 1\r\n\r\n" % number)
        assert parser.next() is not None
    parser.feed(
        b"POST /api HTTP/1.1\r\nhOST: n\r\nX-tXN: a\r\nx-TXN:\tb\r\nCONNECTION: close\r\nX-Other:c\r\n"
        b"cONTENT-lENGTH: 2\r\n\r\nok"
    )
    message = parser.next()
    assert message is not None and bytes(message.body) == b"ok" and not message.keeps_alive
    assert (message.header("x-txn"), message.header("x-other")) == ("a, b", "c")
    assert message.copy_lines(http.HOP_BY_HOP | {"x-other"}) == b"X-tXN: a\r\nx-TXN:\tb\r\n"


def test_the_fields_of_a_head_are_not_held_while_its_body_is_awaited() -> None:
    # Its fields took 22 KiB of objects in each connection, which nothing counted.
    parser = http.Parser(LIMITS, LIMITS.body)
    fields = b"".join(b"n%x: %d\r\n" % (number, number) for number in range(LIMITS.fields - 3))
    parser.feed(b"POST /api HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\n" + fields)
    parser.feed(b"Content-Length: 2\r\n\r\no")
    assert parser.next() is None
    assert parser.wants_continue and not parser._headers
    parser.feed(b"k")
    message = parser.next()
    assert message is not None and bytes(message.body) == b"ok"
    assert message.header("n3") == "3" and message.copy_lines(frozenset(("host", "expect"))).startswith(
        fields
    )
