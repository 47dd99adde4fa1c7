"""The consensus protocol in `violetsaddle/decide/replication.py`: one test for each rule."""

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
    """Three replicas with their disks. Messages wait in `sent`, in order, until `deliver` delivers them."""

    def __init__(self, first_start: bool = True) -> None:
        self.states: dict[str, ReplicaState] = {}
        self.disks: dict[str, m.Durable | None] = dict.fromkeys(NAMES)
        self.history: dict[str, dict[int, m.Version]] = {name: {} for name in NAMES}
        self.sent: list[tuple[str, str, Any]] = []
        self.replies: dict[int, m.Result] = {}
        self.timers: list[m.StartTimer] = []
        self.starts = 0
        if first_start:
            for name in NAMES:
                self.start(name, first_start=True)
            self.deliver()

    def start(self, name: str, first_start: bool = False) -> None:
        self.starts += 1
        peers = tuple(peer for peer in NAMES if peer != name)
        self.states[name] = new_replica(name, peers, self.disks[name], self.starts, first_start, RULES)
        self.process(name, m.Started())

    def process(self, name: str, event: m.Event) -> tuple[m.Action, ...]:
        self.states[name], actions = step(self.states[name], event)
        for position, action in enumerate(actions):
            if isinstance(action, m.Persist):
                assert position == 0
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

    def deliver(self, lost: Callable[[str, str, Any], bool] = lambda sender, to, message: False) -> None:
        """Delivers all messages in order, except those that `lost` selects or whose receiver is stopped."""
        while self.sent:
            sender, to, message = self.sent.pop(0)
            if to in self.states and not lost(sender, to, message):
                self.process(to, m.Received(sender, message))

    def propose(self, name: str, token: int, base: int, document: str, author: str = "ann") -> None:
        self.process(name, m.Propose(token, base, f"#{document}", author, 1000, document))

    def number(self, name: str) -> int:
        return self.states[name].durable.number

    def status(self, name: str) -> m.Status:
        return self.states[name].status


def dropping(*names: str) -> Callable[[str, str, Any], bool]:
    return lambda sender, to, message: sender in names or to in names


def test_every_message_survives_json_encoding() -> None:
    observed: list[m.Message] = []
    cluster = Cluster()

    def observe(sender: str, to: str, message: m.Message) -> bool:
        observed.append(message)
        return False

    cluster.propose("c0", 1, 0, "a")
    cluster.deliver(observe)
    cluster.propose("c0", 2, 1, "b")
    cluster.propose("c1", 3, 1, "c")
    cluster.deliver(observe)
    for name in NAMES:
        cluster.process(name, m.Tick())
    cluster.start("c2")
    cluster.process("c2", m.Received("c0", m.Heartbeat(1 << 40, 9, 9, "x")))
    cluster.deliver(observe)
    cluster.process("c2", m.Received("c0", m.Heartbeat(1 << 40, 9, 9, "x")))
    cluster.process("c0", m.Received("c2", m.Fetch(1)))
    cluster.deliver(observe)
    decoder = msgspec.json.Decoder(m.Message)
    for message in observed:
        assert decoder.decode(msgspec.json.encode(message)) == message
    assert {type(message).__name__ for message in observed} == {kind.__name__ for kind in m.Message.__args__}


def test_a_first_start_votes_only_after_every_peer_has_answered() -> None:
    cluster = Cluster(first_start=False)
    cluster.start("c0", first_start=True)
    cluster.start("c1", first_start=True)
    cluster.deliver()
    for _ in range(10):
        cluster.process("c0", m.Tick())
        cluster.deliver()
    assert cluster.status("c0") is m.Status.STARTING
    cluster.propose("c0", 1, 0, "a")
    assert cluster.replies[1] == m.Joining(m.Status.STARTING)
    cluster.start("c2", first_start=True)
    cluster.process("c0", m.Tick())
    cluster.process("c1", m.Tick())
    cluster.deliver()
    assert [cluster.status(name) for name in NAMES] == [m.Status.VOTING] * 3


def test_the_first_start_option_is_harmless_after_a_lost_disk() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver(dropping("c2"))
    assert cluster.replies[1] == m.Accepted(1, "#a")
    cluster.disks["c1"] = None
    cluster.start("c1", first_start=True)
    # The only peer that answers knows of an earlier start.
    cluster.deliver(dropping("c0"))
    assert cluster.status("c1") is m.Status.RECOVERING
    for _ in range(10):
        cluster.process("c1", m.Tick())
        cluster.deliver(dropping("c0"))
    assert cluster.status("c1") is m.Status.RECOVERING
    cluster.process("c1", m.Tick())
    cluster.deliver()
    assert cluster.states["c1"].durable.whole and cluster.number("c1") == 1
    # The recovery has restored the promise.
    assert cluster.states["c1"].durable.promised == cluster.states["c0"].durable.promised


def test_two_proposals_in_sequence_are_committed_on_all_replicas() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver()
    cluster.propose("c1", 2, 1, "b")
    cluster.deliver()
    assert cluster.replies == {1: m.Accepted(1, "#a"), 2: m.Accepted(2, "#b")}
    assert [cluster.number(name) for name in NAMES] == [2, 2, 2]
    assert cluster.history["c2"][1].document == "a" and cluster.history["c2"][2].document == "b"


def test_compare_and_set() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver()
    cluster.propose("c1", 2, 0, "b")
    cluster.propose("c1", 3, 5, "b")
    cluster.propose("c1", 4, 0, "a")
    cluster.propose("c1", 5, 0, "a", "bob")
    assert cluster.replies[2] == m.Conflict(1, "#a")
    assert cluster.replies[3] == m.Behind(1)
    assert cluster.replies[4] == m.Accepted(1, "#a")
    assert cluster.replies[5] == m.Conflict(1, "#a")


def test_one_of_two_proposals_at_one_replica_wins() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.propose("c0", 2, 0, "b")
    cluster.deliver()
    assert cluster.replies == {1: m.Accepted(1, "#a"), 2: m.Conflict(1, "#a")}


def test_one_of_two_proposals_at_two_replicas_wins() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.propose("c1", 2, 0, "b")
    for _ in range(4):
        cluster.deliver()
        for name in ("c0", "c1"):
            current = cluster.states[name].round
            if current is not None:
                cluster.process(name, m.RoundTimeout(current.ballot.counter))
                cluster.deliver()
    kinds = sorted(type(reply).__name__ for reply in cluster.replies.values())
    assert kinds == ["Accepted", "Conflict"]
    assert len({cluster.states[name].durable.committed for name in NAMES}) == 1


def test_without_a_majority_nothing_is_accepted() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver(dropping("c1", "c2"))
    for _ in range(RULES.tries):
        assert 1 not in cluster.replies
        current = cluster.states["c0"].round
        assert current is not None
        cluster.process("c0", m.RoundTimeout(current.ballot.counter))
        cluster.deliver(dropping("c1", "c2"))
    assert cluster.replies[1] == m.NoMajority()
    assert cluster.states["c0"].durable.accepted is None
    cluster.process("c0", m.Tick())
    assert cluster.states["c0"].round is None


def test_a_proposal_without_votes_is_undecided_and_committed_later() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver(lambda sender, to, message: isinstance(message, m.Accept | m.AcceptedVote))
    for _ in range(RULES.tries):
        current = cluster.states["c0"].round
        assert current is not None
        cluster.process("c0", m.RoundTimeout(current.ballot.counter))
        cluster.deliver(lambda sender, to, message: isinstance(message, m.Accept | m.AcceptedVote))
    assert cluster.replies[1] == m.Undecided()
    for _ in range(RULES.finish):
        cluster.process("c0", m.Tick())
    cluster.deliver()
    assert [cluster.number(name) for name in NAMES] == [1, 1, 1]


def test_a_proposer_adopts_a_version_that_another_replica_accepted() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver(lambda sender, to, message: to == "c1" or isinstance(message, m.AcceptedVote))
    cluster.propose("c1", 2, 0, "b")
    cluster.deliver(dropping("c0"))
    for _ in range(2):
        current = cluster.states["c1"].round
        if current is not None:
            cluster.process("c1", m.RoundTimeout(current.ballot.counter))
            cluster.deliver(dropping("c0"))
    assert cluster.replies == {2: m.Conflict(1, "#a")}
    cluster.process("c1", m.Tick())
    cluster.deliver()
    assert cluster.replies == {1: m.Accepted(1, "#a"), 2: m.Conflict(1, "#a")}


def test_a_lower_ballot_gets_a_nack_with_the_promised_ballot() -> None:
    cluster = Cluster()
    low, high = m.Ballot(4, "c0", 1), m.Ballot(5, "c1", 1)
    peers = cluster.states["c2"].durable.peers
    incarnations = {peer.name: peer.incarnation for peer in peers}
    cluster.process("c2", m.Received("c1", m.Prepare(incarnations["c1"], 1, 1, high)))
    version = m.Version(1, "#a", "ann", 0, "a")
    for event in (
        m.Prepare(incarnations["c0"], 1, 1, low),
        m.Accept(incarnations["c0"], 1, low, version),
    ):
        cluster.sent.clear()
        actions = cluster.process("c2", m.Received("c0", event))
        assert [type(action) for action in actions] == [m.Send]
        (_, to, message), *_ = cluster.sent
        assert to == "c0" and isinstance(message, m.Nack) and message.promised == high


def test_a_nack_starts_the_back_off_timer() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    current = cluster.states["c0"].round
    assert current is not None and cluster.timers[-1] == m.StartTimer(current.ballot.counter, 1, False)
    incarnations = {peer.name: peer.incarnation for peer in cluster.states["c0"].durable.peers}
    nack = m.Nack(incarnations["c1"], 1, current.ballot, m.Ballot(7, "c1", incarnations["c1"]))
    cluster.process("c0", m.Received("c1", nack))
    assert cluster.timers[-1] == m.StartTimer(current.ballot.counter, 1, True)
    cluster.deliver()
    assert not cluster.replies
    cluster.process("c0", m.RoundTimeout(current.ballot.counter))
    assert cluster.timers[-1] == m.StartTimer(8, 2, False)
    cluster.deliver()
    assert cluster.replies == {1: m.Accepted(1, "#a")}


def test_a_replica_that_is_behind_fetches_every_version() -> None:
    cluster = Cluster()
    for number in range(5):
        cluster.propose("c0", number, number, f"d{number}")
        cluster.deliver(dropping("c2"))
    assert cluster.number("c2") == 0
    cluster.process("c0", m.Tick())
    cluster.deliver()
    assert cluster.number("c2") == 5 and sorted(cluster.history["c2"]) == [1, 2, 3, 4, 5]


def test_a_proposer_that_is_behind_replies_conflict_and_catches_up() -> None:
    cluster = Cluster()
    for number in range(3):
        cluster.propose("c0", number, number, f"d{number}")
        cluster.deliver(dropping("c2"))
    cluster.propose("c2", 7, 0, "z")
    cluster.deliver()
    assert cluster.replies[7] == m.Conflict(1, "#d0")
    assert cluster.number("c2") == 3


def test_a_restart_with_a_whole_disk_waits_for_both_peers_then_for_a_majority() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver()
    before = cluster.states["c2"].durable
    cluster.start("c2")
    assert cluster.states["c2"].durable.incarnation > before.incarnation
    assert cluster.states["c2"].durable.promised == before.promised
    cluster.deliver(dropping("c0"))
    for _ in range(RULES.patience):
        assert cluster.status("c2") is m.Status.STARTING
        cluster.process("c2", m.Tick())
        cluster.deliver(dropping("c0"))
    assert cluster.status("c2") is m.Status.VOTING
    cluster.start("c2")
    cluster.deliver()
    assert cluster.status("c2") is m.Status.VOTING


def test_all_replicas_vote_again_after_a_simultaneous_restart() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver()
    cluster.states.clear()
    for name in NAMES:
        cluster.start(name)
    for name in NAMES:
        cluster.process(name, m.Tick())
    cluster.deliver()
    assert [cluster.status(name) for name in NAMES] == [m.Status.VOTING] * 3
    cluster.propose("c2", 2, 1, "b")
    cluster.deliver()
    assert cluster.replies[2] == m.Accepted(2, "#b")


def test_recovery_from_a_lost_disk_needs_all_peers_and_restores_promise_and_vote() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver()
    cluster.propose("c0", 2, 1, "b")
    cluster.deliver(lambda sender, to, message: isinstance(message, m.AcceptedVote))
    lost = cluster.states["c2"].durable
    assert lost.accepted is not None
    cluster.disks["c2"] = None
    cluster.start("c2")
    for _ in range(2 * RULES.patience):
        cluster.process("c2", m.Tick())
        cluster.deliver(dropping("c1"))
        assert cluster.status("c2") is m.Status.RECOVERING
    incarnations = {peer.name: peer.incarnation for peer in cluster.states["c2"].durable.peers}
    cluster.process(
        "c2", m.Received("c0", m.Prepare(incarnations["c0"], 9, 2, m.Ballot(9, "c0", incarnations["c0"])))
    )
    assert not cluster.sent
    # A restart during the recovery does not make the disk whole.
    cluster.start("c2")
    assert cluster.status("c2") is m.Status.RECOVERING
    cluster.deliver()
    recovered = cluster.states["c2"].durable
    assert cluster.status("c2") is m.Status.VOTING and recovered.whole
    assert (recovered.promised, recovered.accepted, recovered.number) == (lost.promised, lost.accepted, 1)
    # The sequence is not below that of any counted vote; the last vote was not counted.
    assert recovered.sequence >= lost.sequence


def test_two_replicas_with_lost_disks_cannot_recover_from_each_other() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver()
    for name in ("c1", "c2"):
        cluster.disks[name] = None
        cluster.start(name)
    for _ in range(3 * RULES.patience):
        for name in NAMES:
            cluster.process(name, m.Tick())
        cluster.deliver()
    assert cluster.status("c1") is cluster.status("c2") is m.Status.RECOVERING
    # Committed versions are still fetched.
    assert cluster.number("c1") == 1


@pytest.mark.parametrize("restarted", [False, True])
def test_an_older_disk_is_detected(restarted: bool) -> None:
    cluster = Cluster()
    copy = cluster.disks["c2"]
    if restarted:
        cluster.start("c2")
        cluster.deliver()
    else:
        cluster.propose("c0", 1, 0, "a")
        cluster.deliver(dropping("c1"))
    cluster.disks["c2"] = copy
    cluster.start("c2")
    # The peer's answer shows a vote or a start that is not on this disk.
    cluster.deliver(dropping("c1"))
    assert cluster.status("c2") is m.Status.RECOVERING
    disk = cluster.disks["c2"]
    assert disk is not None and not disk.whole
    cluster.deliver()
    cluster.process("c2", m.Tick())
    cluster.deliver()
    assert cluster.status("c2") is m.Status.VOTING
    assert cluster.states["c2"].durable.promised == cluster.states["c0"].durable.promised


def test_an_older_disk_is_detected_at_its_second_start_by_a_late_answer() -> None:
    cluster = Cluster()
    copy = cluster.disks["c2"]
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver(dropping("c1"))
    cluster.disks["c2"] = copy
    cluster.start("c2")
    cluster.deliver(lambda sender, to, message: True)
    cluster.start("c2")
    for _ in range(RULES.patience):
        cluster.process("c2", m.Tick())
        cluster.deliver(dropping("c0"))
    assert cluster.status("c2") is m.Status.VOTING  # the answer of c1, which saw no vote, is enough
    cluster.propose("c2", 2, 0, "b")
    cluster.sent.clear()
    cluster.process("c2", m.Tick())
    cluster.deliver(dropping("c1"))
    # It abandons its proposal and recovers at once, as both peers have answered this start.
    assert cluster.replies[2] == m.NoMajority()
    assert cluster.states["c2"].loaded > m.Durable().sequence
    assert cluster.status("c2") is m.Status.VOTING and cluster.number("c2") == 1


def test_a_ballot_is_abandoned_when_one_of_its_voters_restarts() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    cluster.deliver(lambda sender, to, message: isinstance(message, m.Accept))
    cluster.start("c1")
    cluster.deliver(dropping("c2"))
    assert cluster.timers[-1].backoff
    current = cluster.states["c0"].round
    assert current is not None
    cluster.process("c0", m.RoundTimeout(current.ballot.counter))
    cluster.deliver()
    assert cluster.replies == {1: m.Accepted(1, "#a")}


def test_a_vote_from_before_the_voters_restart_does_not_count() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    kept: list[tuple[str, str, Any]] = []

    def hold(sender: str, to: str, message: Any) -> bool:
        if isinstance(message, m.Promise):
            kept.append((sender, to, message))
        return isinstance(message, m.Promise)

    cluster.deliver(hold)
    cluster.start("c1")
    cluster.deliver(dropping("c2"))
    promise = next(message for sender, _, message in kept if sender == "c1")
    cluster.process("c0", m.Received("c1", promise))
    current = cluster.states["c0"].round
    assert current is not None and len(current.promises) == 1


def test_a_vote_is_written_before_it_is_sent_and_a_failed_write_changes_nothing() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    sender, to, message = cluster.sent[0]
    before = cluster.states[to]
    after, actions = step(before, m.Received(sender, message))
    assert isinstance(actions[0], m.Persist) and actions[0].durable == after.durable
    assert step(before, m.Received(sender, message)) == (after, actions)
    assert before.durable.promised == m.NO_BALLOT


def test_a_failed_first_write_is_repeated_with_the_next_event() -> None:
    cluster = Cluster()
    peers = ("c0", "c1")
    state = new_replica("c2", peers, cluster.disks["c2"], 9, False, RULES)
    _, actions = step(state, m.Tick())
    assert isinstance(actions[0], m.Persist)
    assert any(isinstance(action, m.Send) and isinstance(action.message, m.Hello) for action in actions)


def test_a_message_from_an_unknown_sender_is_ignored() -> None:
    cluster = Cluster()
    state = cluster.states["c0"]
    assert step(state, m.Received("c9", m.Fetch(1))) == (state, ())


def test_repeated_prepare_and_accept_are_answered_without_a_write() -> None:
    cluster = Cluster()
    cluster.propose("c0", 1, 0, "a")
    prepare = cluster.sent[0][2]
    cluster.process("c1", m.Received("c0", prepare))
    actions = cluster.process("c1", m.Received("c0", prepare))
    assert [type(action) for action in actions] == [m.Send]
    accept = m.Accept(prepare.incarnation, 2, prepare.ballot, m.Version(1, "#a", "ann", 0, "a"))
    cluster.process("c1", m.Received("c0", accept))
    actions = cluster.process("c1", m.Received("c0", accept))
    assert [type(action) for action in actions] == [m.Send]


def test_an_empty_disk_recovers_unless_the_operator_declares_a_first_start() -> None:
    state = new_replica("c0", ("c1", "c2"), None, 1)
    assert state.status is m.Status.RECOVERING
    alone = new_replica("c0", (), None, 1)
    after, _ = step(alone, m.Started())
    assert after.status is m.Status.RECOVERING


def test_an_incarnation_is_above_all_earlier_ones() -> None:
    low = new_replica("c0", ("c1",), m.Durable(incarnation=(3 << 32) | 0xFFFFFFFF, whole=True), 0)
    assert low.durable.incarnation == 4 << 32
    assert replace(low, nonce=5).durable.incarnation == 4 << 32


def test_a_paused_replica_catches_up_with_few_messages() -> None:
    """Duplicates must not start further fetches.

    Many messages wait for the replica, and the versions before them are missing. Each of the messages once
    started a separate fetch of all missing versions."""
    versions = 40
    cluster, delayed = Cluster(), []

    def hold(sender: str, to: str, message: Any) -> bool:
        if to == "c2":
            delayed.append((sender, to, message))
        return to == "c2"

    for number in range(versions):
        cluster.propose("c0", number, number, f"document {number}")
        cluster.deliver(lost=hold)
    assert cluster.number("c0") == versions and cluster.number("c2") == 0 and len(delayed) >= 3 * versions
    delivered = 0

    def count(sender: str, to: str, message: Any) -> bool:
        nonlocal delivered
        delivered += 1
        return False

    waiting = delayed[len(delayed) // 4 :]
    cluster.sent = list(waiting)
    cluster.deliver(lost=count)
    assert cluster.number("c2") == versions
    assert sorted(cluster.history["c2"]) == list(range(1, versions + 1))
    assert delivered <= 4 * len(waiting)
