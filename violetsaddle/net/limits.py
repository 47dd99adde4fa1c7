"""Every size, count and time of the network part, in one value that is filled at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass

from violetsaddle.interface import Settings

MS = 1_000  # microseconds
SECOND = 1_000 * MS
MIB = 1024 * 1024  # bytes
DEFAULT_MEMORY = 192 * MIB  # of a node whose configuration names no limit
PROCESS_MEMORY = 26 * MIB  # of a node without connections
CONNECTION_MEMORY = 6 * 1024  # bytes of the objects of one connection
LEAST_HELD = 2 * MIB  # that all client connections may hold together, however small the node
LEAST_UNCOUNTED = 1024  # bytes of each client connection, so that small messages are never refused
SPARE_DESCRIPTORS = 64  # for files, the reactor, the listener and discovery


@dataclass(frozen=True)
class Limits:
    """Times are microseconds, sizes bytes."""

    edge_connections: int
    server_connections: int
    server_idle: int  # an idle connection to a real server is dropped before the server drops it
    dial: int
    edge_spare: int = 16  # connections beyond `edge_connections`, for real servers' calls alone
    quiet: int = 25 * MS  # after an answer, a second one to the same request may come for so long
    owed: int = SECOND  # an answer that another was taken for may come so late
    doubt: int = 10 * SECOND  # kept connections carry no attempts so long after one broke in use
    head: int = 16 * 1024
    fields: int = 100  # in one head
    framing: int = 16 * 1024 * 1024  # of the chunk lines of one body
    body: int = 64 * 1024
    answer_body: int = 1024 * 1024  # of what real servers answer
    list_body: int = 8 * 1024 * 1024  # of discovery's lists: a thousand servers take 0.2 to 0.6 MB
    identity: int = 128  # characters of a request's id
    answer_margin: int = 5 * MS  # the module's deadline comes so long before the client's
    probe: int = 250 * MS
    datagram: int = 256
    remembered: int = 4096  # ids of requests that are over, and as many of which nothing has left
    give_up: int = 2 * SECOND  # for the answer to a DELETE
    delete_first: int = 500 * MS  # the same for the first, on a connection that may have fallen silent
    delete_tries: int = 3  # where nobody waits, an unconfirmed one goes out so often
    delete_pause: int = 100 * MS  # before the third; the second goes out at once
    edge_idle: int = 75 * SECOND
    edge_first: int = 2 * SECOND  # from a connection's start to its first message's last byte
    edge_read: int = 2 * SECOND  # from a later message's first byte to its last
    edge_settled: int = 300 * MS  # a client that will ask has sent its first byte by then
    # At the connection limit a message of which nothing more has come for so long makes room,
    edge_stalled: int = 100 * MS
    edge_look: int = 20 * MS  # which is looked for so often while accepting is paused.
    # Connections that wait for longer in the backlog are closed unread: their clients try again in time.
    edge_backlog_wait: int = 400 * MS
    unseen: int = 20 * MS  # a client's end may lie unread so long and an attempt still leave: 100 ms may pass
    edge_ahead: int = 256 * 1024  # what a client sends ahead of its answer is kept up to so much,
    edge_ahead_all: int = 8 * 1024 * 1024  # and what all clients do; the rest is passed over,
    edge_passed: int = 16 * 1024 * 1024  # read at once up to so much,
    edge_pause: int = 50 * MS  # and then in one read for each such time,
    edge_dropped: int = 2 * 1024 * 1024  # in which the kernel drops so much more for all connections
    edge_in_kernels: int = 10 * 1024 * 1024  # lie unread of a client that left: 6 MiB here, 4 MiB there
    edge_unread_wait: int = 100 * MS  # a request waits so long until nothing lies unread behind it
    edge_unsent: int = 16 * 1024  # while more of earlier answers is unsent, a connection's next message waits
    # Buffers, bodies of open requests and unsent answers of all client connections.
    edge_held_all: int = DEFAULT_MEMORY // 3
    edge_uncounted: int = 16 * 1024  # of each connection, so that small messages are never refused
    # What discovery has counts as told 6 s later.  A watch that falls silent as it is opened, one call after
    # it that is refused after its wait, and the one that brings the list fit into these.
    watch_wait: int = 2800 * MS  # discovery may hold a watch so long: a silent one is noticed no sooner
    watch_pause: int = 50 * MS  # between calls that bring nothing new; 200 ms would end the watch
    ask: int = 1100 * MS  # for an answer at once; discovery lets a call wait for its turn for 1 s
    late_answer: int = 5 * SECOND  # after that, what discovery has counts as told; a late answer is of no use
    call_wait: int = 3500 * MS  # discovery lets a call wait for its turn so long; later it is hardly answered
    dial_wait: int = 1500 * MS  # connections come up for so long
    moved_wait: int = 2 * SECOND  # the old address of discovery closes its connections 1.5 s after a move
    doubt_wait: int = SECOND  # discovery may hold a watch so long after a failed call
    watch_grace: int = 500 * MS  # and answers so much later at the latest
    silence: int = 0  # without word from discovery for so long its list may be doubted; 0: never
    # After SIGTERM; `of` gives the times where the longest deadline is under 3 s.
    linger: int = 450 * MS  # connections still come for up to 400 ms
    keep_asking: int = 2 * SECOND  # clients may use the connections they have so long
    keep_idle: int = 2500 * MS  # unused ones stay open so long
    last_word: int = 3400 * MS  # what comes after the linger is answered by then, 0.3 s before SIGKILL
    drain: int = SECOND  # a refused message's rest is read so long, or the answer might not arrive
    farewell: int = SECOND  # for the last answers to leave before the program ends
    backlog: int = 511

    @classmethod
    def of(cls, told: Settings, sockets: int, memory: int = DEFAULT_MEMORY) -> Limits:
        """For a node with these settings that may have so many sockets open and occupy `memory` bytes."""
        usable = max(16, sockets - SPARE_DESCRIPTORS)
        edge_connections, edge_spare = usable * 5 // 8, max(2, usable // 32)
        # What is left for messages, of which each client connection has a part that is not counted.
        clients = edge_connections + edge_spare
        free = memory - PROCESS_MEMORY - (clients + usable // 3) * CONNECTION_MEMORY
        held_all = max(LEAST_HELD, min(memory // 3, free * 2 // 3))
        uncounted = min(cls.edge_uncounted, max(LEAST_UNCOUNTED, (free - held_all) // clients))
        # SIGKILL comes 0.7 s after the longest deadline, or after 3 s where that is longer.
        longest = min(3 * SECOND, max(c.deadline for c in told.classes))
        last_word = longest + 700 * MS - 300 * MS
        # What comes as unused connections close has the longest deadline, or 0.9 s.
        keep_idle = max(500 * MS, last_word - min(longest, 900 * MS))
        return cls(
            edge_connections=edge_connections,
            edge_spare=edge_spare,
            edge_held_all=held_all,
            edge_uncounted=uncounted,
            server_connections=usable // 3,
            dial=told.connect_timeout,
            server_idle=max(told.keepalive // 2, told.keepalive - 500 * MS),
            last_word=last_word,
            keep_idle=keep_idle,
            keep_asking=max(cls.linger, keep_idle - 500 * MS),
        )
