"""Model checker for the replication protocol: explores every order of events within given bounds.

Run `python -m tests.search_replication --help` for the options. The network is the set of all messages ever
sent. Any of them may be delivered at any time, which covers loss, duplication and reordering. A replica may
stop at any time and start with its disk, with an empty disk or with an older copy of its disk. The oracle
checks messages, disks and replies, and does not look at the replicas' internal state except their status."""

from __future__ import annotations

import argparse
import time
from collections.abc import Iterator
from typing import Any, NamedTuple, TypeVar

from msgspec.structs import replace

from violetsaddle.decide import replication_messages as m
from violetsaddle.decide.replication import ReplicaState, Rules, new_replica, step
from violetsaddle.decide.replication_state import Phase

T = TypeVar("T")
NAMES = ("c0", "c1", "c2")


class Write(NamedTuple):
    """One proposal: the index of its replica, the base version and the document."""

    replica: int
    base: int
    document: str


class Scope(NamedTuple):
    """Bounds of a search.

    ballots: ballots started by all replicas together.
    restarts: restarts with the disk kept.
    disk_losses: restarts with an empty disk.
    disk_rollbacks: restarts with a copy of the disk made at any earlier time.
    wait_for_all_peers: a start waits for answers from all peers; if false, one answer is enough.
    may_stop: indexes of the replicas that may stop.
    dropped_kinds: kinds of message that the network always loses, besides heartbeats.
    first_start: a replica with a lost disk starts with the option for a first start.
    oldest_copy: the copy is always that of the first disk."""

    writes: tuple[Write, ...] = (Write(0, 0, "a"), Write(1, 0, "b"))
    ballots: int = 2
    restarts: int = 0
    disk_losses: int = 0
    disk_rollbacks: int = 0
    wait_for_all_peers: bool = True
    may_stop: tuple[int, ...] = (0, 1, 2)
    dropped_kinds: tuple[str, ...] = ()
    first_start: bool = False
    oldest_copy: bool = False


class SystemState(NamedTuple):
    """One state of the whole system.

    states, disks, copies: for each replica, the index of its interned state, disk and copy of the disk.
    sent: a bit for each message that was sent and can still have an effect.
    oracle: index of the interned `OracleState`.
    written: a bit for each write of the scope that was proposed.
    ballots, restarts, disk_losses, disk_rollbacks: how many more may happen, as in `Scope`."""

    states: tuple[int, int, int]
    disks: tuple[int, int, int]
    copies: tuple[int, int, int]
    sent: int
    oracle: int
    written: int
    ballots: int
    restarts: int
    disk_losses: int
    disk_rollbacks: int


class OracleState(NamedTuple):
    """The history that the oracle needs for its checks.

    chosen: the content that a majority accepted, for each version number.
    highest: the highest ballot in which each replica ever voted.
    votes: ballot, version number, content and the replicas that accepted it.
    accepted, refused: tokens of the proposals with these results."""

    chosen: tuple[tuple[int, str], ...] = ()
    highest: tuple[m.Ballot, m.Ballot, m.Ballot] = (m.NO_BALLOT, m.NO_BALLOT, m.NO_BALLOT)
    votes: tuple[tuple[m.Ballot, int, str, tuple[int, ...]], ...] = ()
    accepted: tuple[int, ...] = ()
    refused: tuple[int, ...] = ()


class Effect(NamedTuple):
    """The result of one step of a replica.

    state: index of the next state.
    disk: index of the disk after the step; -1 if the step did not write.
    sent: a bit for each message sent.
    starts_ballot: whether the step started a ballot.
    outputs: versions committed and replies to clients.
    votes: the messages that carry a vote.
    sent_before_write: a bit for each message sent before the disk was written."""

    state: int
    disk: int
    sent: int
    starts_ballot: bool
    outputs: tuple[m.Committed | m.Reply, ...]
    votes: tuple[Any, ...]
    sent_before_write: int


class InvariantError(Exception):
    """A rule of the protocol is violated. The text has the rule and the events that led to the violation."""


class InternTable:
    """Gives equal items the same index."""

    def __init__(self) -> None:
        self.items: list[Any] = []
        self.index: dict[Any, int] = {}

    def intern(self, item: Any) -> int:
        found = self.index.get(item)
        if found is None:
            found = self.index[item] = len(self.items)
            self.items.append(item)
        return found


class Sent(NamedTuple):
    """A message with the indexes of its sender and its receiver."""

    sender: int
    to: int
    message: Any


def ballot_of(message: Any) -> m.Ballot | None:
    """The ballot of a vote. A proposer's requests count as its own votes."""
    if isinstance(message, m.Prepare | m.Promise | m.Accept | m.AcceptedVote):
        return message.ballot
    return None


class Search:
    """Explores all system states that are reachable within a scope."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.states, self.disks, self.messages, self.oracle_states = (InternTable() for _ in range(4))
        self.effects: dict[tuple[int, Any], Effect] = {}
        self.parents: dict[SystemState, tuple[SystemState | None, Any]] = {}
        self.rules = Rules(
            patience=10**9 if scope.wait_for_all_peers else 0, finish=1, tries=scope.ballots + 1
        )
        self.starts = 0
        self.dropped_kinds = tuple(getattr(m, kind) for kind in ("Heartbeat", *scope.dropped_kinds))
        self.prunable, self.messages_by_key = [0, 0, 0], dict[Any, int]()
        self.checked: dict[Any, int] = {}

    # Replicas.

    def create_replica(self, replica: int, disk: m.Durable | None, first_start: bool = False) -> ReplicaState:
        name = NAMES[replica]
        peers = tuple(peer for peer in NAMES if peer != name)
        # Decreasing, so that the incarnation after a rollback is below the one that was rolled back.
        nonce = 100 - self.starts
        return new_replica(name, peers, disk, nonce, first_start, self.rules)

    def initial_system(self) -> SystemState:
        """The system after the first start of all replicas, with all their messages delivered."""
        states = [self.create_replica(i, None, True) for i in range(3)]
        disks: list[m.Durable] = [m.Durable()] * 3
        pending: list[tuple[int, m.Event]] = [(i, m.Started()) for i in range(3)]
        while pending:
            i, event = pending.pop(0)
            states[i], actions = step(states[i], event)
            for action in actions:
                if isinstance(action, m.Persist):
                    disks[i] = action.durable
                if isinstance(action, m.Send):
                    pending.append((NAMES.index(action.to), m.Received(NAMES[i], action.message)))
        assert all(state.status is m.Status.VOTING for state in states)
        state_ids = [self.states.intern(self.normalize(state)) for state in states]
        disk_ids = [self.disks.intern(self.normalize(disk)) for disk in disks]
        scope = self.scope
        return SystemState(
            (state_ids[0], state_ids[1], state_ids[2]),
            (disk_ids[0], disk_ids[1], disk_ids[2]),
            (disk_ids[0], disk_ids[1], disk_ids[2]),
            0,
            self.oracle_states.intern(OracleState()),
            0,
            scope.ballots,
            scope.restarts,
            scope.disk_losses,
            scope.disk_rollbacks,
        )

    def cached_effect(self, replica: int, state: int, key: Any, event: m.Event | None) -> Effect:
        """The effect of an event. None stands for the ticks until an accepted version is proposed again."""
        found = self.effects.get((state, key))
        if found is None:
            before: ReplicaState = self.states.items[state]
            if event is not None:
                after, actions = step(before, event)
            else:
                after, actions = self.finish_accepted(before)
            found = self.effects[(state, key)] = self.summarize(replica, replace(after, ticks=0), actions)
        return found

    def finish_accepted(self, state: ReplicaState) -> tuple[ReplicaState, tuple[m.Action, ...]]:
        """Ticks until the replica starts a ballot for its accepted version; returns that step's actions."""
        for _ in range(5):
            state, actions = step(state, m.Tick())
            prepares = [a for a in actions if isinstance(a, m.Send) and isinstance(a.message, m.Prepare)]
            if prepares:
                persist = [a for a in actions if isinstance(a, m.Persist)]
                return state, (*persist, *prepares)
        raise AssertionError("no ballot for the accepted version after five ticks")

    def summarize(self, replica: int, after: ReplicaState, actions: tuple[m.Action, ...]) -> Effect:
        """The `Effect` of a step with this next state and these actions."""
        disk, sent, sent_before_write, starts_ballot = -1, 0, 0, False
        outputs: list[m.Committed | m.Reply] = []
        votes: list[Any] = []
        for action in actions:
            if isinstance(action, m.Persist):
                disk, sent_before_write = self.disks.intern(self.normalize(action.durable)), sent
            elif isinstance(action, m.Send):
                message = self.normalize(action.message)
                starts_ballot = starts_ballot or isinstance(message, m.Prepare)
                if ballot_of(message) is not None and message not in votes:
                    votes.append(message)
                if not isinstance(message, self.dropped_kinds):
                    sent |= 1 << self.intern_message(Sent(replica, NAMES.index(action.to), message))
            elif isinstance(action, m.Committed | m.Reply):
                outputs.append(action)
        return Effect(
            self.states.intern(self.normalize(after)),
            disk,
            sent,
            starts_ballot,
            tuple(outputs),
            tuple(votes),
            sent_before_write,
        )

    def normalize(self, item: Any) -> Any:
        """Removes what has no effect within the scope, so that equivalent states are equal.

        This is the number of ticks, the answers to a start once the replica votes, and the sequences unless
        a disk may be rolled back."""
        keep_sequences = bool(self.scope.disk_rollbacks)
        if isinstance(item, ReplicaState):
            item = replace(item, ticks=0, durable=self.normalize(item.durable))
            if not keep_sequences:
                item = replace(item, loaded=0)
            return replace(item, answers=()) if item.status is m.Status.VOTING else item
        if keep_sequences:
            return item
        if isinstance(item, m.Durable):
            peers = tuple(replace(peer, before=0, sequence=0) for peer in item.peers)
            return replace(item, sequence=0, peers=peers)
        if isinstance(item, m.HelloReply):
            return replace(item, sequence=0, before=0)
        return replace(item, sequence=0) if hasattr(item, "sequence") else item

    def intern_message(self, sent: Sent) -> int:
        """The message's number. Indexes messages that can become inert, for `drop_inert_messages`."""
        known = len(self.messages.items)
        number = self.messages.intern(sent)
        if number == known:
            message = sent.message
            if isinstance(message, m.Promise | m.AcceptedVote | m.Nack):
                key: Any = (sent.to, type(message), message.ballot)
            elif isinstance(message, m.HelloReply):
                key = (sent.to, sent.sender, message.to)
            elif isinstance(message, m.Hello):
                key = (sent.sender, sent.to, -message.incarnation)
            elif isinstance(message, m.Commit | m.Fetched):
                key = (sent.to, message.version.number)
            else:
                return number
            self.prunable[sent.to if not isinstance(message, m.Hello) else sent.sender] |= 1 << number
            self.messages_by_key[key] = self.messages_by_key.get(key, 0) | 1 << number
        return number

    def drop_inert_messages(self, replica: int, state: int, sent: int) -> int:
        """Removes messages that can no longer have an effect on this replica, or on others by its answer.

        These are votes for an ended ballot, answers to a completed start, and versions already committed."""
        prunable = sent & self.prunable[replica]
        if not prunable:
            return sent
        current: ReplicaState = self.states.items[state]
        keys, keep = self.messages_by_key, 0
        if current.round is not None and current.round.phase is not Phase.WAIT:
            kind = m.Promise if current.round.phase is Phase.PREPARE else m.AcceptedVote
            keep |= keys.get((replica, kind, current.round.ballot), 0)
            keep |= keys.get((replica, m.Nack, current.round.ballot), 0)
        number = current.durable.number + 1
        while (replica, number) in keys or number < 3:
            keep |= keys.get((replica, number), 0)
            number += 1
        if current.status is not m.Status.VOTING:
            incarnation, answered = current.durable.incarnation, dict(current.answers)
            for peer in range(3):
                if NAMES[peer] not in answered:
                    replies = keys.get((replica, peer, incarnation), 0)
                    # One answer to each Hello is enough: a second one equals the first one sent later.
                    keep |= replies if sent & replies else keys.get((replica, peer, -incarnation), 0)
        return sent & ~prunable | prunable & keep

    # Successor states.

    def successors(self, system: SystemState) -> Iterator[tuple[SystemState, Any]]:
        """All states that one event leads to, each with a label of the event."""
        yield from self.delivery_successors(system)
        scope = self.scope
        for i, write in enumerate(scope.writes):
            if not system.written >> i & 1:
                event = m.Propose(i, write.base, write.document, f"w{i}", 0, write.document)
                effect = self.cached_effect(write.replica, system.states[write.replica], ("write", i), event)
                after = system._replace(written=system.written | 1 << i)
                yield from self.apply_effect(after, write.replica, effect, f"write {write}")
        for i in range(3):
            state: ReplicaState = self.states.items[system.states[i]]
            if state.round is not None and system.ballots:
                number = state.round.ballot.counter
                effect = self.cached_effect(i, system.states[i], ("timeout", number), m.RoundTimeout(number))
                yield from self.apply_effect(system, i, effect, f"timeout of {NAMES[i]}")
            elif state.durable.accepted is not None and system.ballots and state.status is m.Status.VOTING:
                yield from self.apply_effect(
                    system, i, self.cached_effect(i, system.states[i], "finish", None), f"finish {i}"
                )
        for i in scope.may_stop:
            yield from self.stop_successors(system, i)

    def delivery_successors(self, system: SystemState) -> Iterator[tuple[SystemState, Any]]:
        """The states after the delivery of each message that has an effect."""
        items, effects, states = self.messages.items, self.effects, system.states
        remaining = system.sent
        while remaining:
            lowest_bit = remaining & -remaining
            remaining ^= lowest_bit
            number = lowest_bit.bit_length() - 1
            sent = items[number]
            to = sent.to
            state = states[to]
            effect = effects.get((state, number))
            if effect is None:
                event = m.Received(NAMES[sent.sender], sent.message)
                effect = self.cached_effect(to, state, number, event)
            if effect.state == state and not effect.sent & ~system.sent and not effect.votes:
                continue
            yield from self.apply_effect(system, to, effect, number)

    def stop_successors(self, system: SystemState, i: int) -> Iterator[tuple[SystemState, Any]]:
        """The states after a restart of replica i, and the state after a copy of its disk."""
        if system.restarts:
            after = system._replace(restarts=system.restarts - 1)
            yield self.restart_replica(after, i, system.disks[i], f"restart of {NAMES[i]}")
        if system.disk_losses:
            after = system._replace(disk_losses=system.disk_losses - 1)
            yield self.restart_replica(after, i, -1, f"{NAMES[i]} loses its disk")
        if system.disk_rollbacks:
            if system.copies[i] != system.disks[i]:
                if not self.scope.oldest_copy:
                    copies = _replaced(system.copies, i, system.disks[i])
                    yield system._replace(copies=copies), f"copy of the disk of {NAMES[i]}"
                after = system._replace(disk_rollbacks=system.disk_rollbacks - 1)
                yield self.restart_replica(after, i, system.copies[i], f"{NAMES[i]} has an older disk")

    def restart_replica(self, system: SystemState, i: int, disk: int, label: str) -> tuple[SystemState, Any]:
        scope = self.scope
        stops_used = (
            scope.restarts
            + scope.disk_losses
            + scope.disk_rollbacks
            - system.restarts
            - system.disk_losses
            - system.disk_rollbacks
        )
        self.starts = stops_used
        state = self.create_replica(
            i, self.disks.items[disk] if disk >= 0 else None, scope.first_start and disk < 0
        )
        if disk < 0:
            system = system._replace(disks=_replaced(system.disks, i, self.disks.intern(m.Durable())))
        else:
            system = system._replace(disks=_replaced(system.disks, i, disk))
        effect = self.cached_effect(i, self.states.intern(self.normalize(state)), "start", m.Started())
        (after, _), *_ = self.apply_effect(system, i, effect, label)
        return after, label

    def apply_effect(
        self, system: SystemState, i: int, effect: Effect, label: Any
    ) -> Iterator[tuple[SystemState, Any]]:
        """The system after a step of replica i.

        If the step sends before it writes, also the system after a stop between the two."""
        if effect.starts_ballot:
            if not system.ballots:
                return
            system = system._replace(ballots=system.ballots - 1)
        if effect.sent_before_write and system.restarts:
            oracle = self.check_effect(system, i, effect._replace(outputs=()), label)
            sent = system.sent | effect.sent_before_write
            stopped = system._replace(sent=sent, oracle=oracle, restarts=system.restarts - 1)
            yield self.restart_replica(
                stopped, i, system.disks[i], f"{self.describe(label)}, stopped before the write"
            )
        disks = system.disks
        if effect.disk >= 0:
            before, written = self.disks.items[disks[i]], self.disks.items[effect.disk]
            self.require(written.number >= before.number, "a committed number fell", system, label)
            disks = _replaced(disks, i, effect.disk)
        oracle = (
            self.check_effect(system, i, effect, label) if effect.votes or effect.outputs else system.oracle
        )
        states = _replaced(system.states, i, effect.state)
        sent = system.sent | effect.sent
        for replica, state in enumerate(states):
            sent = self.drop_inert_messages(replica, state, sent)
        yield system._replace(states=states, disks=disks, sent=sent, oracle=oracle), label

    # The oracle.

    def check_effect(self, system: SystemState, i: int, effect: Effect, label: Any) -> int:
        """Checks the votes, commits and replies of a step. Returns the index of the next `OracleState`."""
        key = (system.oracle, i, effect)
        found = self.checked.get(key)
        if found is None:
            oracle: OracleState = self.oracle_states.items[system.oracle]
            state: ReplicaState = self.states.items[effect.state]
            for message in effect.votes:
                voting = state.durable.whole and state.status is m.Status.VOTING
                self.require(voting, "a vote before recovery", system, label)
                oracle = self.check_vote(oracle, system, i, message, label)
            for output in effect.outputs:
                oracle = self.check_output(oracle, system, output, label)
            for token in oracle.refused:
                write = self.scope.writes[token]
                content = write.document + f"w{token}"
                self.require(
                    (write.base + 1, content) not in oracle.chosen, "refused, but chosen", system, label
                )
            found = self.checked[key] = self.oracle_states.intern(oracle)
        return found

    def check_output(
        self, oracle: OracleState, system: SystemState, output: m.Committed | m.Reply, label: Any
    ) -> OracleState:
        chosen = dict(oracle.chosen)
        if isinstance(output, m.Committed):
            version = output.version
            content = version.digest + version.author
            if self.scope.disk_rollbacks:
                first = chosen.setdefault(version.number, content)
                self.require(first == content, "two contents committed under one number", system, label)
                return oracle._replace(chosen=tuple(sorted(chosen.items())))
            self.require(chosen.get(version.number) == content, "committed, but not chosen", system, label)
        elif isinstance(output.result, m.Accepted):
            write, number = self.scope.writes[output.token], output.result.number
            content = write.document + f"w{output.token}"
            self.require(number == write.base + 1, "accepted under another number", system, label)
            self.require(chosen.get(number) == content, "accepted, but not chosen", system, label)
            return oracle._replace(accepted=tuple(sorted({*oracle.accepted, output.token})))
        elif not isinstance(output.result, m.Undecided):
            return oracle._replace(refused=tuple(sorted({*oracle.refused, output.token})))
        return oracle

    def check_vote(
        self, oracle: OracleState, system: SystemState, i: int, message: Any, label: Any
    ) -> OracleState:
        """Checks that a replica never votes in a lower ballot than before, that each ballot has one content,
        and that one content is chosen for each version number.

        A replica that lost its disk may forget its own ballot if no other replica has received it. A replica
        with an older disk may forget votes that their proposer is going to ignore; in such a scope only
        committed versions are checked."""
        ballot, scope = message.ballot, self.scope
        if scope.disk_rollbacks:
            return oracle
        if not scope.disk_losses or isinstance(message, m.Promise | m.AcceptedVote):
            self.require(ballot >= oracle.highest[i], "a vote below an earlier one", system, label)
            oracle = oracle._replace(highest=_replaced(oracle.highest, i, ballot))
        if not isinstance(message, m.Accept | m.AcceptedVote):
            return oracle
        votes = {vote[0]: vote for vote in oracle.votes}
        if isinstance(message, m.Accept):
            version = message.version
            content = version.digest + version.author
            recorded = votes.setdefault(ballot, (ballot, version.number, content, (i,)))
            self.require(
                recorded[1:3] == (version.number, content), "two contents in a ballot", system, label
            )
        else:
            _, number, content, voters = votes[ballot]
            votes[ballot] = (ballot, number, content, tuple(sorted({*voters, i})))
        _, number, content, voters = votes[ballot]
        chosen = dict(oracle.chosen)
        if len(voters) >= 2:
            first = chosen.setdefault(number, content)
            self.require(first == content, "two contents chosen under one number", system, label)
        return oracle._replace(chosen=tuple(sorted(chosen.items())), votes=tuple(sorted(votes.values())))

    def check_durability(self, system: SystemState) -> None:
        """Checks that every accepted version is on at least one disk."""
        oracle: OracleState = self.oracle_states.items[system.oracle]
        for token in oracle.accepted:
            write = self.scope.writes[token]
            disks: list[m.Durable] = [self.disks.items[disk] for disk in system.disks]
            self.require(
                any(
                    disk.number > write.base
                    or (disk.accepted is not None and disk.accepted.version.document == write.document)
                    for disk in disks
                ),
                "an accepted version is on no disk",
                system,
                "",
            )

    def require(self, holds: bool, rule: str, system: SystemState, label: Any) -> None:
        if not holds:
            raise InvariantError(f"{rule}:\n" + "\n".join([*self.trace(system), self.describe(label)]))

    def describe(self, label: Any) -> str:
        if isinstance(label, int):
            sent: Sent = self.messages.items[label]
            return f"{NAMES[sent.sender]} to {NAMES[sent.to]}: {sent.message}"
        return str(label)

    def trace(self, system: SystemState | None) -> list[str]:
        """The events on the shortest path to a state."""
        lines: list[str] = []
        while system is not None and system in self.parents:
            system, label = self.parents[system]
            lines.append(self.describe(label))
        return lines[::-1]

    def run(self, max_states: int = 10**9) -> tuple[int, int, bool]:
        """Explores the states breadth-first until none is new, or until there are more than `max_states`.

        Returns the numbers of states and of steps, and whether all states were visited. Raises
        `InvariantError` at the first violation."""
        initial = self.initial_system()
        self.parents[initial] = (None, "start")
        level, steps = [initial], 0
        while level:
            following = []
            for system in level:
                for after, label in self.successors(system):
                    steps += 1
                    if after not in self.parents:
                        self.parents[after] = (system, label)
                        if after.oracle or after.disks != system.disks:
                            self.check_durability(after)
                        following.append(after)
                if len(self.parents) > max_states:
                    return len(self.parents), steps, False
            level = following
        return len(self.parents), steps, True


def _replaced(values: tuple[T, T, T], i: int, value: T) -> tuple[T, T, T]:
    a, b, c = values
    return (value, b, c) if i == 0 else (a, value, c) if i == 1 else (a, b, value)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ballots", type=int, default=2)
    parser.add_argument("--restarts", "--crashes", type=int, default=0)
    parser.add_argument("--lost", type=int, default=0)
    parser.add_argument("--back", type=int, default=0)
    parser.add_argument("--writers", type=int, default=2)
    parser.add_argument("--impatient", action="store_true", help="a start needs the answer of only one peer")
    parser.add_argument("--only", default="0,1,2", help="the replicas that may stop")
    parser.add_argument("--mute", default="", help="kinds of message that are always lost, e.g. Nack,Fetch")
    parser.add_argument(
        "--new", action="store_true", help="a replica with a lost disk starts with the first-start option"
    )
    parser.add_argument("--oldest", action="store_true", help="the copy is of the first disk")
    parser.add_argument("--most", type=int, default=10**9, help="states after which to stop")
    args = parser.parse_args()
    writes = Scope().writes[: args.writers]
    only = tuple(int(i) for i in args.only.split(","))
    mute = tuple(kind for kind in args.mute.split(",") if kind)
    scope = Scope(
        writes,
        args.ballots,
        args.restarts,
        args.lost,
        args.back,
        not args.impatient,
        only,
        mute,
        args.new,
        args.oldest,
    )
    began = time.process_time()
    states, steps, whole = Search(scope).run(args.most)
    print(f"{states} states, {steps} steps, {time.process_time() - began:.1f} s, {'all' if whole else 'cut'}")


if __name__ == "__main__":
    main()
