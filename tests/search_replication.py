"""Every order of events of three replicas within a bound: `python -m tests.search_replication --help`.

The network is the set of all messages ever sent: any of them may be delivered at any time, so that loss,
repetition and reordering are covered. A replica may stop at any time and start with its disk, without it
or with an older copy. The oracle sees messages, disks and answers, not what the replicas think."""

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
    """One proposal: at which replica, on which base, of which document."""

    at: int
    base: int
    document: str


class Scope(NamedTuple):
    """Bounds of a search. ballots: of all replicas together. restarts: with the disk kept; lost: with an
    empty disk; back: with a copy made at any time before. patient: a start waits for all peers, else for one.
    only: the replicas that may stop. mute: kinds of message that the network
    always loses, besides heartbeats. new: a lost disk is started as if for the first time.
    oldest: the copy is of the first disk."""

    writes: tuple[Write, ...] = (Write(0, 0, "a"), Write(1, 0, "b"))
    ballots: int = 2
    restarts: int = 0
    lost: int = 0
    back: int = 0
    patient: bool = True
    only: tuple[int, ...] = (0, 1, 2)
    mute: tuple[str, ...] = ()
    new: bool = False
    oldest: bool = False


class World(NamedTuple):
    """Indexes of interned states and disks; `sent` has a bit for each message ever sent."""

    states: tuple[int, int, int]
    disks: tuple[int, int, int]
    copies: tuple[int, int, int]
    sent: int
    ghost: int
    written: int
    ballots: int
    restarts: int
    lost: int
    back: int


class Ghost(NamedTuple):
    """What must hold for ever: the content chosen under each number, the tokens accepted and refused.
    highest: the highest ballot in which each replica ever voted. votes: who accepted what in which ballot."""

    chosen: tuple[tuple[int, str], ...] = ()
    highest: tuple[m.Ballot, m.Ballot, m.Ballot] = (m.NO_BALLOT, m.NO_BALLOT, m.NO_BALLOT)
    votes: tuple[tuple[m.Ballot, int, str, tuple[int, ...]], ...] = ()
    accepted: tuple[int, ...] = ()
    refused: tuple[int, ...] = ()


class Effect(NamedTuple):
    """Of one step: the next state, the disk after it (-1: as it was), what it sent and said."""

    state: int
    disk: int
    sent: int
    begins: bool
    said: tuple[m.Committed | m.Reply, ...]
    votes: tuple[Any, ...]
    early: int


class BrokenError(Exception):
    """A rule does not hold; the text is the rule and the events that lead to it."""


class Interned:
    def __init__(self) -> None:
        self.items: list[Any] = []
        self.index: dict[Any, int] = {}

    def put(self, item: Any) -> int:
        found = self.index.get(item)
        if found is None:
            found = self.index[item] = len(self.items)
            self.items.append(item)
        return found


class Sent(NamedTuple):
    sender: int
    to: int
    message: Any


def vote_of(message: Any) -> m.Ballot | None:
    """A proposer votes for itself with what it asks."""
    if isinstance(message, m.Prepare | m.Promise | m.Accept | m.AcceptedVote):
        return message.ballot
    return None


class Search:
    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.states, self.disks, self.messages, self.ghosts = (Interned() for _ in range(4))
        self.effects: dict[tuple[int, Any], Effect] = {}
        self.parents: dict[World, tuple[World | None, Any]] = {}
        self.rules = Rules(patience=10**9 if scope.patient else 0, finish=1, tries=scope.ballots + 1)
        self.starts = 0
        self.mute = tuple(getattr(m, kind) for kind in ("Heartbeat", *scope.mute))
        self.kinds, self.keys = [0, 0, 0], dict[Any, int]()
        self.judged: dict[Any, int] = {}

    # The replicas.

    def start(self, replica: int, disk: m.Durable | None, new: bool = False) -> ReplicaState:
        name = NAMES[replica]
        peers = tuple(peer for peer in NAMES if peer != name)
        # Smaller for later starts: an incarnation of a copy is then below that of the later disk.
        nonce = 100 - self.starts
        return new_replica(name, peers, disk, nonce, new, self.rules)

    def first(self) -> World:
        """The replicas after their first start, when all they said has been delivered."""
        states = [self.start(i, None, True) for i in range(3)]
        disks: list[m.Durable] = [m.Durable()] * 3
        todo: list[tuple[int, m.Event]] = [(i, m.Started()) for i in range(3)]
        while todo:
            i, event = todo.pop(0)
            states[i], actions = step(states[i], event)
            for action in actions:
                if isinstance(action, m.Persist):
                    disks[i] = action.durable
                if isinstance(action, m.Send):
                    todo.append((NAMES.index(action.to), m.Received(NAMES[i], action.message)))
        assert all(state.status is m.Status.VOTING for state in states)
        s = [self.states.put(self.plain(state)) for state in states]
        d = [self.disks.put(self.plain(disk)) for disk in disks]
        scope = self.scope
        return World(
            (s[0], s[1], s[2]),
            (d[0], d[1], d[2]),
            (d[0], d[1], d[2]),
            0,
            self.ghosts.put(Ghost()),
            0,
            scope.ballots,
            scope.restarts,
            scope.lost,
            scope.back,
        )

    def effect(self, replica: int, state: int, key: Any, event: m.Event | None) -> Effect:
        """Of an event; None is as many ticks as it takes to finish a version that was accepted."""
        found = self.effects.get((state, key))
        if found is None:
            before: ReplicaState = self.states.items[state]
            if event is not None:
                after, actions = step(before, event)
            else:
                after, actions = self.finish(before)
            found = self.effects[(state, key)] = self.digest(replica, replace(after, ticks=0), actions)
        return found

    def finish(self, state: ReplicaState) -> tuple[ReplicaState, tuple[m.Action, ...]]:
        for _ in range(5):
            state, actions = step(state, m.Tick())
            begun = [a for a in actions if isinstance(a, m.Send) and isinstance(a.message, m.Prepare)]
            if begun:
                write = [a for a in actions if isinstance(a, m.Persist)]
                return state, (*write, *begun)
        raise AssertionError("not finished")

    def digest(self, replica: int, after: ReplicaState, actions: tuple[m.Action, ...]) -> Effect:
        disk, sent, early, begins = -1, 0, 0, False
        said: list[m.Committed | m.Reply] = []
        votes: list[Any] = []
        for action in actions:
            if isinstance(action, m.Persist):
                disk, early = self.disks.put(self.plain(action.durable)), sent
            elif isinstance(action, m.Send):
                message = self.plain(action.message)
                begins = begins or isinstance(message, m.Prepare)
                if vote_of(message) is not None and message not in votes:
                    votes.append(message)
                if not isinstance(message, self.mute):
                    sent |= 1 << self.message(Sent(replica, NAMES.index(action.to), message))
            elif isinstance(action, m.Committed | m.Reply):
                said.append(action)
        return Effect(
            self.states.put(self.plain(after)), disk, sent, begins, tuple(said), tuple(votes), early
        )

    def plain(self, item: Any) -> Any:
        """Without what has no effect within the scope: the sequence, unless a disk is set back; how long a
        replica waits; the answers to a start, once it votes."""
        counted = bool(self.scope.back)
        if isinstance(item, ReplicaState):
            item = replace(item, ticks=0, durable=self.plain(item.durable))
            if not counted:
                item = replace(item, loaded=0)
            return replace(item, answers=()) if item.status is m.Status.VOTING else item
        if counted:
            return item
        if isinstance(item, m.Durable):
            peers = tuple(replace(peer, before=0, sequence=0) for peer in item.peers)
            return replace(item, sequence=0, peers=peers)
        if isinstance(item, m.HelloReply):
            return replace(item, sequence=0, before=0)
        return replace(item, sequence=0) if hasattr(item, "sequence") else item

    def message(self, sent: Sent) -> int:
        """Its number. Notes of which kind it is, for `live`."""
        known = len(self.messages.items)
        number = self.messages.put(sent)
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
            self.kinds[sent.to if not isinstance(message, m.Hello) else sent.sender] |= 1 << number
            self.keys[key] = self.keys.get(key, 0) | 1 << number
        return number

    def live(self, replica: int, state: int, sent: int) -> int:
        """The messages without those that can't have an effect on this replica any more, nor on another one
        by its answer: votes for a ballot that is over, answers to a start, what it has committed."""
        kinds = sent & self.kinds[replica]
        if not kinds:
            return sent
        now: ReplicaState = self.states.items[state]
        keys, keep = self.keys, 0
        if now.round is not None and now.round.phase is not Phase.WAIT:
            kind = m.Promise if now.round.phase is Phase.PREPARE else m.AcceptedVote
            keep |= keys.get((replica, kind, now.round.ballot), 0)
            keep |= keys.get((replica, m.Nack, now.round.ballot), 0)
        number = now.durable.number + 1
        while (replica, number) in keys or number < 3:
            keep |= keys.get((replica, number), 0)
            number += 1
        if now.status is not m.Status.VOTING:
            incarnation, had = now.durable.incarnation, dict(now.answers)
            for peer in range(3):
                if NAMES[peer] not in had:
                    replies = keys.get((replica, peer, incarnation), 0)
                    # One answer to each start: a second one is as the first, given later.
                    keep |= replies if sent & replies else keys.get((replica, peer, -incarnation), 0)
        return sent & ~kinds | kinds & keep

    # The world.

    def next(self, world: World) -> Iterator[tuple[World, Any]]:
        yield from self.deliveries(world)
        scope = self.scope
        for i, write in enumerate(scope.writes):
            if not world.written >> i & 1:
                event = m.Propose(i, write.base, write.document, f"w{i}", 0, write.document)
                effect = self.effect(write.at, world.states[write.at], ("write", i), event)
                after = world._replace(written=world.written | 1 << i)
                yield from self.after(after, write.at, effect, f"write {write}")
        for i in range(3):
            state: ReplicaState = self.states.items[world.states[i]]
            if state.round is not None and world.ballots:
                number = state.round.ballot.counter
                effect = self.effect(i, world.states[i], ("timeout", number), m.RoundTimeout(number))
                yield from self.after(world, i, effect, f"timeout of {NAMES[i]}")
            elif state.durable.accepted is not None and world.ballots and state.status is m.Status.VOTING:
                yield from self.after(
                    world, i, self.effect(i, world.states[i], "finish", None), f"finish {i}"
                )
        for i in scope.only:
            yield from self.stops(world, i)

    def deliveries(self, world: World) -> Iterator[tuple[World, Any]]:
        items, effects, states = self.messages.items, self.effects, world.states
        left = world.sent
        while left:
            low = left & -left
            left ^= low
            bit = low.bit_length() - 1
            sent = items[bit]
            to = sent.to
            state = states[to]
            effect = effects.get((state, bit))
            if effect is None:
                event = m.Received(NAMES[sent.sender], sent.message)
                effect = self.effect(to, state, bit, event)
            if effect.state == state and not effect.sent & ~world.sent and not effect.votes:
                continue
            yield from self.after(world, to, effect, bit)

    def stops(self, world: World, i: int) -> Iterator[tuple[World, Any]]:
        if world.restarts:
            after = world._replace(restarts=world.restarts - 1)
            yield self.started(after, i, world.disks[i], f"restart of {NAMES[i]}")
        if world.lost:
            after = world._replace(lost=world.lost - 1)
            yield self.started(after, i, -1, f"{NAMES[i]} loses its disk")
        if world.back:
            if world.copies[i] != world.disks[i]:
                if not self.scope.oldest:
                    copies = _with(world.copies, i, world.disks[i])
                    yield world._replace(copies=copies), f"copy of the disk of {NAMES[i]}"
                after = world._replace(back=world.back - 1)
                yield self.started(after, i, world.copies[i], f"{NAMES[i]} has an older disk")

    def started(self, world: World, i: int, disk: int, label: str) -> tuple[World, Any]:
        scope = self.scope
        gone = scope.restarts + scope.lost + scope.back - world.restarts - world.lost - world.back
        self.starts = gone
        state = self.start(i, self.disks.items[disk] if disk >= 0 else None, scope.new and disk < 0)
        if disk < 0:
            world = world._replace(disks=_with(world.disks, i, self.disks.put(m.Durable())))
        else:
            world = world._replace(disks=_with(world.disks, i, disk))
        effect = self.effect(i, self.states.put(self.plain(state)), "start", m.Started())
        (after, _), *_ = self.after(world, i, effect, label)
        return after, label

    def after(self, world: World, i: int, effect: Effect, label: Any) -> Iterator[tuple[World, Any]]:
        """The world after a step of replica i, and after a stop between, where it sends before it writes."""
        if effect.begins:
            if not world.ballots:
                return
            world = world._replace(ballots=world.ballots - 1)
        if effect.early and world.restarts:
            ghost = self.judge(world, i, effect._replace(said=()), label)
            sent = world.sent | effect.early
            stopped = world._replace(sent=sent, ghost=ghost, restarts=world.restarts - 1)
            yield self.started(stopped, i, world.disks[i], f"{self.text(label)}, stopped before the write")
        disks = world.disks
        if effect.disk >= 0:
            before, now = self.disks.items[disks[i]], self.disks.items[effect.disk]
            self.expect(now.number >= before.number, "a committed number fell", world, label)
            disks = _with(disks, i, effect.disk)
        ghost = self.judge(world, i, effect, label) if effect.votes or effect.said else world.ghost
        states = _with(world.states, i, effect.state)
        sent = world.sent | effect.sent
        for replica, state in enumerate(states):
            sent = self.live(replica, state, sent)
        yield world._replace(states=states, disks=disks, sent=sent, ghost=ghost), label

    # The oracle.

    def judge(self, world: World, i: int, effect: Effect, label: Any) -> int:
        key = (world.ghost, i, effect)
        found = self.judged.get(key)
        if found is None:
            ghost: Ghost = self.ghosts.items[world.ghost]
            state: ReplicaState = self.states.items[effect.state]
            for message in effect.votes:
                voting = state.durable.whole and state.status is m.Status.VOTING
                self.expect(voting, "a vote before recovery", world, label)
                ghost = self.vote(ghost, world, i, message, label)
            for said in effect.said:
                ghost = self.say(ghost, world, said, label)
            for token in ghost.refused:
                write = self.scope.writes[token]
                content = write.document + f"w{token}"
                self.expect(
                    (write.base + 1, content) not in ghost.chosen, "refused, but chosen", world, label
                )
            found = self.judged[key] = self.ghosts.put(ghost)
        return found

    def say(self, ghost: Ghost, world: World, said: m.Committed | m.Reply, label: Any) -> Ghost:
        chosen = dict(ghost.chosen)
        if isinstance(said, m.Committed):
            version = said.version
            content = version.digest + version.author
            if self.scope.back:
                first = chosen.setdefault(version.number, content)
                self.expect(first == content, "two contents committed under one number", world, label)
                return ghost._replace(chosen=tuple(sorted(chosen.items())))
            self.expect(chosen.get(version.number) == content, "committed, but not chosen", world, label)
        elif isinstance(said.result, m.Accepted):
            write, number = self.scope.writes[said.token], said.result.number
            content = write.document + f"w{said.token}"
            self.expect(number == write.base + 1, "accepted under another number", world, label)
            self.expect(chosen.get(number) == content, "accepted, but not chosen", world, label)
            return ghost._replace(accepted=tuple(sorted({*ghost.accepted, said.token})))
        elif not isinstance(said.result, m.Undecided):
            return ghost._replace(refused=tuple(sorted({*ghost.refused, said.token})))
        return ghost

    def vote(self, ghost: Ghost, world: World, i: int, message: Any, label: Any) -> Ghost:
        """No vote below an earlier one of the same replica; one content a ballot; one chosen a number.

        A replica that lost its disk may forget a ballot of its own that no other has heard of. One whose
        disk was set back may forget votes that their proposer is going to ignore: there only what is
        committed counts."""
        ballot, scope = message.ballot, self.scope
        if scope.back:
            return ghost
        if not scope.lost or isinstance(message, m.Promise | m.AcceptedVote):
            self.expect(ballot >= ghost.highest[i], "a vote below an earlier one", world, label)
            ghost = ghost._replace(highest=_with(ghost.highest, i, ballot))
        if not isinstance(message, m.Accept | m.AcceptedVote):
            return ghost
        votes = {vote[0]: vote for vote in ghost.votes}
        if isinstance(message, m.Accept):
            version = message.version
            content = version.digest + version.author
            new = votes.setdefault(ballot, (ballot, version.number, content, (i,)))
            self.expect(new[1:3] == (version.number, content), "two contents in a ballot", world, label)
        else:
            _, number, content, voters = votes[ballot]
            votes[ballot] = (ballot, number, content, tuple(sorted({*voters, i})))
        _, number, content, voters = votes[ballot]
        chosen = dict(ghost.chosen)
        if len(voters) >= 2:
            first = chosen.setdefault(number, content)
            self.expect(first == content, "two contents chosen under one number", world, label)
        return ghost._replace(chosen=tuple(sorted(chosen.items())), votes=tuple(sorted(votes.values())))

    def kept(self, world: World) -> None:
        """What was accepted is on some disk."""
        ghost: Ghost = self.ghosts.items[world.ghost]
        for token in ghost.accepted:
            write = self.scope.writes[token]
            disks: list[m.Durable] = [self.disks.items[disk] for disk in world.disks]
            self.expect(
                any(
                    disk.number > write.base
                    or (disk.accepted is not None and disk.accepted.version.document == write.document)
                    for disk in disks
                ),
                "an accepted version is on no disk",
                world,
                "",
            )

    def expect(self, holds: bool, rule: str, world: World, label: Any) -> None:
        if not holds:
            raise BrokenError(f"{rule}:\n" + "\n".join([*self.trace(world), self.text(label)]))

    def text(self, label: Any) -> str:
        if isinstance(label, int):
            sent: Sent = self.messages.items[label]
            return f"{NAMES[sent.sender]} to {NAMES[sent.to]}: {sent.message}"
        return str(label)

    def trace(self, world: World | None) -> list[str]:
        lines: list[str] = []
        while world is not None and world in self.parents:
            world, label = self.parents[world]
            lines.append(self.text(label))
        return lines[::-1]

    def run(self, most: int = 10**9) -> tuple[int, int, bool]:
        """States and steps seen, and whether that is all. Raises `BrokenError`."""
        first = self.first()
        self.parents[first] = (None, "start")
        level, steps = [first], 0
        while level:
            following = []
            for world in level:
                for after, label in self.next(world):
                    steps += 1
                    if after not in self.parents:
                        self.parents[after] = (world, label)
                        if after.ghost or after.disks != world.disks:
                            self.kept(after)
                        following.append(after)
                if len(self.parents) > most:
                    return len(self.parents), steps, False
            level = following
        return len(self.parents), steps, True


def _with(three: tuple[T, T, T], i: int, value: T) -> tuple[T, T, T]:
    a, b, c = three
    return (value, b, c) if i == 0 else (a, value, c) if i == 1 else (a, b, value)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ballots", type=int, default=2)
    parser.add_argument("--restarts", "--crashes", type=int, default=0)
    parser.add_argument("--lost", type=int, default=0)
    parser.add_argument("--back", type=int, default=0)
    parser.add_argument("--writers", type=int, default=2)
    parser.add_argument("--impatient", action="store_true", help="a start is content with one peer's answer")
    parser.add_argument("--only", default="0,1,2", help="the replicas that may stop")
    parser.add_argument("--mute", default="", help="kinds of message that are always lost, e.g. Nack,Fetch")
    parser.add_argument("--new", action="store_true", help="a lost disk is started as if for the first time")
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
