"""Answers that are cut, that never end, or that come twice prove nothing that is not whole."""

from __future__ import annotations

import contextlib
from typing import Any

from tests.scenario import SETTINGS, Scenario

ACCEPTED = "HTTP/1.1 202 Accepted\\r\\nContent-Length: 2\\r\\n\\r\\nok"
TURNED_AWAY = "HTTP/1.1 503 No\\r\\nX-Turned-Away: 1\\r\\nContent-Length: 4\\r\\n\\r\\nfull"
ANSWER = "HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\ndone"
ONE_TRY: dict[str, Any] = {"permissions": {**SETTINGS["permissions"], "mostTries": 5}}


def cuts(answer: str) -> list[str]:
    """Each beginning of it that is not the whole."""
    whole = answer.replace("\\r\\n", "\r\n")
    return [whole[:n].replace("\r\n", "\\r\\n") for n in range(1, len(whole))]


class Cut(Scenario):
    def each(self, answer: str) -> None:
        """At each byte: the job must neither be sent again nor refused, and the real server is told first."""
        self.start(ONE_TRY)
        for n, cut in enumerate(cuts(answer)):
            if cut.endswith("\r"):
                continue  # the language can't say half a line's end
            self.play(f"""
                c send job a{n} settle
                s expect POST /api | X-Txn: a{n}
                s send RAW {cut}
                s close
                s expect DELETE /jobs/a{n}
                s send 204
                c expect 502 | !Retry-After
            """)
        self.play("node send USR1\nnode expect counters | !outcome_full | !outcome_connect_failed | !faults")

    def test_an_acceptance(self) -> None:
        self.each(ACCEPTED)

    def test_a_turning_away(self) -> None:
        self.each(TURNED_AWAY)

    def test_an_answer_of_another_kind(self) -> None:
        self.each(ANSWER)

    def test_where_no_length_tells_the_end(self) -> None:
        # A connection that ended was taken for the end of the answer, and the answer for a proof.
        self.start(ONE_TRY)
        self.play("""
            c send job a settle
            s expect POST /api | X-Txn: a
            s send RAW HTTP/1.1 503 No | X-Turned-Away: 1 | | fu
            s close
            s expect DELETE /jobs/a
            s send 204
            c expect 502
        """)

    def test_a_job_that_is_safe_to_repeat_goes_on_once_the_first_is_told(self) -> None:
        # The real server may have taken it, and believe that it said so.
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

    def test_no_byte_of_an_answer_is_a_reset(self) -> None:
        self.start()
        self.play("""
            c send job a settle
            s expect POST /api | X-Txn: a
            s close
            c expect 502
            node send USR1
            node expect counters | outcome_reset=1 | !deletes
        """)

    def test_endless_ones(self) -> None:
        self.start(ONE_TRY)
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
            with contextlib.suppress(ConnectionError):  # the node may end it as soon as it is too much
                self.line("s").sock.sendall(self.message("RAW HTTP/1.1 " + head))
            self.play(f"""
                s expect DELETE /jobs/a{n}
                s send 204
                c expect 502
            """)

    def test_a_body_that_never_comes_ends_with_the_jobs_time(self) -> None:
        self.start(ONE_TRY)
        self.play("""
            c send POST /api | X-Txn: a | X-Lane: settle | X-Org: acme | X-Remaining: 700m | | body
            s expect POST /api | X-Txn: a
            s send RAW HTTP/1.1 503 No | X-Turned-Away: 1 | Content-Length: 4 | | fu
            c expect 504
            s expect DELETE /jobs/a
        """)
