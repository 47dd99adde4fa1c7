"""What a node knew before it ended may be long over: it asks discovery before it sends by its old list."""

from __future__ import annotations

import time

from tests.scenario import Scenario, address, listener

ASKED = {"discovery": "ask"}
SILENCE_ENDS = 3.0  # seconds; a node goes by the old list 0.5 s after its first request


class StartList(Scenario):
    def test_a_job_waits_for_the_first_list(self) -> None:
        self.start(ASKED, servers=1)
        self.servers["s-2"] = listener()
        self.where["s-2"] = address(self.servers["s-2"])
        # The only server that it knows has gone; the job comes before discovery has said so.
        self.play("""
            c send job a settle
            d expect after=1
            d send list 2 s-1=removed s-2=up
            s expect X-Txn: a
            s send 202
            s call+ a done result=x
            c expect 200 | x
        """)
        self.assertEqual(self.heard[-1].name, "s-2")

    def test_a_silent_discovery_holds_nobody_for_long(self) -> None:
        self.start(ASKED)
        began = time.monotonic()
        self.play(
            "c send job a settle\ns expect X-Txn: a\ns send 202\ns call+ a done result=x\nc expect 200 | x"
        )
        self.assertLess(time.monotonic() - began, SILENCE_ENDS)
