"""What three replicas of the configuration say to each other, keep on disk, are told and ask of their driver.

All types are frozen and hashable. `Message` is a tagged union: `msgspec.json.encode` and a
`msgspec.json.Decoder(Message)` carry it. The rules are in `violetsaddle/decide/replication.py`."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Version(Struct, frozen=True):
    """A configuration under its number (from 1); `time_ms` is the wall clock where it was pushed, Unix
    milliseconds, for people only. Two versions are the same content if digest and author are the same."""

    number: int
    digest: str
    author: str
    time_ms: int
    document: str


class Ballot(Struct, frozen=True, order=True):
    """Of one attempt of one replica; totally ordered, and never used twice."""

    counter: int
    replica: str
    incarnation: int


NO_BALLOT = Ballot(0, "", 0)


class Vote(Struct, frozen=True):
    """The version that a replica accepted, and in which ballot."""

    ballot: Ballot
    version: Version


class Peer(Struct, frozen=True):
    """What a replica knows of another: its latest incarnation, the highest sequence seen in all
    incarnations before that one, and the highest ever seen."""

    name: str
    incarnation: int = 0
    before: int = 0
    sequence: int = 0


class Durable(Struct, frozen=True):
    """What a replica keeps on disk, besides the history of its versions.

    committed: the newest; the driver puts it into the history in the transaction that writes this.
    promised: no vote for a ballot below it. accepted: for number committed + 1.
    incarnation: of the latest start, (count of starts << 32) + random number of the start.
    sequence: the number of votes ever made durable. A start does not raise it, so that a copy of an older
    disk is still recognised at its second start.
    whole: false from the start of an empty or outdated disk until its recovery is complete."""

    committed: Version | None = None
    promised: Ballot = NO_BALLOT
    accepted: Vote | None = None
    incarnation: int = 0
    sequence: int = 0
    whole: bool = False
    peers: tuple[Peer, ...] = ()

    @property
    def number(self) -> int:
        """Of the newest committed version; 0 if there is none."""
        return self.committed.number if self.committed is not None else 0

    @property
    def digest(self) -> str:
        """Of the newest committed version; empty if there is none."""
        return self.committed.digest if self.committed is not None else ""


class Status(Enum):
    """STARTING and RECOVERING replicas do not vote or propose; all serve what is committed."""

    STARTING = "starting"
    RECOVERING = "recovering"
    VOTING = "voting"


# Messages. `incarnation` and `sequence` are the sender's when it sent it.


class Prepare(Struct, frozen=True, tag=True):
    """Asks to promise a ballot for a number."""

    incarnation: int
    sequence: int
    number: int
    ballot: Ballot


class Promise(Struct, frozen=True, tag=True):
    """To vote in no lower ballot, with the vote given so far for this number."""

    incarnation: int
    sequence: int
    number: int
    ballot: Ballot
    accepted: Vote | None


class Accept(Struct, frozen=True, tag=True):
    """Asks to accept the version in this ballot."""

    incarnation: int
    sequence: int
    ballot: Ballot
    version: Version


class AcceptedVote(Struct, frozen=True, tag=True):
    """The version of that ballot is accepted, on disk."""

    incarnation: int
    sequence: int
    number: int
    ballot: Ballot


class Nack(Struct, frozen=True, tag=True):
    """The ballot is below `promised`."""

    incarnation: int
    sequence: int
    ballot: Ballot
    promised: Ballot


class Commit(Struct, frozen=True, tag=True):
    """A majority has accepted it."""

    version: Version


class Hello(Struct, frozen=True, tag=True):
    """Of a start; repeated until answered."""

    incarnation: int
    sequence: int


class HelloReply(Struct, frozen=True, tag=True):
    """`to`: the incarnation in the Hello. `known`, `before`: the latest incarnation of the asker that the
    sender knows, and the highest sequence that it saw in those before it. `fresh`: the sender's operator
    said that this is the first start of all; `whole` as in `Durable`. The rest is the sender's disk."""

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
    """Asks for the committed version of that number."""

    number: int


class Fetched(Struct, frozen=True, tag=True):
    """A committed version; `newest` is the number of the sender's newest."""

    version: Version
    newest: int


class Heartbeat(Struct, frozen=True, tag=True):
    """Number and digest of the newest committed version; 0 and empty if there is none."""

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
    """Committed under that number."""

    number: int
    digest: str


class Conflict(Struct, frozen=True, tag=True):
    """Not accepted, and never will be: the newest committed version is this one, not the base."""

    number: int
    digest: str


class NoMajority(Struct, frozen=True, tag=True):
    """Not accepted, and never will be: no majority of replicas answered before it was told to any."""


class Undecided(Struct, frozen=True, tag=True):
    """May have taken effect, or still take it: a replica was asked to accept it and no majority answered."""


class Joining(Struct, frozen=True, tag=True):
    """Not accepted: the replica is not voting (yet)."""

    status: Status


class Behind(Struct, frozen=True, tag=True):
    """Not accepted: the base is newer than this replica's newest committed version."""

    number: int


Result = Accepted | Conflict | NoMajority | Undecided | Joining | Behind


# Events.


class Started(Struct, frozen=True, tag=True):
    """The first event of a replica."""


class Propose(Struct, frozen=True, tag=True):
    """Commit the document under base + 1 if base is the newest; `token` names the request in `Reply`."""

    token: int
    base: int
    digest: str
    author: str
    time_ms: int
    document: str


class Received(Struct, frozen=True, tag=True):
    """A message from a peer; others' are passed over."""

    sender: str
    message: Message


class Tick(Struct, frozen=True, tag=True):
    """Every second or so: heartbeats, Hello again, finishing of what was accepted and not committed."""


class RoundTimeout(Struct, frozen=True, tag=True):
    """The timer of `StartTimer` is over."""

    round: int


Event = Started | Propose | Received | Tick | RoundTimeout


# Actions, in the order in which the driver is to do them.


class Persist(Struct, frozen=True, tag=True):
    """First of a step's actions. The driver writes it durably, and `durable.committed` into the history in
    the same transaction (a step commits one version at most). If that fails it keeps the state from before
    the step and does none of the step's other actions: to its peers the event was lost."""

    durable: Durable


class Committed(Struct, frozen=True, tag=True):
    """The newest committed version is this one, by the `Persist` before in the history. Wake watches."""

    version: Version


class Send(Struct, frozen=True, tag=True):
    """Send a message; it may be lost, doubled or late."""

    to: str
    message: Message


class SendVersion(Struct, frozen=True, tag=True):
    """Send `Fetched(version, newest)` with the version of that number from the history."""

    to: str
    number: int
    newest: int


class Reply(Struct, frozen=True, tag=True):
    """The answer to `Propose(token)`; at most one each."""

    token: int
    result: Result


class StartTimer(Struct, frozen=True, tag=True):
    """Give `RoundTimeout(round)` later: if `backoff`, after a random wait that doubles with `attempt` (from
    1), so that two proposers do not meet again, else after the time allowed for a majority to answer."""

    round: int
    attempt: int
    backoff: bool


Action = Persist | Committed | Send | SendVersion | Reply | StartTimer
