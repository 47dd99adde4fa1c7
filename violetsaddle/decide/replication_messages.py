"""Types of the configuration's consensus protocol: messages, durable state, events and actions.

`Message` is what replicas send to each other, `Durable` what each keeps on disk, `Event` the input of
`violetsaddle.decide.replication.step` and `Action` its output. All types are immutable and hashable.
`Message` is a tagged union: encode it with `msgspec.json.encode` and decode it with
`msgspec.json.Decoder(Message)`. The class names are the tags and the field names are the keys on the wire."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Version(Struct, frozen=True):
    """One configuration document with its version number, which starts at 1.

    time_ms: wall-clock time of the write in Unix milliseconds, for display only.
    Two versions have the same content if their digest and author are equal."""

    number: int
    digest: str
    author: str
    time_ms: int
    document: str


class Ballot(Struct, frozen=True, order=True):
    """Ballot number of one attempt by one replica. Ballots are totally ordered and never reused."""

    counter: int
    replica: str
    incarnation: int


NO_BALLOT = Ballot(0, "", 0)


class Vote(Struct, frozen=True):
    """A version that a replica accepted, with the ballot in which it did."""

    ballot: Ballot
    version: Version


class Peer(Struct, frozen=True):
    """What a replica knows about another one.

    incarnation: the peer's latest known incarnation.
    before: the highest sequence seen in all earlier incarnations.
    sequence: the highest sequence seen in any incarnation."""

    name: str
    incarnation: int = 0
    before: int = 0
    sequence: int = 0


class Durable(Struct, frozen=True):
    """What a replica keeps on disk, besides the history of committed versions.

    committed: the newest committed version. The driver adds it to the history in the same transaction.
    promised: the replica votes for no ballot below this one.
    accepted: the vote for number committed + 1, if there is one.
    incarnation: identifies the latest start: (number of starts << 32) + a random number.
    sequence: number of votes ever written to disk. A start does not increase it, so that a replica that was
    started with an older copy of its disk is still detected at its second start.
    whole: false from a start with an empty or outdated disk until recovery is complete.
    peers: what is known about the other replicas."""

    committed: Version | None = None
    promised: Ballot = NO_BALLOT
    accepted: Vote | None = None
    incarnation: int = 0
    sequence: int = 0
    whole: bool = False
    peers: tuple[Peer, ...] = ()

    @property
    def number(self) -> int:
        """Number of the newest committed version; 0 if there is none."""
        return self.committed.number if self.committed is not None else 0

    @property
    def digest(self) -> str:
        """Digest of the newest committed version; empty if there is none."""
        return self.committed.digest if self.committed is not None else ""


class Status(Enum):
    """Status of a replica. Only a VOTING one votes and proposes; all of them serve committed versions."""

    STARTING = "starting"
    RECOVERING = "recovering"
    VOTING = "voting"


# Messages. `incarnation` and `sequence` are the sender's at the time of sending.


class Prepare(Struct, frozen=True, tag=True):
    """Phase 1 request: promise this ballot for this version number."""

    incarnation: int
    sequence: int
    number: int
    ballot: Ballot


class Promise(Struct, frozen=True, tag=True):
    """Phase 1 response: the sender votes in no lower ballot.

    accepted: the sender's earlier vote for this version number, if there is one."""

    incarnation: int
    sequence: int
    number: int
    ballot: Ballot
    accepted: Vote | None


class Accept(Struct, frozen=True, tag=True):
    """Phase 2 request: accept the version in this ballot."""

    incarnation: int
    sequence: int
    ballot: Ballot
    version: Version


class AcceptedVote(Struct, frozen=True, tag=True):
    """Phase 2 response: the sender has accepted the ballot's version and written it to disk."""

    incarnation: int
    sequence: int
    number: int
    ballot: Ballot


class Nack(Struct, frozen=True, tag=True):
    """Rejects a Prepare or Accept: the sender has promised a higher ballot, `promised`."""

    incarnation: int
    sequence: int
    ballot: Ballot
    promised: Ballot


class Commit(Struct, frozen=True, tag=True):
    """Announces that a majority has accepted the version."""

    version: Version


class Hello(Struct, frozen=True, tag=True):
    """Announces a start of the sender. It is repeated until the peer answers."""

    incarnation: int
    sequence: int


class HelloReply(Struct, frozen=True, tag=True):
    """Answers a Hello.

    to: the incarnation in the Hello.
    known: the latest incarnation of the receiver that the sender knows.
    before: the highest sequence that the sender saw in the receiver's earlier incarnations.
    incarnation, sequence, whole, number, promised, accepted: from the sender's disk, see `Durable`.
    status: of the sender.
    fresh: the sender's operator declared this the first start of all replicas."""

    to: int
    known: int
    before: int
    incarnation: int
    sequence: int
    status: Status
    whole: bool
    fresh: bool
    number: int
    promised: Ballot
    accepted: Vote | None


class Fetch(Struct, frozen=True, tag=True):
    """Requests the committed version with this number."""

    number: int


class Fetched(Struct, frozen=True, tag=True):
    """Answers a Fetch with a committed version.

    newest: the number of the sender's newest committed version."""

    version: Version
    newest: int


class Heartbeat(Struct, frozen=True, tag=True):
    """Periodic message with the newest committed version's number and digest; 0 and "" if there is none."""

    incarnation: int
    sequence: int
    number: int
    digest: str


Message = (
    Prepare
    | Promise
    | Accept
    | AcceptedVote
    | Nack
    | Commit
    | Hello
    | HelloReply
    | Fetch
    | Fetched
    | Heartbeat
)


# Results of a proposal.


class Accepted(Struct, frozen=True, tag=True):
    """The version is committed under this number."""

    number: int
    digest: str


class Conflict(Struct, frozen=True, tag=True):
    """The proposal lost and will never be committed: this is the newest committed version, not the base."""

    number: int
    digest: str


class NoMajority(Struct, frozen=True, tag=True):
    """The proposal failed and will never be committed.

    No majority answered, and no replica had been asked to accept the version."""


class Undecided(Struct, frozen=True, tag=True):
    """The outcome is unknown: the version may be committed already, or may still be committed later.

    A replica was asked to accept it, and no majority answered."""


class Joining(Struct, frozen=True, tag=True):
    """The proposal was rejected because this replica does not vote yet."""

    status: Status


class Behind(Struct, frozen=True, tag=True):
    """The proposal was rejected because its base is newer than this replica's newest committed version.

    number: of that committed version; 0 if there is none."""

    number: int


Result = Accepted | Conflict | NoMajority | Undecided | Joining | Behind


# Events.


class Started(Struct, frozen=True, tag=True):
    """The first event of a replica."""


class Propose(Struct, frozen=True, tag=True):
    """A client's request to commit the document as version base + 1, if base is the newest version.

    token: identifies the request in `Reply`."""

    token: int
    base: int
    digest: str
    author: str
    time_ms: int
    document: str


class Received(Struct, frozen=True, tag=True):
    """A message from another replica. It is ignored if the sender is not a peer."""

    sender: str
    message: Message


class Tick(Struct, frozen=True, tag=True):
    """Periodic event, about once a second: sends heartbeats, repeats Hello, finishes uncommitted votes."""


class RoundTimeout(Struct, frozen=True, tag=True):
    """The timer that `StartTimer` with the same `round` started has expired."""

    round: int


Event = Started | Propose | Received | Tick | RoundTimeout


# Actions. The driver performs them in the order in which a step returns them.


class Persist(Struct, frozen=True, tag=True):
    """Write the state to disk. If a step has this action, it is the first one.

    The driver adds `durable.committed` to the history in the same transaction; a step commits at most one
    version. If the write fails, the driver keeps the state from before the step and performs none of its
    other actions. To the peers this looks as if the event had been lost."""

    durable: Durable


class Committed(Struct, frozen=True, tag=True):
    """This is the new newest committed version. The step's `Persist` has added it to the history.

    The driver notifies the requests that wait for a new version."""

    version: Version


class Send(Struct, frozen=True, tag=True):
    """Send a message to a peer. It may be lost, duplicated or delayed."""

    to: str
    message: Message


class SendVersion(Struct, frozen=True, tag=True):
    """Send `Fetched(version, newest)` to a peer, with the version of this number from the history."""

    to: str
    number: int
    newest: int


class Reply(Struct, frozen=True, tag=True):
    """The result of the proposal with this token. There is at most one for each proposal."""

    token: int
    result: Result


class StartTimer(Struct, frozen=True, tag=True):
    """Start a timer that ends with `RoundTimeout(round)`.

    attempt: counts the ballots of a proposal, from 1.
    backoff: if true, the delay is random and its range doubles with each attempt, so that two competing
    proposers do not collide again. If false, the delay is the time allowed for a majority to answer."""

    round: int
    attempt: int
    backoff: bool


Action = Persist | Committed | Send | SendVersion | Reply | StartTimer
