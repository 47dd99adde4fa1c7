"""What a replica must not forget: one SQLite file with its durable state and every committed version.

Each write is one transaction, on disk before the call returns (WAL, `synchronous=FULL`): after a crash at any
moment the file holds what was written before, or that and the last write, whole.  A write that fails changes
nothing.  The file is locked for as long as it is open, so that no two processes speak for one replica."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from threading import Lock
from typing import NamedTuple

try:
    from _blake2 import blake2b  # as hashlib would give it, which loads OpenSSL first
except ImportError:
    from hashlib import blake2b

FORM = 1  # of the tables
CHECK = 16  # bytes of the state's checksum
Step = Callable[[str], None]

TABLES = """
CREATE TABLE IF NOT EXISTS replica (
    id INTEGER PRIMARY KEY CHECK (id = 1), name TEXT NOT NULL, state BLOB NOT NULL, checksum BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS versions (
    number INTEGER PRIMARY KEY, digest TEXT NOT NULL, author TEXT NOT NULL, time_ms INTEGER NOT NULL,
    document TEXT NOT NULL);
"""


class StoreError(Exception):
    """The file can't be used, read or written; one line says why."""


class Row(NamedTuple):
    """A committed version; `time_ms`: Unix time in milliseconds."""

    number: int
    digest: str
    author: str
    time_ms: int
    document: str


def no_step(name: str) -> None:
    """Tests pass one that ends the process, or raises, at a step."""


def _checksum(state: bytes) -> bytes:
    return blake2b(state, digest_size=CHECK).digest()


def _why(error: Exception) -> str:
    return " ".join(str(error).split())[:200] or type(error).__name__


class Store:
    """`name`: the replica's; a file written by another one is refused.  Methods may be called from any
    thread, one at a time; each raises `StoreError`."""

    def __init__(self, path: str, name: str, step: Step = no_step) -> None:
        """Opens the file, or makes it; `step` is told of each step of a write."""
        self.path, self.name, self._step, self._lock = path, name, step, Lock()
        self._base: sqlite3.Connection | None = None
        try:
            self._base = sqlite3.connect(path, timeout=0.2, isolation_level=None, check_same_thread=False)
            self._open(self._base)
        except (sqlite3.Error, OSError, ValueError) as error:
            self.close()
            raise StoreError(f"{path}: {_why(error)}") from None
        except StoreError:
            self.close()
            raise

    def _open(self, base: sqlite3.Connection) -> None:
        base.execute("PRAGMA locking_mode=EXCLUSIVE")
        mode = base.execute("PRAGMA journal_mode=WAL").fetchone()[0]
        if mode != "wal":
            raise StoreError(f"{self.path}: the file system allows no write-ahead log")
        base.execute("PRAGMA synchronous=FULL")
        form = base.execute("PRAGMA user_version").fetchone()[0]
        if form not in (0, FORM):
            raise StoreError(f"{self.path}: is of form {form}, not {FORM}")
        # Takes the lock, also where the tables are there; then nothing is written, so that a full disk can be
        # read.
        make = () if form else (*TABLES.split(";"), f"PRAGMA user_version={FORM}")
        self._whole(lambda: [base.execute(statement) for statement in make])
        row = base.execute("SELECT name FROM replica").fetchone()
        if row is not None and row[0] != self.name:
            raise StoreError(f"{self.path}: belongs to replica {row[0]!r}, not {self.name!r}")

    def close(self) -> None:
        """Closing twice does nothing."""
        with self._lock:
            base, self._base = self._base, None
            if base is not None:
                try:
                    base.close()
                except sqlite3.Error:
                    pass  # what was committed is on disk already

    def _whole(self, work: Callable[[], object]) -> None:
        """One transaction; whatever fails undoes all of it."""
        base = self._connection()
        if base.in_transaction:  # a roll-back has failed before
            base.execute("ROLLBACK")
        base.execute("BEGIN IMMEDIATE")
        try:
            work()
            base.execute("COMMIT")
        except BaseException:
            if base.in_transaction:
                base.execute("ROLLBACK")
            raise

    def _connection(self) -> sqlite3.Connection:
        if self._base is None:
            raise StoreError(f"{self.path}: is closed")
        return self._base

    def state(self) -> bytes | None:
        """What was written last; None: nothing ever was."""
        with self._lock:
            try:
                row = self._connection().execute("SELECT state, checksum FROM replica").fetchone()
            except sqlite3.Error as error:
                raise StoreError(f"{self.path}: {_why(error)}") from None
        if row is None:
            return None
        state = bytes(row[0])
        if _checksum(state) != bytes(row[1]):
            raise StoreError(f"{self.path}: the checksum of the replica's state is wrong")
        return state

    def write(self, state: bytes, version: Row | None = None) -> None:
        """Replaces the state and, in the same transaction, adds a version; one that is there already must be
        the same, for a number has one content for ever."""
        with self._lock:
            try:
                self._step("write")
                self._whole(lambda: self._put(state, version))
            except (sqlite3.Error, OSError) as error:
                raise StoreError(f"{self.path}: {_why(error)}") from None
            self._step("written")

    def _put(self, state: bytes, version: Row | None) -> None:
        base = self._connection()
        base.execute(
            "INSERT INTO replica (id, name, state, checksum) VALUES (1, ?, ?, ?) "
            "ON CONFLICT (id) DO UPDATE SET state = excluded.state, checksum = excluded.checksum",
            (self.name, state, _checksum(state)),
        )
        self._step("state")
        if version is not None:
            base.execute("INSERT OR IGNORE INTO versions VALUES (?, ?, ?, ?, ?)", version)
            held = base.execute("SELECT digest FROM versions WHERE number = ?", (version.number,)).fetchone()
            if held[0] != version.digest:
                raise StoreError(f"{self.path}: version {version.number} is there with another content")
            self._step("version")

    def version(self, number: int) -> Row | None:
        """A committed version; None: it is not held."""
        with self._lock:
            try:
                row = (
                    self._connection()
                    .execute("SELECT * FROM versions WHERE number = ?", (number,))
                    .fetchone()
                )
            except sqlite3.Error as error:
                raise StoreError(f"{self.path}: {_why(error)}") from None
        return None if row is None else Row(*row)

    def numbers(self) -> list[int]:
        """Of all versions held, rising."""
        with self._lock:
            try:
                rows = self._connection().execute("SELECT number FROM versions ORDER BY number").fetchall()
            except sqlite3.Error as error:
                raise StoreError(f"{self.path}: {_why(error)}") from None
        return [row[0] for row in rows]
