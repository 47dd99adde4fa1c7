"""Hot upgrade: a running node starts its successor, hands it the listening sockets and drains.

Imported only where the operator file asks for it, or in a successor.  The two processes speak over a pair of
Unix sockets.  The pair is all that the successor inherits: the listening sockets follow over it once the
successor has spoken, so that one that never gets so far can't hold the node's address.

Each message is its length in 4 bytes, big-endian, and one of the structs below as MessagePack; `State` bears
the sockets' descriptors.  What can't be read, or is too long, counts as the other side's end."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

import msgspec
from msgspec import Struct
from twisted.internet.abstract import FileDescriptor
from twisted.internet.error import CannotListenError
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.python.failure import Failure as Reason

from violetsaddle.decide import upgrade as decide
from violetsaddle.decide.memory import ServerList
from violetsaddle.decide.upgrade import Action, Event, OldState, SuccessorState
from violetsaddle.net.callbacks import apply_callback, parse_callback
from violetsaddle.net.deadlines import Deadline, Deadlines, Reactor
from violetsaddle.net.early import SUCCESSOR
from violetsaddle.net.limits import MS, SECOND
from violetsaddle.net.node import Config, ConfigError, Node
from violetsaddle.net.transports import CONNECTION_ENDED_ERRORS, unsent

PROTOCOL = 1
PREFIX = 4  # bytes that hold a message's length
MOST_STATE = 128 << 20  # bytes of a message to the successor: a list is as long as discovery's answers may be
MOST_MORE = 64 << 10  # bytes of a message to the old process, beyond a callback's body
MOST_UNSENT = 8 << 20  # bytes that wait for the other process; callbacks beyond it are answered 503
MOST_SOCKETS = 8
IDS_EACH = 1000  # ids in one message
SERVE_WITHIN = SECOND  # from `go` until the successor says that it serves: meanwhile nobody accepts
CALL_WITHIN = SECOND  # for the other side's answer to a callback
# Who asks often comes once more within this, and the answer says that it was the last.  Whoever does not come
# may cross the closing with a request, and the rarer it asks, the less likely it does.
IDLE_FOR = SECOND
ENDS_WITHIN = 100 * MS  # a process whose side of the pair has closed is given so long to end by itself
LOOK_FOR = SECOND  # whether a process has ended

Step: TypeAlias = Callable[[str], None]


class Hello(Struct, tag=True, array_like=True):
    """The successor's first message: which protocol it speaks and its process id."""

    protocol: int
    pid: int


class State(Struct, tag=True, array_like=True):
    """What the old process hands over; the descriptors come with this message's first bytes."""

    sockets: int  # descriptors that come with it: the listener, and the datagrams' socket if there is one
    listing: Any  # the list of real servers in discovery's form, or None
    data: bytes  # what the node has learned; empty: nothing


class Ids(Struct, tag=True, array_like=True):
    """At most `IDS_EACH` ids, of requests open at the sender (`open`) or of all that must not come again."""

    ids: list[str]
    open: bool


class Whole(Struct, tag=True, array_like=True):
    """The state and all ids have been said."""

    pass


class Ready(Struct, tag=True, array_like=True):
    """The successor has taken the sockets, the state and all ids in."""

    pass


class Go(Struct, tag=True, array_like=True):
    """The old process accepts no longer: the successor is to."""

    pass


class Serves(Struct, tag=True, array_like=True):
    """The successor accepts."""

    pass


class Ending(Struct, tag=True, array_like=True):
    """The successor was told to end: the old one ends too."""

    pass


class Took(Struct, tag=True, array_like=True):
    """A request was taken in."""

    id: str


class Over(Struct, tag=True, array_like=True):
    """A request has ended."""

    id: str


class Call(Struct, tag=True, array_like=True):
    """A callback on a request that is not open where it came."""

    number: int
    body: bytes


class Called(Struct, tag=True, array_like=True):
    """The answer to `Call` of this number: the HTTP status for the real server."""

    number: int
    status: int


Message: TypeAlias = Hello | State | Ids | Whole | Ready | Go | Serves | Ending | Took | Over | Call | Called
EVENTS = {
    Hello: Event.HELLO,
    State: Event.STATE,
    Whole: Event.WHOLE,
    Ready: Event.READY,
    Go: Event.GO,
    Serves: Event.SERVES,
    Ending: Event.ENDING,
}


@dataclass(frozen=True)
class Told:
    """What the operator file says; times are microseconds."""

    offered: bool = False  # whether SIGUSR2 starts an upgrade here
    wait: int = 10 * SECOND
    drain: int = 30 * SECOND
    pid_file: str = ""

    @classmethod
    def of(cls, restart: Any) -> Told:
        """From the section `restart` of an operator file, whose times are seconds."""
        return cls(
            restart.upgrade,
            int(restart.upgrade_wait_s * SECOND),
            int(restart.upgrade_drain_s * SECOND),
            restart.pid_file,
        )


def inherited(text: str) -> socket.socket:
    """The pair's end whose descriptor the environment names; raises `ConfigError`."""
    try:
        pair = socket.socket(fileno=int(text))
        pair.set_inheritable(False)
        if pair.family != socket.AF_UNIX:
            raise ValueError("no Unix socket")
    except (OSError, ValueError) as error:
        raise ConfigError(f"{SUCCESSOR}: {error}") from None
    return pair


class Link(FileDescriptor):
    """One end of the pair."""

    def __init__(
        self,
        reactor: Reactor,
        pair: socket.socket,
        most: int,
        heard: Callable[[Message | None], None],
        ended: Callable[[], None],
    ) -> None:
        """`most`: bytes of a message that comes.  `heard` gets each message, and None for nonsense, after
        which nothing more comes; `ended` is called once when the other side has gone."""
        super().__init__(reactor)
        pair.setblocking(False)
        self._pair, self._most, self._heard, self._ended = pair, most, heard, ended
        self._held = bytearray()
        self._decoder: Any = msgspec.msgpack.Decoder(Message)
        self.fds: list[int] = []  # that came and nobody has taken yet
        self.connected = 1
        reactor.addReader(self)

    def fileno(self) -> int:
        """The pair's descriptor, for the reactor."""
        return self._pair.fileno()

    def say(self, message: Message, fds: Sequence[int] = ()) -> None:
        """With `fds` nothing may wait to be written; raises `OSError` only then."""
        data = msgspec.msgpack.encode(message)
        prefix = len(data).to_bytes(PREFIX, "big")
        if fds:
            sent = socket.send_fds(self._pair, [prefix], list(fds))
            prefix = prefix[sent:]
        self.write(prefix + data)

    def flush(self) -> None:
        """Writes what it can without waiting for the reactor's next turn."""
        if self.connected:
            self.doWrite()  # type: ignore[no-untyped-call]  # Twisted does not type it

    def read_now(self) -> None:
        """Reads what lies there without waiting for the reactor's next turn."""
        why = self.doRead() if self.connected else None
        if why is not None:
            self.connectionLost(why)

    def writeSomeData(self, data: Any) -> int | BaseException:
        """Twisted: gives how many bytes the kernel took."""
        try:
            return self._pair.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            # Where nobody reads it, what they have said still lies here, and then their end.
            return len(data) if error.errno in CONNECTION_ENDED_ERRORS else 0

    def doRead(self) -> Any:
        """Twisted: takes in what has come; gives a reason once the other side has ended."""
        try:
            data, fds, _, _ = socket.recv_fds(self._pair, 65536, MOST_SOCKETS)
        except BlockingIOError:
            return None
        except OSError as error:
            return CONNECTION_LOST if error.errno in CONNECTION_ENDED_ERRORS else None
        for fd in fds:
            os.set_inheritable(fd, False)
        self.fds += fds
        if not data:
            return CONNECTION_DONE
        self._held += data
        while self.connected and len(self._held) >= PREFIX:
            length = int.from_bytes(self._held[:PREFIX], "big")
            if length > self._most:
                return self._nonsense()
            if len(self._held) < PREFIX + length:
                return None
            body = bytes(self._held[PREFIX : PREFIX + length])
            del self._held[: PREFIX + length]
            try:
                message = self._decoder.decode(body)
            except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
                return self._nonsense()
            self._heard(message)
        return None

    def _nonsense(self) -> None:
        self.stopReading()  # type: ignore[no-untyped-call]
        self._heard(None)

    def connectionLost(self, reason: Reason) -> None:
        """Twisted: the other side has gone."""
        if not self.disconnected:
            self.hang_up()
            self._ended()

    def hang_up(self) -> None:
        """Closes; `ended` is not called for that."""
        if not self.disconnected:
            super().connectionLost(None)  # type: ignore[no-untyped-call]  # nor this
            self._pair.close()
            self.drop_fds()

    def drop_fds(self) -> None:
        """Closes descriptors that came and that nobody has taken."""
        for fd in self.fds:
            os.close(fd)
        self.fds = []


class Child:
    """The successor's process, as its parent sees it."""

    def __init__(self, process: subprocess.Popen[bytes], deadlines: Deadlines) -> None:
        """`process`: started, its end not waited for yet."""
        self._process, self._deadlines = process, deadlines
        self.pid = process.pid
        self._since = 0
        self._looking = False

    def kill(self) -> None:
        """SIGKILL; nothing happens if it has ended."""
        try:
            self._process.kill()
        except OSError:
            pass

    def reload(self) -> None:
        """SIGHUP; nothing happens if it has ended."""
        try:
            self._process.send_signal(signal.SIGHUP)
        except OSError:
            pass

    def look(self, done: Callable[[int], None], kill_after: int | None, give_up: int | None) -> None:
        """Calls `done` with the status once the process has ended, never at once; both times are
        microseconds from now.  A second look that begins while one goes on is the same one."""
        if self._looking:
            return
        self._looking = True
        self._since = self._deadlines.now()
        wait = MS

        def again() -> None:
            nonlocal wait, kill_after
            status = self._process.poll()
            waited = self._deadlines.now() - self._since
            if status is not None:
                self._looking = False
                done(status)
            elif give_up is not None and waited >= give_up:
                self._looking = False
            else:
                if kill_after is not None and waited >= kill_after:
                    kill_after = None
                    self.kill()
                wait = min(2 * wait, 20 * MS)
                self._deadlines.after(wait, again)

        self._deadlines.after(wait, again)


class Upgrade:
    """One process's side.  A successor whose predecessor has gone is what may be upgraded next."""

    def __init__(
        self, reactor: Reactor, node: Node, config: Config, told: Told, pair: socket.socket | None, step: Step
    ) -> None:
        """`pair`: what this process inherited, if it is a successor."""
        self._reactor, self._node, self._config, self._told = reactor, node, config, told
        self._pair, self._step = pair, step
        self._counters, self._deadlines, self._requests = node.counters, node.deadlines, node.requests
        self._life = decide.successor() if pair is not None else decide.old_process()
        self._link: Link | None = None
        self._child: Child | None = None
        self._child_handles_signals = False  # as it has been told to go
        self._child_reloads = False  # the configuration was replaced as it started
        node.on_reload = self._reloaded
        self._late: Deadline | None = None
        self._events: deque[Event] = deque()
        self._busy = False
        self._why = ""  # the last upgrade failed
        self._message: Any = None  # that is being taken in
        self._ended_since: list[str] = []  # ids of requests that were over after the others were handed over
        self._calls: dict[int, tuple[bytes, Callable[[int], None], Deadline]] = {}  # passed on, unanswered
        self._called = 0
        self._listing = ServerList()
        node.discovery.observers.append(self._listing.apply)
        self._acts: dict[Action, Callable[[], None]] = {
            Action.SPAWN: self._spawn,
            Action.GIVE: self._give,
            Action.PAUSE: self._pause,
            Action.SAY_GO: self._go,
            Action.DRAIN: self._drain,
            Action.KILL: self._kill,
            Action.LOOK: self._look,
            Action.RESUME: self._resume,
            Action.TELL: self._tell,
            Action.REFUSE: self._refuse,
            Action.STOP: self._stop,
            Action.FINISH: self._finish,
            Action.SAY_HELLO: lambda: self._say(Hello(PROTOCOL, os.getpid())),
            Action.ADOPT: self._adopt,
            Action.SAY_READY: lambda: self._say(Ready()),
            Action.SAY_SERVES: self._serves,
            Action.SAY_ENDING: self._ending,
            Action.HANG_UP: self._hang_up,
            Action.FORGET: self._forget,
            Action.QUIT: self._quit,
        }

    # Its start, signals and end.

    def start(self, listener: socket.socket | None = None) -> None:
        """Listens, or asks the predecessor for its sockets; raises as `Node.start`."""
        if self._pair is not None:
            self._link = Link(self._reactor, self._pair, MOST_STATE, self._heard, self._lost)
            self._event(Event.INITIALIZED)
            return
        host, port = self._config.listen
        try:
            # Of our own, for Twisted would shut one of its own down for the successor too.
            listener = listener or socket.create_server(
                (host, port),
                family=socket.AF_INET6 if ":" in host else socket.AF_INET,
                backlog=self._node.limits.backlog,
            )
        except OSError as error:
            raise CannotListenError(  # type: ignore[no-untyped-call]  # nor that
                host, port, error
            ) from None
        listener.setblocking(False)
        self._write_pid()  # before the log says that it listens
        self._node.start(listener)
        notify("READY=1")

    def asked(self) -> None:
        """On SIGUSR2; where no upgrade is offered nothing happens."""
        if not self._told.offered and self._life.state in (OldState.SERVING, SuccessorState.ALONE):
            return
        self._event(Event.UPGRADE)

    def _reloaded(self) -> None:
        """On SIGHUP: the successor was started with the address of discovery that counted then."""
        if self._child is not None and self._child_handles_signals:
            self._child.reload()
        else:
            self._child_reloads = True

    def stop(self) -> None:
        """On SIGTERM."""
        self._event(Event.TERM)

    def ended(self) -> None:
        """Takes the pid file away if it still names this process."""
        if self._told.pid_file:
            try:
                with open(self._told.pid_file, encoding="ascii") as file:
                    ours = file.read().strip() == str(os.getpid())
                if ours:
                    os.unlink(self._told.pid_file)
            except (OSError, ValueError):
                pass

    # Events: one after the other, for an action may bring about the next.

    def _event(self, event: Event) -> None:
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._take(self._events.popleft())
        finally:
            self._busy = False

    def _take(self, event: Event) -> None:
        before = self._life.state
        self._step(f"{event.value} in {before.value}")
        actions = self._life.handle(event)
        if event is not Event.FAILED and (Action.KILL in actions or Action.LOOK in actions):
            self._why = self._reason(event, before)
        for do in actions:
            try:
                self._acts[do]()
            except Exception as error:
                # An upgrade that strikes a fault must not take the node with it.
                self._counters.fault("an upgrade failed", error)
                self._events.append(Event.FAILED)
            self._step(f"after {do.name.lower()} on {event.value}")
        if self._life.state is not before:
            self._wait()
        if self._life.state is SuccessorState.ALONE:
            self._life = decide.old_process()

    def _wait(self) -> None:
        """Sets the time that the present state may last."""
        state = self._life.state
        if state in (OldState.GREETED, SuccessorState.READY):
            return  # these share the time of the state before
        self._deadlines.drop(self._late)
        waits: dict[Any, int] = {
            OldState.STARTING: self._told.wait,
            OldState.COMMITTED: SERVE_WITHIN,
            OldState.DRAINING: self._told.drain,
            SuccessorState.ADOPTING: 2 * self._told.wait,
        }
        self._late = self._deadlines.after(waits[state], self._is_late) if state in waits else None

    def _is_late(self) -> None:
        # Guards against a stall of our own: what was awaited may lie here unread.
        state, link = self._life.state, self._link
        if link is not None:
            link.read_now()
        if self._life.state is state or state in (OldState.STARTING, SuccessorState.ADOPTING):
            self._event(Event.TIMEOUT)

    def _reason(self, event: Event, state: Any) -> str:
        if event is Event.TIMEOUT:
            within = SERVE_WITHIN if state is OldState.COMMITTED else self._told.wait
            return f"was not ready within {within / SECOND:g} s"
        return "ended" if event is Event.LINK_CLOSED else "is of another version, or broken"

    # The pair.

    def _say(self, message: Message) -> None:
        if self._link is not None:
            self._link.say(message)
            self._step(f"said {type(message).__name__.lower()}")

    def _heard(self, message: Message | None) -> None:
        self._step(f"heard {type(message).__name__.lower()}")
        event = EVENTS.get(type(message))  # type: ignore[arg-type]
        if message is None or (isinstance(message, Hello) and message.protocol != PROTOCOL):
            self._event(Event.INVALID_MESSAGE)
        elif event is not None:
            self._message = message
            self._event(event)
            self._message = None
        elif isinstance(message, Ids):
            if message.open:
                self._requests.open_elsewhere.update(message.ids)
            else:
                self._requests.remember_ids(message.ids)
        elif isinstance(message, Took):
            self._requests.open_elsewhere.add(message.id)
        elif isinstance(message, Over):
            self._requests.open_elsewhere.discard(message.id)
            self._requests.remember_ids([message.id])
            self._node.settle()
        elif isinstance(message, Call):
            self._take_call(message)
        elif isinstance(message, Called):
            self._answered(message.number, message.status)

    def _lost(self) -> None:
        self._link = None
        self._event(Event.LINK_CLOSED)

    def _hang_up(self) -> None:
        if self._link is not None:
            self._link.hang_up()
            self._link = None

    def _both(self) -> None:
        """From now on each side tells the other of its requests, and passes on callbacks on others."""
        self._requests.on_id_change = self._on_id
        self._node.edge.forward_callback = self._pass_on

    def _on_id(self, job: str, over: bool) -> None:
        self._say(Over(job) if over else Took(job))

    def _alone(self) -> None:
        """The other side has gone; nothing of its requests is open any more."""
        self._requests.on_id_change = self._node.edge.forward_callback = None
        self._requests.remember_ids(sorted(self._requests.open_elsewhere))
        self._requests.open_elsewhere.clear()
        for number, (body, _, _) in list(self._calls.items()):
            # As if it had come now: nobody has that request.
            self._answered(number, 204)
            apply_callback(self._node.edge.shared, parse_callback(body))

    # Callbacks.

    def _pass_on(self, body: bytes, answer: Callable[[int], None]) -> None:
        if self._link is not None and unsent(self._link) > MOST_UNSENT:
            self._counters.add("callbacks_held_up")
            answer(503)  # the real server may call again
            return
        self._called += 1
        number = self._called
        # After a 503 the real server may call again; the other side may have heard it all the same.
        late = self._deadlines.after(CALL_WITHIN, lambda: self._answered(number, 503))
        self._calls[number] = body, answer, late
        self._counters.add("callbacks_passed_on")
        self._say(Call(number, body))

    def _answered(self, number: int, status: int) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            _, answer, late = call
            self._deadlines.drop(late)
            answer(status)

    def _take_call(self, message: Call) -> None:
        """One that the other side passed on; it is not passed on again."""
        self._counters.add("callbacks_taken_over")
        try:
            call = parse_callback(message.body)
        except ValueError:
            self._say(Called(message.number, 400))
            return
        self._say(Called(message.number, 204))
        apply_callback(self._node.edge.shared, call)

    # What the old process does.

    def _spawn(self) -> None:
        self._counters.add("upgrades")
        self._why, self._ended_since = "", []
        self._child_handles_signals = self._child_reloads = False
        env = dict(os.environ)
        if self._node.moved:
            env.pop("RELAY_DISCOVERY", None)  # it has been elsewhere since
        try:
            ours, theirs = socket.socketpair()
        except OSError as error:
            self._failed(f"can't be started: {error}")
            return
        self._step("pair made")
        with theirs:
            env[SUCCESSOR] = str(theirs.fileno())
            try:
                process = subprocess.Popen(
                    [sys.executable, *sys.orig_argv[1:]], env=env, pass_fds=[theirs.fileno()]
                )
            except (OSError, ValueError, subprocess.SubprocessError) as error:
                ours.close()
                self._failed(f"can't be started: {error}")
                return
        self._step("program started")
        self._child = Child(process, self._deadlines)
        self._link = Link(self._reactor, ours, self._node.limits.body + MOST_MORE, self._heard, self._lost)
        self._counters.say(f"upgrade: {process.pid} is to follow {os.getpid()}")

    def _failed(self, why: str) -> None:
        self._why = why
        self._event(Event.FAILED)

    def _give(self) -> None:
        assert self._link is not None
        fds = self._node.sockets()
        try:
            keeper = self._node.keeper
            learned = b"" if keeper is None else keeper.snapshot()
            self._link.say(State(len(fds), self._listing.full_answer(), learned), fds)
        except OSError as error:
            self._failed(f"can't be given the sockets: {error}")
            return
        self._step("state said")
        self._ended_since = []
        self._requests.on_id_change = self._note_id
        self._say_ids(self._requests.known_ids(), False)
        self._say(Whole())

    def _note_id(self, job: str, over: bool) -> None:
        if over:
            self._ended_since.append(job)

    def _say_ids(self, ids: Sequence[str], are_open: bool) -> None:
        for at in range(0, len(ids), IDS_EACH):
            self._say(Ids(list(ids[at : at + IDS_EACH]), are_open))

    def _pause(self) -> None:
        self._node.pause()

    def _go(self) -> None:
        self._say_ids(self._ended_since[-self._node.limits.remembered :], False)
        self._say_ids(self._requests.open_ids(), True)
        self._ended_since = []
        self._both()
        self._say(Go())
        if self._link is not None:
            self._link.flush()
        self._step("go is out")
        self._child_handles_signals = True
        if self._child is not None and self._child_reloads:
            self._child.reload()

    def _drain(self) -> None:
        assert self._child is not None
        self._counters.say(f"upgraded: {self._child.pid} serves, {os.getpid()} drains")
        notify(f"MAINPID={self._child.pid}")
        self._node.drain(min(IDLE_FOR, self._told.drain // 2), lambda: self._event(Event.DRAINED))

    def _kill(self) -> None:
        self._hang_up()
        self._alone()
        child = self._child
        if child is None:
            return
        if self._why != "ended":
            child.kill()
        child.look(lambda status: self._gone(child, status), ENDS_WITHIN, None)

    def _look(self) -> None:
        self._alone()
        child = self._child
        if child is not None:
            child.look(lambda status: self._gone(child, status), None, LOOK_FOR)

    def _gone(self, child: Child, status: int) -> None:
        self._counters.say(f"upgrade: {child.pid} ended {told(status)}")
        self._step("successor reaped")
        if child is self._child:
            self._child = None
            self._event(Event.SUCCESSOR_ENDED)

    def _tell(self) -> None:
        self._counters.add("upgrades_failed")
        self._counters.say(f"upgrade failed: the successor {self._why}; {os.getpid()} serves on")
        self._write_pid()  # again: who waits for another process sees that none comes
        notify(f"MAINPID={os.getpid()}")

    def _refuse(self) -> None:
        self._counters.add("upgrades_refused")
        self._counters.say("upgrade refused: one is under way")

    def _stop(self) -> None:
        self._node.stop()

    def _finish(self) -> None:
        if len(self._requests):
            drained = f"drained for {self._told.drain / SECOND:g} s"
            self._counters.say(f"{drained}, {len(self._requests)} flows are cut")
        else:
            self._counters.say("drained")
        self._node.finish()

    # What both do.

    def _resume(self) -> None:
        self._node.resume()

    # What the successor does.

    def _adopt(self) -> None:
        assert self._link is not None
        fds, self._link.fds = self._link.fds, []
        sockets = [socket.socket(fileno=fd) for fd in fds]
        self._step("sockets taken")
        try:
            if not sockets or len(sockets) != self._message.sockets:
                raise OSError(f"{len(sockets)} of {self._message.sockets} sockets came")
            self._node.adopt(
                sockets[0], sockets[1] if len(sockets) > 1 else None, self._message.listing, paused=True
            )
            self._step("listening")
            if self._node.keeper is not None and self._message.data:
                self._node.keeper.recall(self._message.data)
            self._node.meet()
            self._step("state believed")
        except Exception as error:
            self._counters.say(f"can't take over: {type(error).__name__}: {error}".replace("\n", " ")[:300])
            self._failed("can't take over")
        finally:
            for sock in sockets:
                sock.close()

    def _serves(self) -> None:
        self._both()
        self._node.guest = lambda: bool(self._requests.open_elsewhere)
        self._write_pid()  # first: the old process takes the file away if it ends and is still named there
        self._say(Serves())
        if self._link is not None:
            self._link.flush()
        self._counters.say(f"upgrade: {os.getpid()} serves")

    def _ending(self) -> None:
        self._say(Ending())
        # What the old process has not answered by the last word will not be answered.
        self._deadlines.after(self._node.limits.last_word, self._forget)

    def _forget(self) -> None:
        self._node.guest = lambda: False
        self._alone()
        self._node.settle()

    def _quit(self) -> None:
        self._counters.say(f"{os.getpid()} does not take over")
        self._hang_up()
        self._node.quit(1)

    def _write_pid(self) -> None:
        if self._told.pid_file:
            try:
                write_pid(self._told.pid_file, self._step)
            except OSError as error:
                self._counters.say(f"pid_file: {error}")


def told(status: int) -> str:
    """A process's status in words."""
    return f"by signal {-status}" if status < 0 else f"with status {status}"


def write_pid(path: str, step: Step) -> None:
    """Puts a file with this process's id in place of the one that is there; raises `OSError`."""
    fresh = f"{path}.{os.getpid()}"
    with open(fresh, "w", encoding="ascii") as file:
        file.write(f"{os.getpid()}\n")
    step("pid written")
    os.replace(fresh, path)
    step("pid in place")


def notify(text: str) -> None:
    """Tells systemd, where it started the program as `Type=notify`."""
    path = os.environ.get("NOTIFY_SOCKET")
    if path:
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
                sock.sendto(text.encode(), "\0" + path[1:] if path.startswith("@") else path)
        except OSError:
            pass  # a supervisor that does not hear is no reason to stop serving
