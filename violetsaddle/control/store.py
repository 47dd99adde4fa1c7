"""Durable storage of a replica: one SQLite file with its state and every committed version.

Each write is one transaction, and is on disk when the call returns (WAL, `synchronous=FULL`).  After a crash
at any point the file holds either all of the last write or none of it.  A write that fails changes nothing.
The file is locked while it is open, so that no two processes act as the same replica."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from threading import Lock
from typing import NamedTuple

try:
    from _blake2 import blake2b  # the implementation that hashlib uses; importing hashlib would load OpenSSL
except ImportError:
    from hashlib import blake2b

SCHEMA_VERSION = 1  # stored as `user_version`
CHECKSUM_BYTES = 16  # of the checksum of the state
StepHook = Callable[[str], None]

SCHEMA = """
CREATE TABLE IF NOT EXISTS replica (
    id INTEGER PRIMARY KEY CHECK (id = 1), name TEXT NOT NULL, state BLOB NOT NULL, checksum BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS versions (
    number INTEGER PRIMARY KEY, digest TEXT NOT NULL, author TEXT NOT NULL, time_ms INTEGER NOT NULL,
    document TEXT NOT NULL);
"""


class StoreError(Exception):
    """Raised when the file can't be opened, read or written.  The message is one line."""


class VersionRow(NamedTuple):
    """A committed version; `time_ms`: Unix time in milliseconds."""

    number: int
    digest: str
    author: str
    time_ms: int
    document: str


def ignore_step(name: str) -> None:
    """Does nothing.  Tests pass a hook that kills the process, or raises, at a step of a write."""


def _checksum(state: bytes) -> bytes:
    return blake2b(state, digest_size=CHECKSUM_BYTES).digest()


def _error_text(error: Exception) -> str:
    return " ".join(str(error).split())[:200] or type(error).__name__


class Store:
    """The file of the replica `name`.  A file of another replica is refused.

    Methods may be called from any thread; a lock serializes them.  Each raises `StoreError`."""

    def __init__(self, path: str, name: str, step: StepHook = ignore_step) -> None:
        """Opens or creates the file.  `step` is called with the name of each step of a write."""
        self.path, self.name, self._step, self._lock = path, name, step, Lock()
        self._database: sqlite3.Connection | None = None
        try:
            self._database = sqlite3.connect(path, timeout=0.2, isolation_level=None, check_same_thread=False)
            self._open(self._database)
        except (sqlite3.Error, OSError, ValueError) as error:
            self.close()
            raise StoreError(f"{path}: {_error_text(error)}") from None
        except StoreError:
            self.close()
            raise

    def _open(self, database: sqlite3.Connection) -> None:
        database.execute("PRAGMA locking_mode=EXCLUSIVE")
        mode = database.execute("PRAGMA journal_mode=WAL").fetchone()[0]
        if mode != "wal":
            raise StoreError(f"{self.path}: the file system does not support write-ahead logging")
        database.execute("PRAGMA synchronous=FULL")
        schema_version = database.execute("PRAGMA user_version").fetchone()[0]
        if schema_version not in (0, SCHEMA_VERSION):
            raise StoreError(f"{self.path}: has schema version {schema_version}, not {SCHEMA_VERSION}")
        # Takes the lock, even if the tables exist.  Then nothing is written, so that the file can be
        # read on a full disk.
        statements = () if schema_version else (*SCHEMA.split(";"), f"PRAGMA user_version={SCHEMA_VERSION}")
        self._transaction(lambda: [database.execute(statement) for statement in statements])
        row = database.execute("SELECT name FROM replica").fetchone()
        if row is not None and row[0] != self.name:
            raise StoreError(f"{self.path}: belongs to replica {row[0]!r}, not {self.name!r}")

    def close(self) -> None:
        """Closes the file and releases the lock.  Further calls do nothing."""
        with self._lock:
            database, self._database = self._database, None
            if database is not None:
                try:
                    database.close()
                except sqlite3.Error:
                    pass  # committed data is already on disk

    def _transaction(self, work: Callable[[], object]) -> None:
        """Runs `work` in one transaction, and rolls back if anything fails."""
        database = self._connection()
        if database.in_transaction:  # an earlier rollback failed
            database.execute("ROLLBACK")
        database.execute("BEGIN IMMEDIATE")
        try:
            work()
            database.execute("COMMIT")
        except BaseException:
            if database.in_transaction:
                database.execute("ROLLBACK")
            raise

    def _connection(self) -> sqlite3.Connection:
        if self._database is None:
            raise StoreError(f"{self.path}: is closed")
        return self._database

    def state(self) -> bytes | None:
        """Returns the last state written, or None if there is none."""
        with self._lock:
            try:
                row = self._connection().execute("SELECT state, checksum FROM replica").fetchone()
            except sqlite3.Error as error:
                raise StoreError(f"{self.path}: {_error_text(error)}") from None
        if row is None:
            return None
        state = bytes(row[0])
        if _checksum(state) != bytes(row[1]):
            raise StoreError(f"{self.path}: the checksum of the replica's state is wrong")
        return state

    def write(self, state: bytes, version: VersionRow | None = None) -> None:
        """Replaces the state and, in the same transaction, adds a version.

        A version that exists must be equal, because the content of a version number never changes."""
        with self._lock:
            try:
                self._step("write")
                self._transaction(lambda: self._write_rows(state, version))
            except (sqlite3.Error, OSError) as error:
                raise StoreError(f"{self.path}: {_error_text(error)}") from None
            self._step("written")

    def _write_rows(self, state: bytes, version: VersionRow | None) -> None:
        database = self._connection()
        database.execute(
            "INSERT INTO replica (id, name, state, checksum) VALUES (1, ?, ?, ?) "
            "ON CONFLICT (id) DO UPDATE SET state = excluded.state, checksum = excluded.checksum",
            (self.name, state, _checksum(state)),
        )
        self._step("state")
        if version is not None:
            database.execute("INSERT OR IGNORE INTO versions VALUES (?, ?, ?, ?, ?)", version)
            existing = database.execute(
                "SELECT digest FROM versions WHERE number = ?", (version.number,)
            ).fetchone()
            if existing[0] != version.digest:
                raise StoreError(
                    f"{self.path}: version {version.number} already exists with different content"
                )
            self._step("version")

    def version(self, number: int) -> VersionRow | None:
        """Returns a committed version, or None if it is not stored."""
        with self._lock:
            try:
                row = (
                    self._connection()
                    .execute("SELECT * FROM versions WHERE number = ?", (number,))
                    .fetchone()
                )
            except sqlite3.Error as error:
                raise StoreError(f"{self.path}: {_error_text(error)}") from None
        return None if row is None else VersionRow(*row)

    def numbers(self) -> list[int]:
        """Returns the numbers of all stored versions in ascending order."""
        with self._lock:
            try:
                rows = self._connection().execute("SELECT number FROM versions ORDER BY number").fetchall()
            except sqlite3.Error as error:
                raise StoreError(f"{self.path}: {_error_text(error)}") from None
        return [row[0] for row in rows]
