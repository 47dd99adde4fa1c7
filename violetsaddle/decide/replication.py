"""Consensus on the versions of the configuration: single-decree Paxos, one instance for each version number.

`step(state, event)` is a pure function: it returns the next state and the actions for the driver, and uses
no clock, I/O or randomness. Every replica is proposer, acceptor and learner. A proposer writes its own vote
to disk before it asks the others. The types are in `violetsaddle/decide/replication_messages.py`, the
reasons for the design in `docs/design/configuration.md`."""

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
    """Processes one event. Returns the next state, and the actions in the order in which to perform them."""
    transition = _Transition(state)
    if not state.started:
        transition.start()
    if isinstance(event, Received):
        if event.sender in state.peers:
            transition.handle_message(event.sender, event.message)
    elif isinstance(event, Propose):
        transition.handle_propose(event)
    elif isinstance(event, Tick):
        transition.handle_tick()
    elif isinstance(event, RoundTimeout):
        transition.handle_timeout(event.round)
    else:
        assert isinstance(event, Started)
    return transition.result()


def _same_content(one: Version, other: Version) -> bool:
    return one.digest == other.digest and one.author == other.author


class _Transition:
    """One step in progress: the changed state, and the actions that follow the write to disk."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.durable = state.durable
        self.persist_needed = False
        self.actions: list[Action] = []
        self.majority = (len(state.peers) + 1) // 2 + 1

    def result(self) -> tuple[ReplicaState, tuple[Action, ...]]:
        state = (
            self.state if self.durable == self.state.durable else replace(self.state, durable=self.durable)
        )
        return state, ((Persist(self.durable),) if self.persist_needed else ()) + tuple(self.actions)

    def update_state(self, **fields: Any) -> None:
        self.state = replace(self.state, **fields)

    def update_durable(self, **fields: Any) -> None:
        """Changes the durable state, which the step then writes to disk."""
        self.durable = replace(self.durable, **fields)
        self.persist_needed = True

    def send(self, to: str, message: Message) -> None:
        self.actions.append(Send(to, message))

    def send_all(self, message: Message) -> None:
        for peer in self.state.peers:
            self.send(peer, message)

    # Start and recovery.

    def start(self) -> None:
        self.update_state(started=True)
        self.persist_needed = True
        self.send_hellos()
        self.start_voting_if_ready()

    def send_hellos(self) -> None:
        """Sends Hello to every peer without a sufficient answer."""
        for peer in self.state.peers:
            if not any(name == peer and self.is_sufficient(answer) for name, answer in self.state.answers):
                self.send(peer, Hello(self.durable.incarnation, self.durable.sequence))

    def is_sufficient(self, answer: HelloReply) -> bool:
        """Whether an answer counts towards the end of the start.

        A recovery needs answers from voting peers, any other start from peers with a whole disk. A first
        start also accepts answers from peers in their first start."""
        if self.state.status is Status.RECOVERING:
            return answer.status is Status.VOTING
        return answer.whole or (self.state.fresh and answer.fresh)

    def start_voting_if_ready(self) -> None:
        """Starts voting if enough peers have answered."""
        state = self.state
        if state.status is Status.VOTING:
            return
        answers = [answer for _, answer in state.answers if self.is_sufficient(answer)]
        if len(answers) < len(state.peers):
            wait_for_all = state.ticks < state.rules.patience
            if not self.durable.whole or wait_for_all or len(answers) + 1 < self.majority:
                return
        if state.status is Status.RECOVERING:
            if not answers or any(answer.number > self.durable.number for answer in answers):
                return
            self.adopt_answers(answers)
        elif not self.durable.whole:
            self.update_durable(whole=True)
        self.update_state(status=Status.VOTING, idle=0)

    def adopt_answers(self, answers: list[HelloReply]) -> None:
        """Restores the promise and the vote after the disk was lost or replaced by an older copy.

        For each lost vote, the proposer that counted it has the same ballot or a higher one."""
        votes = [answer.accepted for answer in answers] + [self.durable.accepted]
        current_votes = [
            vote for vote in votes if vote is not None and vote.version.number == self.durable.number + 1
        ]
        self.update_durable(
            whole=True,
            promised=max([self.durable.promised, *(answer.promised for answer in answers)]),
            accepted=max(current_votes, key=lambda vote: vote.ballot, default=None),
            sequence=max([self.durable.sequence, *(answer.before for answer in answers)]) + 1,
        )
        self.update_state(loaded=self.durable.sequence)

    def start_recovery(self) -> None:
        """Stops voting: the disk is empty or an older copy, so that votes which still count are missing."""
        self.fail_proposals()
        self.update_durable(whole=False)
        self.update_state(status=Status.RECOVERING, fresh=False)

    def handle_hello_reply(self, sender: str, message: HelloReply) -> None:
        if message.to != self.durable.incarnation:
            return
        if message.known != self.durable.incarnation:
            self.start_recovery()
            self.update_durable(incarnation=next_incarnation(message.known, self.state.nonce))
            self.update_state(answers=())
            self.send_hellos()
            return
        if message.before > self.state.loaded and self.state.status is not Status.RECOVERING:
            self.start_recovery()
        answers = dict(self.state.answers)
        if sender not in answers or not self.is_sufficient(answers[sender]):
            answers[sender] = message
            self.update_state(answers=tuple(sorted(answers.items(), key=lambda pair: pair[0])))
        self.fetch_if_behind(sender, message.number)
        self.start_voting_if_ready()

    def handle_hello(self, sender: str, message: Hello) -> None:
        peer = self.known_peer(sender)
        durable, state = self.durable, self.state
        self.send(
            sender,
            HelloReply(
                message.incarnation,
                peer.incarnation,
                peer.before,
                durable.incarnation,
                durable.sequence,
                state.status,
                durable.whole,
                state.fresh,
                durable.number,
                durable.promised,
                durable.accepted,
            ),
        )

    def known_peer(self, name: str) -> Peer:
        return next(peer for peer in self.durable.peers if peer.name == name)

    def record_peer(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Records the incarnation and sequence in a peer's message. Returns false if the message is obsolete.

        It is obsolete if the peer has restarted since, or if the peer's disk does not know of all its starts.
        A new incarnation aborts the current ballot if that counts a vote of an older one. The change alone
        causes no write. Each write of a vote, given or counted, includes what is known about its peer."""
        peer = self.known_peer(sender)
        if incarnation != peer.incarnation and incarnation >> NONCE_BITS <= peer.incarnation >> NONCE_BITS:
            return False
        updated = Peer(sender, incarnation, peer.before, max(peer.sequence, sequence))
        if incarnation != peer.incarnation:
            updated = replace(updated, before=peer.sequence)
            current = self.state.round
            if current is not None and sender in (*current.votes, *(name for name, _ in current.promises)):
                self.back_off()
        if updated != peer:
            peers = tuple(updated if peer.name == sender else peer for peer in self.durable.peers)
            self.durable = replace(self.durable, peers=peers)
        return True

    # Messages.

    def handle_message(self, sender: str, message: Message) -> None:
        if isinstance(message, Commit):
            self.learn_version(sender, message.version, message.version.number)
        elif isinstance(message, Fetched):
            self.learn_version(sender, message.version, message.newest)
        elif isinstance(message, Fetch):
            self.send_if_committed(sender, message.number)
        elif isinstance(message, Hello):
            self.record_peer(sender, message.incarnation, message.sequence)
            self.handle_hello(sender, message)
        elif self.record_peer(sender, message.incarnation, message.sequence):
            if isinstance(message, HelloReply):
                self.handle_hello_reply(sender, message)
            elif isinstance(message, Heartbeat):
                self.fetch_if_behind(sender, message.number)
            elif self.state.status is Status.VOTING:
                _VOTING_HANDLERS[type(message)](self, sender, message)

    def handle_prepare(self, sender: str, message: Prepare) -> None:
        if not self.is_next(sender, message.number) or not self.check_ballot(sender, message.ballot):
            return
        if message.ballot != self.durable.promised:
            self.update_durable(promised=message.ballot, sequence=self.durable.sequence + 1)
        durable = self.durable
        self.send(
            sender,
            Promise(durable.incarnation, durable.sequence, message.number, message.ballot, durable.accepted),
        )

    def handle_accept(self, sender: str, message: Accept) -> None:
        if not self.is_next(sender, message.version.number) or not self.check_ballot(sender, message.ballot):
            return
        vote = Vote(message.ballot, message.version)
        if vote != self.durable.accepted:
            self.update_durable(promised=message.ballot, accepted=vote, sequence=self.durable.sequence + 1)
        durable = self.durable
        self.send(
            sender,
            AcceptedVote(durable.incarnation, durable.sequence, message.version.number, message.ballot),
        )

    def is_next(self, sender: str, number: int) -> bool:
        """Whether this is the number of the next version. If not, sends what lets the one behind catch up."""
        self.send_if_committed(sender, number)
        self.fetch_if_behind(sender, number - 1)
        return number == self.durable.number + 1

    def check_ballot(self, sender: str, ballot: Ballot) -> bool:
        """Whether the promise on disk allows a vote in the ballot. If not, sends a Nack."""
        durable = self.durable
        if ballot < durable.promised:
            self.send(sender, Nack(durable.incarnation, durable.sequence, ballot, durable.promised))
        return ballot >= durable.promised

    def handle_promise(self, sender: str, message: Promise) -> None:
        current = self.state.round
        if current is None or current.phase is not Phase.PREPARE or current.ballot != message.ballot:
            return
        if any(name == sender for name, _ in current.promises):
            return
        self.persist_needed = True
        self.update_state(round=replace(current, promises=(*current.promises, (sender, message.accepted))))
        self.start_accept_phase()

    def handle_accepted_vote(self, sender: str, message: AcceptedVote) -> None:
        current = self.state.round
        if (
            current is None
            or current.phase is not Phase.ACCEPT
            or current.ballot != message.ballot
            or sender in current.votes
        ):
            return
        self.persist_needed = True
        self.update_state(round=replace(current, votes=(*current.votes, sender)))
        self.commit_if_accepted()

    def handle_nack(self, sender: str, message: Nack) -> None:
        current = self.state.round
        self.update_state(highest=max(self.state.highest, message.promised.counter))
        if current is not None and current.ballot == message.ballot:
            self.back_off()

    # Proposing.

    def handle_propose(self, message: Propose) -> None:
        committed = self.durable.committed
        version = Version(message.base + 1, message.digest, message.author, message.time_ms, message.document)
        if self.state.status is not Status.VOTING:
            self.actions.append(Reply(message.token, Joining(self.state.status)))
        elif message.base > self.durable.number:
            self.send_all(Fetch(self.durable.number + 1))
            self.actions.append(Reply(message.token, Behind(self.durable.number)))
        elif committed is not None and message.base < committed.number:
            self.reply_to_proposal(message.token, version, committed)
        else:
            self.update_state(proposals=(*self.state.proposals, Proposal(message.token, version)))
            if self.state.round is None:
                self.start_ballot(1)

    def reply_to_proposal(self, token: int, version: Version, committed: Version) -> None:
        """Replies to a proposal for a number at or below that of the newest committed version.

        The same content is accepted again: a client may repeat a request whose reply it did not receive."""
        same = version.number == committed.number and _same_content(version, committed)
        kind = Accepted if same else Conflict
        self.actions.append(Reply(token, kind(committed.number, committed.digest)))

    def start_ballot(self, attempt: int) -> None:
        """Starts a round with a new ballot, higher than all known ones."""
        durable = self.durable
        ballot = Ballot(
            max(durable.promised.counter, self.state.highest) + 1, self.state.name, durable.incarnation
        )
        self.update_durable(promised=ballot, sequence=durable.sequence + 1)
        own_promise = ((self.state.name, durable.accepted),)
        self.update_state(
            round=Round(ballot, durable.number + 1, attempt, Phase.PREPARE, own_promise), idle=0
        )
        self.send_all(Prepare(durable.incarnation, self.durable.sequence, durable.number + 1, ballot))
        self.actions.append(StartTimer(ballot.counter, attempt, False))
        self.start_accept_phase()

    def start_accept_phase(self) -> None:
        """Asks the replicas to accept a version, if a majority has promised the ballot.

        It is the version with the highest ballot among the votes in the promises, or else the oldest
        proposal here. Without either the round ends."""
        current = self.state.round
        if current is None or len(current.promises) < self.majority:
            return
        if self.durable.promised != current.ballot:
            self.back_off()
            return
        earlier_votes = [vote for _, vote in current.promises if vote is not None]
        if earlier_votes:
            version = max(earlier_votes, key=lambda vote: vote.ballot).version
        elif self.state.proposals:
            proposal = replace(self.state.proposals[0], exposed=True)
            self.update_state(proposals=(proposal, *self.state.proposals[1:]))
            version = proposal.version
        else:
            self.update_state(round=None)
            return
        self.update_durable(accepted=Vote(current.ballot, version), sequence=self.durable.sequence + 1)
        self.update_state(
            round=replace(current, phase=Phase.ACCEPT, version=version, votes=(self.state.name,))
        )
        self.send_all(Accept(self.durable.incarnation, self.durable.sequence, current.ballot, version))
        self.commit_if_accepted()

    def commit_if_accepted(self) -> None:
        """Commits the round's version and announces it, if a majority has accepted it."""
        current = self.state.round
        if current is not None and current.version is not None and len(current.votes) >= self.majority:
            self.commit_version(current.version)
            self.send_all(Commit(current.version))

    def back_off(self) -> None:
        """Abandons the current ballot until the back-off timer expires."""
        current = self.state.round
        if current is not None and current.phase is not Phase.WAIT:
            self.update_state(round=replace(current, phase=Phase.WAIT))
            self.actions.append(StartTimer(current.ballot.counter, current.attempt, True))

    def handle_timeout(self, counter: int) -> None:
        current = self.state.round
        if current is None or current.ballot.counter != counter:
            return
        if current.attempt < self.state.rules.tries:
            self.start_ballot(current.attempt + 1)
        else:
            self.fail_proposals()

    def fail_proposals(self) -> None:
        """Ends the round and replies Undecided or NoMajority to every proposal."""
        for proposal in self.state.proposals:
            result = Undecided() if proposal.exposed else NoMajority()
            self.actions.append(Reply(proposal.token, result))
        self.update_state(round=None, proposals=())

    # Committed versions.

    def learn_version(self, sender: str, version: Version, newest: int) -> None:
        if version.number <= self.durable.number:
            # A duplicate must not cause another Fetch: each of many would fetch all missing versions.
            return
        if version.number == self.durable.number + 1:
            self.commit_version(version)
        self.fetch_if_behind(sender, newest)

    def commit_version(self, version: Version) -> None:
        """Commits the version that follows the newest one. Every open proposal is for its number."""
        self.update_durable(committed=version, accepted=None)
        self.actions.append(Committed(version))
        for proposal in self.state.proposals:
            self.reply_to_proposal(proposal.token, proposal.version, version)
        self.update_state(round=None, proposals=(), idle=0)
        self.start_voting_if_ready()

    def fetch_if_behind(self, peer: str, number: int) -> None:
        """Requests the next version from a peer that has committed this number, if it is missing here."""
        if number > self.durable.number:
            self.send(peer, Fetch(self.durable.number + 1))

    def send_if_committed(self, to: str, number: int) -> None:
        """Sends the version of this number, if it is committed."""
        committed = self.durable.committed
        if committed is None or number > committed.number:
            return
        if number == committed.number:
            self.send(to, Fetched(committed, number))
        else:
            self.actions.append(SendVersion(to, number, committed.number))

    def handle_tick(self) -> None:
        self.update_state(ticks=self.state.ticks + 1)
        self.send_hellos()
        self.start_voting_if_ready()
        durable, state = self.durable, self.state
        self.send_all(Heartbeat(durable.incarnation, durable.sequence, durable.number, durable.digest))
        for name, answer in state.answers:
            if state.status is not Status.VOTING:
                self.fetch_if_behind(name, answer.number)
        if durable.accepted is not None and state.round is None and state.status is Status.VOTING:
            self.update_state(idle=state.idle + 1)
            rank = sum(peer < state.name for peer in state.peers)
            if self.state.idle >= state.rules.finish + rank:
                self.start_ballot(1)


_VOTING_HANDLERS: dict[type[Any], Callable[[_Transition, str, Any], None]] = {
    Prepare: _Transition.handle_prepare,
    Promise: _Transition.handle_promise,
    Accept: _Transition.handle_accept,
    AcceptedVote: _Transition.handle_accepted_vote,
    Nack: _Transition.handle_nack,
}
