"""The program's start: what it leaves out of its imports, and what the build leaves it."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import textwrap
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent

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
        done = subprocess.run([sys.executable, "-W", "ignore", "-c", textwrap.dedent(text)], cwd=ROOT,
                              capture_output=True, text=True, timeout=60)
        return done.stderr

    def test_nothing_unused_is_imported_and_all_of_it_can_be_later(self) -> None:
        self.assertEqual(self.run_program(LEAN), "")

    def test_a_name_that_is_not_foreseen_comes_from_the_real_module(self) -> None:
        self.assertEqual(self.run_program("""
            import sys
            from violetsaddle.net import lean
            del lean.NAMES["asyncio"]["AbstractEventLoop"], lean.NAMES["html"]["escape"]
            lean.load()
            import asyncio, html
            from twisted.internet import defer
            from twisted.python import compat
            assert defer.AbstractEventLoop is asyncio.AbstractEventLoop and compat.escape is html.escape
        """), "")

    def test_where_twisted_is_there_nothing_happens(self) -> None:
        self.assertEqual(self.run_program("""
            import asyncio
            from twisted.internet import defer
            from violetsaddle.net import lean
            lean.load()
            assert defer.Future is asyncio.Future
        """), "")


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
            said = subprocess.run([sys.executable, "-c", "import violetsaddle.net.one"], env=env, cwd=tree,
                                  capture_output=True, text=True, check=True).stdout
            self.assertEqual(said, "2\n")
