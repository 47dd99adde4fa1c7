"""Truncated and endless answers of real servers: an incomplete answer proves nothing about a job."""

from __future__ import annotations

import contextlib
from typing import Any

from tests.scenario import SETTINGS, Scenario

ACCEPTED = "HTTP/1.1 202 Accepted\\r\\nContent-Length: 2\\r\\n\\r\\nok"
REJECTED = "HTTP/1.1 503 No\\r\\nX-Turned-Away: 1\\r\\nContent-Length: 4\\r\\n\\r\\nfull"
ANSWER = "HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\ndone"
FIVE_TRIES: dict[str, Any] = {"permissions": {**SETTINGS["permissions"], "mostTries": 5}}


def prefixes(answer: str) -> list[str]:
    """Every proper prefix of an answer."""
    whole = answer.replace("\\r\\n", "\r\n")
    return [whole[:n].replace("\r\n", "\\r\\n") for n in range(1, len(whole))]


class TruncatedAnswers(Scenario):
    def truncate_at_each_byte(self, answer: str) -> None:
        """The job must be neither resent nor refused, and the client is answered only after the DELETE."""
        self.start(FIVE_TRIES)
        for n, prefix in enumerate(prefixes(answer)):
            if prefix.endswith("\r"):
                continue  # the scenario language can't send half a line ending
            self.play(f"""
                c send job a{n} settle
                s expect POST /api | X-Txn: a{n}
                s send RAW {prefix}
                s close
                s expect DELETE /jobs/a{n}
                s send 204
                c expect 502 | !Retry-After
            """)
        self.play("node send USR1\nnode expect counters | !outcome_full | !outcome_connect_failed | !faults")

    def test_truncated_acceptance(self) -> None:
        self.truncate_at_each_byte(ACCEPTED)

    def test_truncated_rejection(self) -> None:
        self.truncate_at_each_byte(REJECTED)

    def test_truncated_unexpected_answer(self) -> None:
        self.truncate_at_each_byte(ANSWER)

    def test_truncated_answer_without_a_length(self) -> None:
        # Guards against taking the end of the connection for the end of a complete answer.
        self.start(FIVE_TRIES)
        self.play("""
            c send job a settle
            s expect POST /api | X-Txn: a
            s send RAW HTTP/1.1 503 No | X-Turned-Away: 1 | | fu
            s close
            s expect DELETE /jobs/a
            s send 204
            c expect 502
        """)

    def test_a_safe_job_is_resent_only_after_its_delete(self) -> None:
        # The real server may have accepted the job and counts its 202 as sent.
        self.start()
        self.play("""
            c send job a quote
            s expect POST /api | X-Txn: a
            s send RAW HTTP/1.1 202 Accepted | Content-Length: 9 | | o
            s close
            s expect DELETE /jobs/a
            s send 204
            s expect POST /api | X-Txn: a
            s send 202
            s call+ a done result=x
            c expect 200 | x
        """)

    def test_a_close_before_any_answer_counts_as_a_reset(self) -> None:
        self.start()
        self.play("""
            c send job a settle
            s expect POST /api | X-Txn: a
            s close
            c expect 502
            node send USR1
            node expect counters | outcome_reset=1 | !deletes
        """)

    def test_endless_answers(self) -> None:
        self.start(FIVE_TRIES)
        for n, head in enumerate(
            (
                "503 No | X-Turned-Away: 1 | | LONG(2000000)",
                "503 No | X-Turned-Away: 1 | Content-Length: 999999999 | | x",
                "503 No | X-Turned-Away: 1 | Transfer-Encoding: chunked | | 1e8480\\r\\nLONG(1999999)",
                "202 Accepted | X: LONG(2000000)",
            )
        ):
            self.play(f"""
                c send job a{n} settle
                s expect POST /api | X-Txn: a{n}
            """)
            with contextlib.suppress(ConnectionError):  # the node may close it at the size limit
                self.line("s").sock.sendall(self.message("RAW HTTP/1.1 " + head))
            self.play(f"""
                s expect DELETE /jobs/a{n}
                s send 204
                c expect 502
            """)

    def test_a_body_that_never_arrives_ends_at_the_deadline(self) -> None:
        self.start(FIVE_TRIES)
        self.play("""
            c send POST /api | X-Txn: a | X-Lane: settle | X-Org: acme | X-Remaining: 700m | | body
            s expect POST /api | X-Txn: a
            s send RAW HTTP/1.1 503 No | X-Turned-Away: 1 | Content-Length: 4 | | fu
            c expect 504
            s expect DELETE /jobs/a
        """)
