"""The program's start: what it listens for and when, and what it leaves out of its imports."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import textwrap
import time
import tomllib
import unittest
from pathlib import Path
from typing import Any

from tests.scenario import SETTINGS

ROOT = Path(__file__).parent.parent
LONG = 20.0
# Put before the program: its import of Twisted waits until somebody opens the pipe for writing.
HELD = """
    import os, sys
    class Hold:
        def find_spec(self, name, path=None, target=None):
            if name == "twisted":
                sys.meta_path.remove(self)
                open(os.environ["HELD_BY"]).read()
    if "-m" in sys.orig_argv:
        sys.meta_path.insert(0, Hold())
"""


class Start(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.pipe = self.folder / "pipe"
        (self.folder / "sitecustomize.py").write_text(textwrap.dedent(HELD))
        with socket.socket() as one:
            one.bind(("127.0.0.1", 0))
            self.port = one.getsockname()[1]

    def launch(self, held: bool = False, **changes: Any) -> subprocess.Popen[str]:
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": "127.0.0.1:9",
            "seed": "1",
            "settings": SETTINGS,
            **changes,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        env = {**os.environ, "RELAY_CONFIG": str(self.folder / "config.json"), "PYTHONPATH": str(ROOT)}
        env.pop("RELAY_LISTEN", None)
        if held:
            os.mkfifo(self.pipe)
            env.update(PYTHONPATH=f"{self.folder}:{ROOT}", HELD_BY=str(self.pipe))
        node = subprocess.Popen(
            [sys.executable, "-m", "violetsaddle"],
            env=env,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(node.communicate)
        self.addCleanup(node.kill)
        return node

    def connect(self) -> socket.socket:
        until = time.monotonic() + LONG
        while True:
            try:
                client = socket.create_connection(("127.0.0.1", self.port), LONG)
                self.addCleanup(client.close)
                return client
            except ConnectionRefusedError:
                self.assertLess(time.monotonic(), until, "the program does not listen")

    def test_who_connects_while_it_still_imports_is_served(self) -> None:
        node = self.launch(held=True)
        client = self.connect()
        client.sendall(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n")
        client.setblocking(False)
        self.assertRaises(BlockingIOError, client.recv, 64)
        client.settimeout(LONG)
        with open(self.pipe, "w"):
            pass  # its imports go on
        self.assertTrue(client.recv(64).startswith(b"HTTP/1.1 200"))
        assert node.stderr is not None
        self.assertEqual(node.stderr.readline(), f"n0: listening on 127.0.0.1:{self.port}\n")
        node.terminate()
        self.assertEqual(node.wait(LONG), 0)
        self.assertRaises(ConnectionRefusedError, socket.create_connection, ("127.0.0.1", self.port))

    def test_a_bad_configuration_is_told_in_one_line_and_resets_who_waits(self) -> None:
        node = self.launch(held=True, seed="no number")
        client = self.connect()
        with open(self.pipe, "w"):
            pass
        self.assertEqual(
            node.communicate(timeout=LONG)[1], "violetsaddle: seed: must be hexadecimal, not 'no number'\n"
        )
        self.assertEqual(node.returncode, 2)
        self.assertRaises(ConnectionResetError, client.recv, 64)

    def test_addresses_that_can_not_be_had(self) -> None:
        with socket.create_server(("127.0.0.1", self.port)):
            node = self.launch()
            said = node.communicate(timeout=LONG)[1]
        self.assertEqual(node.returncode, 1)
        self.assertIn("n0: listen: Couldn't listen on 127.0.0.1", said)
        for listen in ("127.0.0.1", 7, "127.0.0.1:99999"):
            node = self.launch(listen=listen)
            said = node.communicate(timeout=LONG)[1]
            self.assertEqual((node.returncode, said.count("\n")), (2, 1), said)
            self.assertIn("listen: addr is no address", said)


LEAN = """
    import sys
    from violetsaddle.net import lean
    lean.load()
    assert not {"asyncio", "ssl", "http", "urllib.request", "email", "html", "ctypes"} & set(sys.modules)
    # What Twisted does with coroutines.
    from twisted.internet import defer
    async def one(): return 7
    def two():
        yield defer.succeed(None)
        return 8
    found = []
    defer.ensureDeferred(one()).addCallback(found.append)
    defer.inlineCallbacks(two)().addCallback(found.append)
    defer.Deferred.fromCoroutine(one()).addCallback(found.append)
    assert found == [7, 8, 7], found
    # Who wants the real ones later gets them, also by what Twisted holds.
    import asyncio, ctypes, html, http.cookiejar, ssl
    from twisted.python import compat
    assert compat.cookielib.CookieJar is http.cookiejar.CookieJar
    assert compat.escape("<") == html.escape("<") == "&lt;"
    assert ctypes.c_int(5).value == 5
    assert ssl.create_default_context() and http.HTTPStatus.OK == 200
    async def main():
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        defer.Deferred.fromFuture(future).addCallback(found.append)
        future.set_result(9)
        done = defer.Deferred()
        waits = done.asFuture(loop)
        done.callback(10)
        return await waits
    assert asyncio.run(main()) == 10 and found[-1] == 9, found
    from twisted.internet import reactor
"""


class Lean(unittest.TestCase):
    def run_program(self, text: str) -> str:
        done = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", textwrap.dedent(text)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done.stderr

    def test_nothing_unused_is_imported_and_all_of_it_can_be_later(self) -> None:
        self.assertEqual(self.run_program(LEAN), "")

    def test_a_name_that_is_not_foreseen_comes_from_the_real_module(self) -> None:
        self.assertEqual(
            self.run_program("""
            import sys
            from violetsaddle.net import lean
            del lean.LAZY_NAMES["asyncio"]["AbstractEventLoop"], lean.LAZY_NAMES["html"]["escape"]
            lean.load()
            import asyncio, html
            from twisted.internet import defer
            from twisted.python import compat
            assert defer.AbstractEventLoop is asyncio.AbstractEventLoop and compat.escape is html.escape
        """),
            "",
        )

    def test_where_twisted_is_there_nothing_happens(self) -> None:
        self.assertEqual(
            self.run_program("""
            import asyncio
            from twisted.internet import defer
            from violetsaddle.net import lean
            lean.load()
            assert defer.Future is asyncio.Future
        """),
            "",
        )


class Build(unittest.TestCase):
    def test_the_build_leaves_compiled_files_and_never_old_ones(self) -> None:
        build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
        with tempfile.TemporaryDirectory() as name:
            tree = Path(name)
            (tree / ".venv" / "bin").mkdir(parents=True)
            (tree / ".venv" / "bin" / "python").symlink_to(sys.executable)
            for same in ("requirements.txt", ".venv/installed.txt"):
                (tree / same).write_text("same\n")
            for room in ("net", "lab"):
                (tree / "violetsaddle" / room).mkdir(parents=True)
                (tree / "violetsaddle" / room / "one.py").write_text("print(1)\n")
            subprocess.run(["/bin/sh", "-c", build], cwd=tree, check=True)
            made = [path.parent.parent.name for path in tree.rglob("violetsaddle/**/*.pyc")]
            self.assertEqual(made, ["net"])
            file = tree / "violetsaddle" / "net" / "one.py"
            before = file.stat()
            file.write_text("print(2)\n")
            os.utime(file, ns=(before.st_atime_ns, before.st_mtime_ns))
            env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": str(tree)}
            said = subprocess.run(
                [sys.executable, "-c", "import violetsaddle.net.one"],
                env=env,
                cwd=tree,
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            self.assertEqual(said, "2\n")
