"""The rules of `violetsaddle/decide/replication.py`, one by one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from msgspec.structs import replace

from violetsaddle.decide import replication_messages as m
from violetsaddle.decide.replication import ReplicaState, Rules, new_replica, step

NAMES = ("c0", "c1", "c2")
RULES = Rules(patience=3, finish=2, tries=3)


class Cluster:
    """Three replicas and what they said: `sent` in order, delivered by `run`."""

    def __init__(self, new: bool = True) -> None:
        self.states: dict[str, ReplicaState] = {}
        self.disks: dict[str, m.Durable | None] = dict.fromkeys(NAMES)
        self.history: dict[str, dict[int, m.Version]] = {name: {} for name in NAMES}
        self.sent: list[tuple[str, str, Any]] = []
        self.replies: dict[int, m.Result] = {}
        self.timers: list[m.StartTimer] = []
        self.starts = 0
        if new:
            for name in NAMES:
                self.start(name, new=True)
            self.run()

    def start(self, name: str, new: bool = False) -> None:
        self.starts += 1
        peers = tuple(peer for peer in NAMES if peer != name)
        self.states[name] = new_replica(name, peers, self.disks[name], self.starts, new, RULES)
        self.do(name, m.Started())

    def do(self, name: str, event: m.Event) -> tuple[m.Action, ...]:
        self.states[name], actions = step(self.states[name], event)
        for place, action in enumerate(actions):
            if isinstance(action, m.Persist):
                assert place == 0
                self.disks[name] = action.durable
                if action.durable.committed is not None:
                    self.history[name][action.durable.number] = action.durable.committed
            elif isinstance(action, m.Send):
                self.sent.append((name, action.to, action.message))
            elif isinstance(action, m.SendVersion):
                fetched = m.Fetched(self.history[name][action.number], action.newest)
                self.sent.append((name, action.to, fetched))
            elif isinstance(action, m.Reply):
                assert action.token not in self.replies
                self.replies[action.token] = action.result
            elif isinstance(action, m.StartTimer):
                self.timers.append(action)
            elif isinstance(action, m.Committed):
                assert self.history[name][action.version.number] == action.version
        return actions

    def run(self, lost: Callable[[str, str, Any], bool] = lambda sender, to, message: False) -> None:
        """Delivers all that was sent, in order, but what `lost` names and what goes to one not running."""
        while self.sent:
            sender, to, message = self.sent.pop(0)
            if to in self.states and not lost(sender, to, message):
                self.do(to, m.Received(sender, message))

    def write(self, name: str, token: int, base: int, document: str, author: str = "ann") -> None:
        self.do(name, m.Propose(token, base, f"#{document}", author, 1000, document))

    def number(self, name: str) -> int:
        return self.states[name].durable.number

    def status(self, name: str) -> m.Status:
        return self.states[name].status


def without(*names: str) -> Callable[[str, str, Any], bool]:
    return lambda sender, to, message: sender in names or to in names


def test_every_message_passes_through_json() -> None:
    said: list[m.Message] = []
    cluster = Cluster()

    def note(sender: str, to: str, message: m.Message) -> bool:
        said.append(message)
        return False

    cluster.write("c0", 1, 0, "a")
    cluster.run(note)
    cluster.write("c0", 2, 1, "b")
    cluster.write("c1", 3, 1, "c")
    cluster.run(note)
    for name in NAMES:
        cluster.do(name, m.Tick())
    cluster.start("c2")
    cluster.do("c2", m.Received("c0", m.Heartbeat(1 << 40, 9, 9, "x")))
    cluster.run(note)
    cluster.do("c2", m.Received("c0", m.Heartbeat(1 << 40, 9, 9, "x")))
    cluster.do("c0", m.Received("c2", m.Fetch(1)))
    cluster.run(note)
    decoder = msgspec.json.Decoder(m.Message)
    for message in said:
        assert decoder.decode(msgspec.json.encode(message)) == message
    assert {type(message).__name__ for message in said} == {kind.__name__ for kind in m.Message.__args__}


def test_first_start_votes_only_once_every_peer_has_answered() -> None:
    cluster = Cluster(new=False)
    cluster.start("c0", new=True)
    cluster.start("c1", new=True)
    cluster.run()
    for _ in range(10):
        cluster.do("c0", m.Tick())
        cluster.run()
    assert cluster.status("c0") is m.Status.STARTING
    cluster.write("c0", 1, 0, "a")
    assert cluster.replies[1] == m.Joining(m.Status.STARTING)
    cluster.start("c2", new=True)
    cluster.do("c0", m.Tick())
    cluster.do("c1", m.Tick())
    cluster.run()
    assert [cluster.status(name) for name in NAMES] == [m.Status.VOTING] * 3


def test_the_word_for_a_first_start_does_no_harm_once_the_disk_is_lost() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run(without("c2"))
    assert cluster.replies[1] == m.Accepted(1, "#a")
    cluster.disks["c1"] = None
    cluster.start("c1", new=True)
    # The first peer to answer knows of an earlier start.
    cluster.run(without("c0"))
    assert cluster.status("c1") is m.Status.RECOVERING
    for _ in range(10):
        cluster.do("c1", m.Tick())
        cluster.run(without("c0"))
    assert cluster.status("c1") is m.Status.RECOVERING
    cluster.do("c1", m.Tick())
    cluster.run()
    assert cluster.states["c1"].durable.whole and cluster.number("c1") == 1
    # As a recovery: it knows of what it had promised.
    assert cluster.states["c1"].durable.promised == cluster.states["c0"].durable.promised


def test_a_write_is_in_force_on_all_and_a_second_one_follows() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run()
    cluster.write("c1", 2, 1, "b")
    cluster.run()
    assert cluster.replies == {1: m.Accepted(1, "#a"), 2: m.Accepted(2, "#b")}
    assert [cluster.number(name) for name in NAMES] == [2, 2, 2]
    assert cluster.history["c2"][1].document == "a" and cluster.history["c2"][2].document == "b"


def test_compare_and_set() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run()
    cluster.write("c1", 2, 0, "b")
    cluster.write("c1", 3, 5, "b")
    cluster.write("c1", 4, 0, "a")
    cluster.write("c1", 5, 0, "a", "bob")
    assert cluster.replies[2] == m.Conflict(1, "#a")
    assert cluster.replies[3] == m.Behind(1)
    assert cluster.replies[4] == m.Accepted(1, "#a")
    assert cluster.replies[5] == m.Conflict(1, "#a")


def test_of_two_writers_at_one_replica_one_wins() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.write("c0", 2, 0, "b")
    cluster.run()
    assert cluster.replies == {1: m.Accepted(1, "#a"), 2: m.Conflict(1, "#a")}


def test_of_two_writers_at_two_replicas_one_wins() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.write("c1", 2, 0, "b")
    for _ in range(4):
        cluster.run()
        for name in ("c0", "c1"):
            now = cluster.states[name].round
            if now is not None:
                cluster.do(name, m.RoundTimeout(now.ballot.counter))
                cluster.run()
    kinds = sorted(type(reply).__name__ for reply in cluster.replies.values())
    assert kinds == ["Accepted", "Conflict"]
    assert len({cluster.states[name].durable.committed for name in NAMES}) == 1


def test_without_a_majority_nothing_is_accepted() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run(without("c1", "c2"))
    for _ in range(RULES.tries):
        assert 1 not in cluster.replies
        now = cluster.states["c0"].round
        assert now is not None
        cluster.do("c0", m.RoundTimeout(now.ballot.counter))
        cluster.run(without("c1", "c2"))
    assert cluster.replies[1] == m.NoMajority()
    assert cluster.states["c0"].durable.accepted is None
    cluster.do("c0", m.Tick())
    assert cluster.states["c0"].round is None


def test_asked_to_accept_and_not_answered_is_undecided_and_finished_later() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run(lambda sender, to, message: isinstance(message, m.Accept | m.AcceptedVote))
    for _ in range(RULES.tries):
        now = cluster.states["c0"].round
        assert now is not None
        cluster.do("c0", m.RoundTimeout(now.ballot.counter))
        cluster.run(lambda sender, to, message: isinstance(message, m.Accept | m.AcceptedVote))
    assert cluster.replies[1] == m.Undecided()
    for _ in range(RULES.finish):
        cluster.do("c0", m.Tick())
    cluster.run()
    assert [cluster.number(name) for name in NAMES] == [1, 1, 1]


def test_a_proposer_takes_over_what_another_had_accepted() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run(lambda sender, to, message: to == "c1" or isinstance(message, m.AcceptedVote))
    cluster.write("c1", 2, 0, "b")
    cluster.run(without("c0"))
    for _ in range(2):
        now = cluster.states["c1"].round
        if now is not None:
            cluster.do("c1", m.RoundTimeout(now.ballot.counter))
            cluster.run(without("c0"))
    assert cluster.replies == {2: m.Conflict(1, "#a")}
    cluster.do("c1", m.Tick())
    cluster.run()
    assert cluster.replies == {1: m.Accepted(1, "#a"), 2: m.Conflict(1, "#a")}


def test_a_promise_holds_and_is_answered_with_the_higher_ballot() -> None:
    cluster = Cluster()
    low, high = m.Ballot(4, "c0", 1), m.Ballot(5, "c1", 1)
    told = cluster.states["c2"].durable.peers
    incarnation = {peer.name: peer.incarnation for peer in told}
    cluster.do("c2", m.Received("c1", m.Prepare(incarnation["c1"], 1, 1, high)))
    version = m.Version(1, "#a", "ann", 0, "a")
    for event in (
        m.Prepare(incarnation["c0"], 1, 1, low),
        m.Accept(incarnation["c0"], 1, low, version),
    ):
        cluster.sent.clear()
        actions = cluster.do("c2", m.Received("c0", event))
        assert [type(action) for action in actions] == [m.Send]
        (_, to, message), *_ = cluster.sent
        assert to == "c0" and isinstance(message, m.Nack) and message.promised == high


def test_a_nack_waits_for_the_driver_to_back_off() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    now = cluster.states["c0"].round
    assert now is not None and cluster.timers[-1] == m.StartTimer(now.ballot.counter, 1, False)
    told = {peer.name: peer.incarnation for peer in cluster.states["c0"].durable.peers}
    nack = m.Nack(told["c1"], 1, now.ballot, m.Ballot(7, "c1", told["c1"]))
    cluster.do("c0", m.Received("c1", nack))
    assert cluster.timers[-1] == m.StartTimer(now.ballot.counter, 1, True)
    cluster.run()
    assert not cluster.replies
    cluster.do("c0", m.RoundTimeout(now.ballot.counter))
    assert cluster.timers[-1] == m.StartTimer(8, 2, False)
    cluster.run()
    assert cluster.replies == {1: m.Accepted(1, "#a")}


def test_one_that_is_behind_fetches_every_version() -> None:
    cluster = Cluster()
    for number in range(5):
        cluster.write("c0", number, number, f"d{number}")
        cluster.run(without("c2"))
    assert cluster.number("c2") == 0
    cluster.do("c0", m.Tick())
    cluster.run()
    assert cluster.number("c2") == 5 and sorted(cluster.history["c2"]) == [1, 2, 3, 4, 5]


def test_a_proposer_that_is_behind_learns_what_its_base_became() -> None:
    cluster = Cluster()
    for number in range(3):
        cluster.write("c0", number, number, f"d{number}")
        cluster.run(without("c2"))
    cluster.write("c2", 7, 0, "z")
    cluster.run()
    assert cluster.replies[7] == m.Conflict(1, "#d0")
    assert cluster.number("c2") == 3


def test_a_restart_with_a_whole_disk_waits_for_one_peer_for_some_ticks_for_both() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run()
    before = cluster.states["c2"].durable
    cluster.start("c2")
    assert cluster.states["c2"].durable.incarnation > before.incarnation
    assert cluster.states["c2"].durable.promised == before.promised
    cluster.run(without("c0"))
    for _ in range(RULES.patience):
        assert cluster.status("c2") is m.Status.STARTING
        cluster.do("c2", m.Tick())
        cluster.run(without("c0"))
    assert cluster.status("c2") is m.Status.VOTING
    cluster.start("c2")
    cluster.run()
    assert cluster.status("c2") is m.Status.VOTING


def test_all_restarted_at_once_vote_again() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run()
    cluster.states.clear()
    for name in NAMES:
        cluster.start(name)
    for name in NAMES:
        cluster.do(name, m.Tick())
    cluster.run()
    assert [cluster.status(name) for name in NAMES] == [m.Status.VOTING] * 3
    cluster.write("c2", 2, 1, "b")
    cluster.run()
    assert cluster.replies[2] == m.Accepted(2, "#b")


def test_a_lost_disk_needs_all_peers_and_brings_back_promise_and_vote() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run()
    cluster.write("c0", 2, 1, "b")
    cluster.run(lambda sender, to, message: isinstance(message, m.AcceptedVote))
    lost = cluster.states["c2"].durable
    assert lost.accepted is not None
    cluster.disks["c2"] = None
    cluster.start("c2")
    for _ in range(2 * RULES.patience):
        cluster.do("c2", m.Tick())
        cluster.run(without("c1"))
        assert cluster.status("c2") is m.Status.RECOVERING
    told = {peer.name: peer.incarnation for peer in cluster.states["c2"].durable.peers}
    cluster.do("c2", m.Received("c0", m.Prepare(told["c0"], 9, 2, m.Ballot(9, "c0", told["c0"]))))
    assert not cluster.sent
    # Started again before it is complete: it is not whole for that.
    cluster.start("c2")
    assert cluster.status("c2") is m.Status.RECOVERING
    cluster.run()
    now = cluster.states["c2"].durable
    assert cluster.status("c2") is m.Status.VOTING and now.whole
    assert (now.promised, now.accepted, now.number) == (lost.promised, lost.accepted, 1)
    # Above every vote that was counted; the last one was not.
    assert now.sequence >= lost.sequence


def test_two_lost_disks_do_not_help_each_other() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run()
    for name in ("c1", "c2"):
        cluster.disks[name] = None
        cluster.start(name)
    for _ in range(3 * RULES.patience):
        for name in NAMES:
            cluster.do(name, m.Tick())
        cluster.run()
    assert cluster.status("c1") is cluster.status("c2") is m.Status.RECOVERING
    # What was committed is served all the same.
    assert cluster.number("c1") == 1


@pytest.mark.parametrize("restarted", [False, True])
def test_an_older_disk_is_noticed(restarted: bool) -> None:
    cluster = Cluster()
    copy = cluster.disks["c2"]
    if restarted:
        cluster.start("c2")
        cluster.run()
    else:
        cluster.write("c0", 1, 0, "a")
        cluster.run(without("c1"))
    cluster.disks["c2"] = copy
    cluster.start("c2")
    # The peer's answer names a vote, or a start, that this disk does not know.
    cluster.run(without("c1"))
    assert cluster.status("c2") is m.Status.RECOVERING
    disk = cluster.disks["c2"]
    assert disk is not None and not disk.whole
    cluster.run()
    cluster.do("c2", m.Tick())
    cluster.run()
    assert cluster.status("c2") is m.Status.VOTING
    assert cluster.states["c2"].durable.promised == cluster.states["c0"].durable.promised


def test_an_older_disk_is_noticed_at_its_second_start_and_by_a_late_answer() -> None:
    cluster = Cluster()
    copy = cluster.disks["c2"]
    cluster.write("c0", 1, 0, "a")
    cluster.run(without("c1"))
    cluster.disks["c2"] = copy
    cluster.start("c2")
    cluster.run(lambda sender, to, message: True)
    cluster.start("c2")
    for _ in range(RULES.patience):
        cluster.do("c2", m.Tick())
        cluster.run(without("c0"))
    assert cluster.status("c2") is m.Status.VOTING  # content with c1, which saw nothing
    cluster.write("c2", 2, 0, "b")
    cluster.sent.clear()
    cluster.do("c2", m.Tick())
    cluster.run(without("c1"))
    # It gives up what it had begun and recovers, here at once: both peers have answered this start.
    assert cluster.replies[2] == m.NoMajority()
    assert cluster.states["c2"].loaded > m.Durable().sequence
    assert cluster.status("c2") is m.Status.VOTING and cluster.number("c2") == 1


def test_a_ballot_that_counts_a_vote_ends_at_the_voters_new_start() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    cluster.run(lambda sender, to, message: isinstance(message, m.Accept))
    cluster.start("c1")
    cluster.run(without("c2"))
    assert cluster.timers[-1].backoff
    now = cluster.states["c0"].round
    assert now is not None
    cluster.do("c0", m.RoundTimeout(now.ballot.counter))
    cluster.run()
    assert cluster.replies == {1: m.Accepted(1, "#a")}


def test_a_vote_from_before_the_voters_new_start_does_not_count() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    kept: list[tuple[str, str, Any]] = []

    def hold(sender: str, to: str, message: Any) -> bool:
        if isinstance(message, m.Promise):
            kept.append((sender, to, message))
        return isinstance(message, m.Promise)

    cluster.run(hold)
    cluster.start("c1")
    cluster.run(without("c2"))
    promise = next(message for sender, _, message in kept if sender == "c1")
    cluster.do("c0", m.Received("c1", promise))
    now = cluster.states["c0"].round
    assert now is not None and len(now.promises) == 1


def test_a_vote_is_written_before_it_is_sent_and_a_failed_write_leaves_nothing() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    sender, to, message = cluster.sent[0]
    before = cluster.states[to]
    after, actions = step(before, m.Received(sender, message))
    assert isinstance(actions[0], m.Persist) and actions[0].durable == after.durable
    assert step(before, m.Received(sender, message)) == (after, actions)
    assert before.durable.promised == m.NO_BALLOT


def test_a_write_that_failed_at_the_start_is_made_up_for() -> None:
    cluster = Cluster()
    peers = ("c0", "c1")
    state = new_replica("c2", peers, cluster.disks["c2"], 9, False, RULES)
    _, actions = step(state, m.Tick())
    assert isinstance(actions[0], m.Persist)
    assert any(isinstance(action, m.Send) and isinstance(action.message, m.Hello) for action in actions)


def test_a_stranger_is_not_heard() -> None:
    cluster = Cluster()
    state = cluster.states["c0"]
    assert step(state, m.Received("c9", m.Fetch(1))) == (state, ())


def test_a_repeated_prepare_and_accept_are_answered_without_a_write() -> None:
    cluster = Cluster()
    cluster.write("c0", 1, 0, "a")
    prepare = cluster.sent[0][2]
    cluster.do("c1", m.Received("c0", prepare))
    actions = cluster.do("c1", m.Received("c0", prepare))
    assert [type(action) for action in actions] == [m.Send]
    accept = m.Accept(prepare.incarnation, 2, prepare.ballot, m.Version(1, "#a", "ann", 0, "a"))
    cluster.do("c1", m.Received("c0", accept))
    actions = cluster.do("c1", m.Received("c0", accept))
    assert [type(action) for action in actions] == [m.Send]


def test_an_empty_disk_without_the_operators_word_waits() -> None:
    state = new_replica("c0", ("c1", "c2"), None, 1)
    assert state.status is m.Status.RECOVERING
    alone = new_replica("c0", (), None, 1)
    after, _ = step(alone, m.Started())
    assert after.status is m.Status.RECOVERING


def test_a_number_of_a_start_is_above_those_before_it() -> None:
    low = new_replica("c0", ("c1",), m.Durable(incarnation=(3 << 32) | 0xFFFFFFFF, whole=True), 0)
    assert low.durable.incarnation == 4 << 32
    assert replace(low, nonce=5).durable.incarnation == 4 << 32


def test_one_that_stood_still_catches_up_with_few_messages() -> None:
    """Many messages wait for it, the first of all missing; each once began a fetch of all that it missed."""
    writes = 40
    cluster, held = Cluster(), []

    def hold(sender: str, to: str, message: Any) -> bool:
        if to == "c2":
            held.append((sender, to, message))
        return to == "c2"

    for number in range(writes):
        cluster.write("c0", number, number, f"document {number}")
        cluster.run(lost=hold)
    assert cluster.number("c0") == writes and cluster.number("c2") == 0 and len(held) >= 3 * writes
    passed = 0

    def count(sender: str, to: str, message: Any) -> bool:
        nonlocal passed
        passed += 1
        return False

    waiting = held[len(held) // 4 :]
    cluster.sent = list(waiting)
    cluster.run(lost=count)
    assert cluster.number("c2") == writes
    assert sorted(cluster.history["c2"]) == list(range(1, writes + 1))
    assert passed <= 4 * len(waiting)
