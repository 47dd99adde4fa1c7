"""How three replicas agree on the versions of the configuration: single-decree Paxos, one instance a number.

Pure: `step(state, event)` gives the next state and what the driver is to do; no clock, I/O or randomness.
Every replica proposes, accepts and learns; a proposer votes for itself, durably, before it asks the others.
The types are in `violetsaddle/decide/replication_messages.py`, the reasons in
`docs/design/configuration.md`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from violetsaddle.decide.replication_messages import (
    Accept,
    Accepted,
    AcceptedVote,
    Action,
    Ballot,
    Behind,
    Commit,
    Committed,
    Conflict,
    Event,
    Fetch,
    Fetched,
    Heartbeat,
    Hello,
    HelloReply,
    Joining,
    Message,
    Nack,
    NoMajority,
    Peer,
    Persist,
    Prepare,
    Promise,
    Propose,
    Received,
    Reply,
    RoundTimeout,
    Send,
    SendVersion,
    Started,
    StartTimer,
    Status,
    Tick,
    Undecided,
    Version,
    Vote,
)
from violetsaddle.decide.replication_state import (
    NONCE_BITS,
    Phase,
    Proposal,
    ReplicaState,
    Round,
    Rules,
    new_replica,
    next_incarnation,
)

__all__ = ["ReplicaState", "Rules", "new_replica", "step"]


def step(state: ReplicaState, event: Event) -> tuple[ReplicaState, tuple[Action, ...]]:
    """The next state, and what the driver is to do, in that order."""
    work = _Step(state)
    if not state.started:
        work.start()
    if isinstance(event, Received):
        if event.sender in state.peers:
            work.receive(event.sender, event.message)
    elif isinstance(event, Propose):
        work.propose(event)
    elif isinstance(event, Tick):
        work.tick()
    elif isinstance(event, RoundTimeout):
        work.timeout(event.round)
    else:
        assert isinstance(event, Started)
    return work.result()


def _same(one: Version, other: Version) -> bool:
    return one.digest == other.digest and one.author == other.author


class _Step:
    """One step: what of the state changes, and the actions after the write."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.disk = state.durable
        self.write = False
        self.actions: list[Action] = []
        self.majority = (len(state.peers) + 1) // 2 + 1

    def result(self) -> tuple[ReplicaState, tuple[Action, ...]]:
        state = self.state if self.disk == self.state.durable else replace(self.state, durable=self.disk)
        return state, ((Persist(self.disk),) if self.write else ()) + tuple(self.actions)

    def set(self, **fields: Any) -> None:
        self.state = replace(self.state, **fields)

    def put(self, **fields: Any) -> None:
        """On disk."""
        self.disk = replace(self.disk, **fields)
        self.write = True

    def send(self, to: str, message: Message) -> None:
        self.actions.append(Send(to, message))

    def send_all(self, message: Message) -> None:
        for peer in self.state.peers:
            self.send(peer, message)

    # Start and recovery.

    def start(self) -> None:
        self.set(started=True)
        self.write = True
        self.hello()
        self.settle()

    def hello(self) -> None:
        """To every peer that has not answered as is needed."""
        for peer in self.state.peers:
            if not any(name == peer and self.counts(answer) for name, answer in self.state.answers):
                self.send(peer, Hello(self.disk.incarnation, self.disk.sequence))

    def counts(self, answer: HelloReply) -> bool:
        """Whether the answer serves: a recovery wants those that vote, a first start also those that start
        for the first time, else whoever has a whole disk."""
        if self.state.status is Status.RECOVERING:
            return answer.status is Status.VOTING
        return answer.whole or (self.state.fresh and answer.fresh)

    def settle(self) -> None:
        """Votes from now on, if enough peers have answered."""
        state = self.state
        if state.status is Status.VOTING:
            return
        answers = [answer for _, answer in state.answers if self.counts(answer)]
        if len(answers) < len(state.peers):
            patient = state.ticks < state.rules.patience
            if not self.disk.whole or patient or len(answers) + 1 < self.majority:
                return
        if state.status is Status.RECOVERING:
            if not answers or any(answer.number > self.disk.number for answer in answers):
                return
            self.adopt(answers)
        elif not self.disk.whole:
            self.put(whole=True)
        self.set(status=Status.VOTING, idle=0)

    def adopt(self, answers: list[HelloReply]) -> None:
        """Whatever this replica voted before, the proposer it voted for holds the same or higher."""
        votes = [answer.accepted for answer in answers] + [self.disk.accepted]
        here = [vote for vote in votes if vote is not None and vote.version.number == self.disk.number + 1]
        self.put(
            whole=True,
            promised=max([self.disk.promised, *(answer.promised for answer in answers)]),
            accepted=max(here, key=lambda vote: vote.ballot, default=None),
            sequence=max([self.disk.sequence, *(answer.before for answer in answers)]) + 1,
        )
        self.set(loaded=self.disk.sequence)

    def recover(self) -> None:
        """The disk is an older copy, or was lost: it doesn't know of votes that count."""
        self.fail()
        self.put(whole=False)
        self.set(status=Status.RECOVERING, fresh=False)

    def hello_reply(self, sender: str, m: HelloReply) -> None:
        if m.to != self.disk.incarnation:
            return
        if m.known != self.disk.incarnation:
            self.recover()
            self.put(incarnation=next_incarnation(m.known, self.state.nonce))
            self.set(answers=())
            self.hello()
            return
        if m.before > self.state.loaded and self.state.status is not Status.RECOVERING:
            self.recover()
        answers = dict(self.state.answers)
        if sender not in answers or not self.counts(answers[sender]):
            answers[sender] = m
            self.set(answers=tuple(sorted(answers.items(), key=lambda pair: pair[0])))
        self.behind(sender, m.number)
        self.settle()

    def hello_from(self, sender: str, m: Hello) -> None:
        peer = self.peer(sender)
        disk, state = self.disk, self.state
        self.send(
            sender,
            HelloReply(
                m.incarnation,
                peer.incarnation,
                peer.before,
                disk.incarnation,
                disk.sequence,
                state.status,
                disk.whole,
                state.fresh,
                disk.number,
                disk.promised,
                disk.accepted,
            ),
        )

    def peer(self, name: str) -> Peer:
        return next(peer for peer in self.disk.peers if peer.name == name)

    def met(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Notes a peer's incarnation and sequence; false if it has started anew since it said this, or has
        a disk that does not know of all its starts. A new incarnation ends a ballot here that counts a vote
        of an older one. Not written by itself: each vote given or counted is written with what is known then
        of the peer that it has to do with."""
        peer = self.peer(sender)
        if incarnation != peer.incarnation and incarnation >> NONCE_BITS <= peer.incarnation >> NONCE_BITS:
            return False
        now = Peer(sender, incarnation, peer.before, max(peer.sequence, sequence))
        if incarnation != peer.incarnation:
            now = replace(now, before=peer.sequence)
            ballot = self.state.round
            if ballot is not None and sender in (*ballot.votes, *(name for name, _ in ballot.promises)):
                self.back_off()
        if now != peer:
            peers = tuple(now if peer.name == sender else peer for peer in self.disk.peers)
            self.disk = replace(self.disk, peers=peers)
        return True

    # Messages.

    def receive(self, sender: str, message: Message) -> None:
        if isinstance(message, Commit):
            self.learn(sender, message.version, message.version.number)
        elif isinstance(message, Fetched):
            self.learn(sender, message.version, message.newest)
        elif isinstance(message, Fetch):
            self.tell(sender, message.number)
        elif isinstance(message, Hello):
            self.met(sender, message.incarnation, message.sequence)
            self.hello_from(sender, message)
        elif self.met(sender, message.incarnation, message.sequence):
            if isinstance(message, HelloReply):
                self.hello_reply(sender, message)
            elif isinstance(message, Heartbeat):
                self.behind(sender, message.number)
            elif self.state.status is Status.VOTING:
                _ELECTORAL[type(message)](self, sender, message)

    def prepare(self, sender: str, m: Prepare) -> None:
        if not self.placed(sender, m.number) or not self.allowed(sender, m.ballot):
            return
        if m.ballot != self.disk.promised:
            self.put(promised=m.ballot, sequence=self.disk.sequence + 1)
        disk = self.disk
        self.send(sender, Promise(disk.incarnation, disk.sequence, m.number, m.ballot, disk.accepted))

    def accept(self, sender: str, m: Accept) -> None:
        if not self.placed(sender, m.version.number) or not self.allowed(sender, m.ballot):
            return
        vote = Vote(m.ballot, m.version)
        if vote != self.disk.accepted:
            self.put(promised=m.ballot, accepted=vote, sequence=self.disk.sequence + 1)
        disk = self.disk
        self.send(sender, AcceptedVote(disk.incarnation, disk.sequence, m.version.number, m.ballot))

    def placed(self, sender: str, number: int) -> bool:
        """Whether the number is the next one here; if not, one of the two has to catch up."""
        self.tell(sender, number)
        self.behind(sender, number - 1)
        return number == self.disk.number + 1

    def allowed(self, sender: str, ballot: Ballot) -> bool:
        disk = self.disk
        if ballot < disk.promised:
            self.send(sender, Nack(disk.incarnation, disk.sequence, ballot, disk.promised))
        return ballot >= disk.promised

    def promise(self, sender: str, m: Promise) -> None:
        now = self.state.round
        if now is None or now.phase is not Phase.PREPARE or now.ballot != m.ballot:
            return
        if any(name == sender for name, _ in now.promises):
            return
        self.write = True
        self.set(round=replace(now, promises=(*now.promises, (sender, m.accepted))))
        self.ask()

    def accepted_vote(self, sender: str, m: AcceptedVote) -> None:
        now = self.state.round
        if now is None or now.phase is not Phase.ACCEPT or now.ballot != m.ballot or sender in now.votes:
            return
        self.write = True
        self.set(round=replace(now, votes=(*now.votes, sender)))
        self.decide()

    def nack(self, sender: str, m: Nack) -> None:
        now = self.state.round
        self.set(highest=max(self.state.highest, m.promised.counter))
        if now is not None and now.ballot == m.ballot:
            self.back_off()

    # Proposing.

    def propose(self, m: Propose) -> None:
        committed = self.disk.committed
        version = Version(m.base + 1, m.digest, m.author, m.time_ms, m.document)
        if self.state.status is not Status.VOTING:
            self.actions.append(Reply(m.token, Joining(self.state.status)))
        elif m.base > self.disk.number:
            self.send_all(Fetch(self.disk.number + 1))
            self.actions.append(Reply(m.token, Behind(self.disk.number)))
        elif committed is not None and m.base < committed.number:
            self.answer(m.token, version, committed)
        else:
            self.set(proposals=(*self.state.proposals, Proposal(m.token, version)))
            if self.state.round is None:
                self.begin(1)

    def answer(self, token: int, version: Version, committed: Version) -> None:
        """A writer may repeat a request whose answer it did not get."""
        same = version.number == committed.number and _same(version, committed)
        kind = Accepted if same else Conflict
        self.actions.append(Reply(token, kind(committed.number, committed.digest)))

    def begin(self, attempt: int) -> None:
        disk = self.disk
        ballot = Ballot(max(disk.promised.counter, self.state.highest) + 1, self.state.name, disk.incarnation)
        self.put(promised=ballot, sequence=disk.sequence + 1)
        mine = ((self.state.name, disk.accepted),)
        self.set(round=Round(ballot, disk.number + 1, attempt, Phase.PREPARE, mine), idle=0)
        self.send_all(Prepare(disk.incarnation, self.disk.sequence, disk.number + 1, ballot))
        self.actions.append(StartTimer(ballot.counter, attempt, False))
        self.ask()

    def ask(self) -> None:
        """To accept: the version of the highest ballot that the promises name, or else the own."""
        now = self.state.round
        if now is None or len(now.promises) < self.majority:
            return
        if self.disk.promised != now.ballot:
            self.back_off()
            return
        found = [vote for _, vote in now.promises if vote is not None]
        if found:
            version = max(found, key=lambda vote: vote.ballot).version
        elif self.state.proposals:
            first = replace(self.state.proposals[0], exposed=True)
            self.set(proposals=(first, *self.state.proposals[1:]))
            version = first.version
        else:
            self.set(round=None)
            return
        self.put(accepted=Vote(now.ballot, version), sequence=self.disk.sequence + 1)
        self.set(round=replace(now, phase=Phase.ACCEPT, version=version, votes=(self.state.name,)))
        self.send_all(Accept(self.disk.incarnation, self.disk.sequence, now.ballot, version))
        self.decide()

    def decide(self) -> None:
        now = self.state.round
        if now is not None and now.version is not None and len(now.votes) >= self.majority:
            self.commit(now.version)
            self.send_all(Commit(now.version))

    def back_off(self) -> None:
        now = self.state.round
        if now is not None and now.phase is not Phase.WAIT:
            self.set(round=replace(now, phase=Phase.WAIT))
            self.actions.append(StartTimer(now.ballot.counter, now.attempt, True))

    def timeout(self, number: int) -> None:
        now = self.state.round
        if now is None or now.ballot.counter != number:
            return
        if now.attempt < self.state.rules.tries:
            self.begin(now.attempt + 1)
        else:
            self.fail()

    def fail(self) -> None:
        for proposal in self.state.proposals:
            result = Undecided() if proposal.exposed else NoMajority()
            self.actions.append(Reply(proposal.token, result))
        self.set(round=None, proposals=())

    # What is committed.

    def learn(self, sender: str, version: Version, newest: int) -> None:
        if version.number <= self.disk.number:
            # A repeat asks for nothing more: many of them would each fetch all that is missing.
            return
        if version.number == self.disk.number + 1:
            self.commit(version)
        self.behind(sender, newest)

    def commit(self, version: Version) -> None:
        """Of number committed + 1. It settles every proposal: each was for this number."""
        self.put(committed=version, accepted=None)
        self.actions.append(Committed(version))
        for proposal in self.state.proposals:
            self.answer(proposal.token, proposal.version, version)
        self.set(round=None, proposals=(), idle=0)
        self.settle()

    def behind(self, sender: str, number: int) -> None:
        if number > self.disk.number:
            self.send(sender, Fetch(self.disk.number + 1))

    def tell(self, sender: str, number: int) -> None:
        committed = self.disk.committed
        if committed is None or number > committed.number:
            return
        if number == committed.number:
            self.send(sender, Fetched(committed, number))
        else:
            self.actions.append(SendVersion(sender, number, committed.number))

    def tick(self) -> None:
        self.set(ticks=self.state.ticks + 1)
        self.hello()
        self.settle()
        disk, state = self.disk, self.state
        self.send_all(Heartbeat(disk.incarnation, disk.sequence, disk.number, disk.digest))
        for name, answer in state.answers:
            if state.status is not Status.VOTING:
                self.behind(name, answer.number)
        if disk.accepted is not None and state.round is None and state.status is Status.VOTING:
            self.set(idle=state.idle + 1)
            before = sum(peer < state.name for peer in state.peers)
            if self.state.idle >= state.rules.finish + before:
                self.begin(1)


_ELECTORAL: dict[type[Any], Callable[[_Step, str, Any], None]] = {
    Prepare: _Step.prepare,
    Promise: _Step.promise,
    Accept: _Step.accept,
    AcceptedVote: _Step.accepted_vote,
    Nack: _Step.nack,
}
