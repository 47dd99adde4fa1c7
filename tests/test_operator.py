"""The operator file, the log it asks for, and the command line."""

from __future__ import annotations

import dataclasses
import io
import json
import os
import re
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Any, cast
from unittest import mock

import msgspec
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from violetsaddle import __main__ as start
from violetsaddle import log
from violetsaddle.cli.main import COMMANDS, main
from violetsaddle.net.limits import Limits
from violetsaddle.net.node import Node
from violetsaddle.operator import Limits as Section
from violetsaddle.operator import Log, Operator, OperatorError, load, parse

EXAMPLE = Path(__file__).parent.parent / "deploy" / "operator.toml"
LIMITS = Limits(edge_connections=10, server_connections=10, server_idle=4_500_000, dial=200_000)
SECTIONS: dict[str, Any] = {field.name: field.type for field in msgspec.structs.fields(Operator)}
CONFIG: dict[str, Any] = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "settings": {"requestClasses": [{"name": "a", "target": 100_000, "deadline": 1_000_000}]},
}


def written(folder: str, name: str, content: str | bytes) -> str:
    path = Path(folder, name)
    path.write_bytes(content if isinstance(content, bytes) else content.encode())
    return str(path)


class Files(unittest.TestCase):
    def refused(self, text: str, *wanted: str) -> None:
        with self.assertRaises(OperatorError) as caught:
            parse(text, "op.toml")
        line = str(caught.exception)
        self.assertTrue(line.isprintable(), line)
        for want in ("op.toml: ", *wanted):
            self.assertIn(want, line)

    def test_each_fault_is_one_line_with_file_key_and_expectation(self) -> None:
        self.refused("[limits]\nedge_idle = 3", "limits.edge_idle: unknown key, expected edge_idle_ms")
        self.refused("[logs]", "logs: unknown key, expected log")
        self.refused('[limits]\n"a\\nb" = 1', "limits.a\\nb: unknown key")
        self.refused(
            '[limits]\nfields = "x"', 'limits.fields: expected a whole number from 16 to 1000, not "x"'
        )
        self.refused("[limits]\nfields = true", "limits.fields", "not true")
        self.refused("[limits]\nwatch_pause_ms = 151", "limits.watch_pause_ms", "from 1 to 150, not 151")
        self.refused('[log]\nform = "xml"', 'log.form: expected one of "console", "json", "plain", not "xml"')
        self.refused("log = 3", "log: expected a table, not 3")
        self.refused("[limits]\nfields = 9" + "9" * 50, "limits.fields: expected a whole number")
        self.refused("[limits", "expected TOML")
        self.refused("x = " + "[" * 9999, "expected TOML: nested too deeply")
        self.refused("x = " + "9" * 9999, "expected TOML")

    def test_times_of_the_end_stand_in_order(self) -> None:
        self.refused(
            "[limits]\nkeep_idle_ms = 1999",
            "limits.keep_idle_ms: expected at least keep_asking_ms (2000), not 1999",
        )
        self.refused("[limits]\nkeep_idle_ms = 3401", "limits.last_word_ms")
        self.refused("[limits]\nedge_first_ms = 299", "limits.edge_first_ms")
        parse("[limits]\nkeep_idle_ms = 3400", "op.toml")

    def test_restarts(self) -> None:
        self.refused("[restart]\nsnapshot_every_s = 0", "a number from 0.1 to 3600, not 0")
        self.refused("[restart]\nwarm_from_peers = 1", "restart.warm_from_peers: expected true or false")
        self.assertFalse(Operator().restart.keeps)
        for text in ('snapshot = "x"', "warm_from_peers = true"):
            self.assertTrue(parse("[restart]\n" + text, "op.toml").restart.keeps)

    def test_replicas_of_the_configuration(self) -> None:
        self.assertFalse(Operator().configuration.on)
        told = parse('[configuration]\nreplicas = ["a:1", "b.c:65535"]', "op.toml").configuration
        self.assertEqual((told.on, told.addresses), (True, [("a", 1), ("b.c", 65535)]))
        for bad in ('"a"', '"a:0"', '":1"', '"a:65536"', '"a:x"', '"\u00e9:1"', '"a:1", "a:1"'):
            self.refused(f"[configuration]\nreplicas = [{bad}]", "configuration.replicas: expected ")
        many = ", ".join(f'"a:{n}"' for n in range(1, 11))
        self.refused(f"[configuration]\nreplicas = [{many}]", "configuration.replicas: expected at most 9")
        self.refused("[configuration]\nreplicas = [1]", "configuration.replicas: expected a list of texts")
        self.refused("[configuration]\nwatch_wait_ms = 99", "from 100 to 60000, not 99")

    def test_what_is_imported_for_the_configuration(self) -> None:
        """Neither what a snapshot of the memory needs, nor anything of the replicas' own."""
        code = (
            "import sys\nfrom violetsaddle.net import lean\nlean.load()\n"
            "import violetsaddle.__main__ as main\n"
            "print(main.configuring(main.operated('n')[2]) is not None)\n"
            "print([m for m in sys.modules if m in ('hashlib', 'ssl', 'sqlite3')"
            " or m.startswith(('violetsaddle.decide.memory', 'violetsaddle.control'))])"
        )
        with tempfile.TemporaryDirectory() as folder:
            path = written(folder, "on.toml", '[configuration]\nreplicas = ["127.0.0.1:9"]')
            out = subprocess.run(
                [sys.executable, "-c", code],
                capture_output=True,
                text=True,
                check=True,
                env={**os.environ, "RELAY_OPERATOR": path},
            ).stdout
        self.assertEqual(out, "True\n[]\n")

    def test_files_that_are_none(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for path, wanted in (
                (folder, "directory"),
                (folder + "/none", "No such file"),
                (folder + "/\0", "null"),
                (written(folder, "a", b"\xff"), "UTF-8"),
                (written(folder, "b", b"#" * (1 << 20) + b"#"), "at most 1048576 bytes"),
            ):
                with self.assertRaisesRegex(OperatorError, wanted) as caught:
                    load(path)
                self.assertTrue(str(caught.exception).isprintable())
            self.assertEqual(load(written(folder, "c", "")), Operator())

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.data())
    def test_no_document_raises_anything_else(self, data: st.DataObject) -> None:
        value: Any = st.one_of(
            st.integers(),
            st.booleans(),
            st.just("[]"),
            st.just("{}"),
            st.dates(),
            st.floats(),
            st.text(st.characters(exclude_categories=["Cs", "Cc"])).map(json.dumps),
            st.just("[{a = 1}]"),
        )
        line = st.tuples(
            st.sampled_from([k for s in SECTIONS.values() for k in s.__struct_fields__])
            | st.text(st.characters(exclude_categories=["Cs", "Cc"])).map(json.dumps),
            value,
        )
        lines = data.draw(st.lists(line, max_size=3))
        text = data.draw(st.sampled_from(["", "[log]\n", "[limits]\n", "[[log]]\n", "[limits.x]\n"]))
        text += "\n".join(
            f"{key} = {str(v).lower() if isinstance(v, bool | float) else v}" for key, v in lines
        )
        try:
            self.assertIsInstance(parse(text, "op.toml"), Operator)
        except OperatorError as error:
            self.assertTrue(str(error).isprintable())

    def test_the_limits_a_node_gets(self) -> None:
        self.assertEqual(Operator().limits_for(LIMITS), LIMITS)
        told = parse(
            "[limits]\nedge_idle_ms = 7\nbody_bytes = 2048\nbacklog = 5\ndial_ms = 100\n"
            "server_idle_ms = 60000",
            "op.toml",
        )
        self.assertEqual(
            told.limits_for(LIMITS),
            dataclasses.replace(LIMITS, edge_idle=7_000, body=2048, backlog=5, dial=100_000),
        )  # server_idle: never longer
        known = {field.name for field in dataclasses.fields(Limits)}
        for key in Section.__struct_fields__:  # none that would be lost on the way
            self.assertIn(re.sub("_(ms|bytes)$", "", key), known)

    def test_the_example_holds_every_key_with_its_default(self) -> None:
        text = EXAMPLE.read_text()
        self.assertEqual(parse(text, "example"), Operator())
        every = re.sub(r"^#(?=\w+ = )", "", text, flags=re.MULTILINE)
        self.assertEqual(parse(every, "example"), Operator())
        self.assertEqual(
            {name: list(table) for name, table in tomllib.loads(every).items()},
            {name: list(kind.__struct_fields__) for name, kind in SECTIONS.items()},
        )


class Logs(unittest.TestCase):
    def setUp(self) -> None:
        self.now, self.stream = 0, io.StringIO()

    def make(self, **told: Any) -> log.Log:
        return log.make(Log(**told), "n1", self.stream, clock=lambda: self.now, wall=lambda: 1.5)

    def lines(self) -> list[str]:
        return self.stream.getvalue().splitlines()

    def test_plain_lines_are_those_of_a_node_without_a_file(self) -> None:
        from violetsaddle.net.counters import Counters

        plain = self.make()
        plain.event("scheduling ended", "error", flow="j")
        with mock.patch("sys.stderr", io.StringIO()) as usual:
            for sink in (plain, Counters("n1")):
                sink.say("listening on 1:2")
                sink.fault("the module failed", KeyError("x"))
        self.assertEqual(self.stream.getvalue(), usual.getvalue())

    def test_json_lines(self) -> None:
        made = self.make(form="json", level="debug")
        made.say("a\nb")
        made.event(
            "scheduling ended",
            "debug",
            flow="j",
            scheduling=1,
            server="s\ud800",
            odd=float("nan"),
            large=1 << 70,
            data=b"x",
        )
        made.fault("the module failed", KeyError("x"))
        first, second, third = map(json.loads, self.lines())
        self.assertEqual(
            first,
            {"timestamp": "1970-01-01T00:00:01.500000Z", "level": "info", "event": "a\nb", "node": "n1"},
        )
        self.assertEqual(
            {**second, **dict.fromkeys(("timestamp", "node", "event"))},
            {
                **dict.fromkeys(("timestamp", "node", "event")),
                "level": "debug",
                "flow": "j",
                "scheduling": 1,
                "server": "s\\ud800",
                "odd": "nan",
                "large": str(1 << 70),
                "data": "b'x'",
            },
        )
        self.assertEqual(third["level"], "error")
        self.assertIn("KeyError: 'x'", third["exception"])

    def test_console_lines_and_levels(self) -> None:
        made = self.make(form="console", level="warning")
        made.say("no")
        made.event("watch broken", "info")
        made.event("server struck\nn1: stopping", "warning", server="s 1\n")
        self.assertEqual(
            self.lines(),
            [
                "1970-01-01T00:00:01.500000Z [warning  ] "
                "server struck\\nn1: stopping node='n1' server='s 1\\n'"
            ],
        )

    def test_repeats_are_summed_up_when_the_window_ends(self) -> None:
        rung: list[tuple[int, Any]] = []
        made = self.make(repeat_limit=2, repeat_window_s=10)
        made.timer = lambda wait, what: rung.append((wait, what))
        self.now = 1_000_000
        for n in range(5):
            made.say(f"discovery gave a bad list: {n}")
        made.say("stopping")
        self.assertEqual(len(self.lines()), 3)
        self.assertEqual([wait for wait, _ in rung], [10_000_000])
        self.now = 11_000_000
        rung[0][1]()
        self.assertEqual(self.lines()[3:], ["n1: left out 3 more of 'discovery gave a bad list' within 10 s"])
        made.say("discovery gave a bad list: 5")  # another window
        rung[0][1]()  # an old ring ends it no sooner
        made.say("discovery gave a bad list: 6")
        made.say("discovery gave a bad list: 7")
        self.assertEqual(len(self.lines()), 6)
        self.now = 21_000_000
        made.say("stopping")  # without a ring, the next line ends it
        self.assertIn("left out 1 more", self.lines()[6])
        for n in range(log.MOST_EVENTS + 50):  # so many different ones share a count in the end
            made.say(f"text {n}")
        made.flush()
        self.assertRegex(self.lines()[-1], "left out [45]. more of 'others'")

    def test_a_log_that_has_gone_away(self) -> None:
        class Full(io.StringIO):
            def write(self, text: str) -> int:
                raise OSError(28, "full")

        closed = io.StringIO()
        closed.close()
        for form in ("plain", "console", "json"):
            for stream in (Full(), closed, None):
                made = log.make(Log(form=form, repeat_limit=1), "n1", stream)
                made.say("a")
                made.say("a")
                made.event("b", "error")
                made.fault("c", None)
                made.flush()

    def test_a_missing_package_is_named(self) -> None:
        with mock.patch.dict(sys.modules, {"structlog": None}):
            with self.assertRaisesRegex(ValueError, 'log.form: expected "plain".*structlog'):
                self.make(form="json")


class CommandLine(unittest.TestCase):
    def run_cli(self, *args: str) -> tuple[int, str, str]:
        result = CliRunner().invoke(main, args, prog_name="violetsaddle")
        return result.exit_code, result.stdout, result.stderr

    def test_check(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            good = written(folder, "good.toml", '[log]\nform = "json"')
            config = written(folder, "config", json.dumps(CONFIG))
            with mock.patch.dict("os.environ", {"RELAY_LISTEN": "nowhere"}):  # must not count
                self.assertEqual(self.run_cli("check", good, config), (0, f"{good}: ok\n{config}: ok\n", ""))
            listed = {"version": 1, "full": True, "servers": [{"id": "s", "addr": "x"}]}
            for name, content, wanted in (
                ("a.toml", "[log]\nlevel = 1", "log.level: expected one of"),
                ("a.json", json.dumps({**CONFIG, "listen": 3}), "listen: "),
                ("b.json", "{", "line 1"),
                ("c.json", json.dumps({**CONFIG, "known": listed}), "known: addr is no address: 'x'"),
                ("d.json", json.dumps({**CONFIG, "settings": {"siblings": "x"}}), "siblings"),
                ("e\n.toml", "x", "e\\n.toml: expected TOML"),
            ):
                status, out, err = self.run_cli("check", written(folder, name, content), good)
                self.assertEqual((status, out), (2, f"{good}: ok\n"))
                self.assertIn(wanted, err)
                self.assertEqual(err.count("\n"), 1)
            self.assertEqual(self.run_cli("check", folder + "/none")[0], 2)

    def test_help_imports_neither_a_node_nor_the_lab(self) -> None:
        code = (
            "import sys\nfrom violetsaddle.cli.main import main\n"
            "main(['--help'], standalone_mode=False)\n"
            "print([m for m in sys.modules if m.partition('.')[0] in "
            "('twisted', 'numpy', 'matplotlib', 'msgspec', 'structlog', 'rich')"
            " or m.startswith('violetsaddle.cli.') and m != 'violetsaddle.cli.main'])"
        )
        out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
        *shown, modules = out.splitlines()
        self.assertEqual(modules, "[]")
        for name, short in COMMANDS.items():
            self.assertRegex("\n".join(shown), rf"\n  {name} +{re.escape(short)}")

    def test_a_node_imports_nothing_for_what_is_off(self) -> None:
        code = (
            "import sys, violetsaddle.__main__\n{}\n"
            "print([m for m in sys.modules if m.partition('.')[0] in ({!r}, 'structlog', 'click')"
            " or m in ('violetsaddle.net.warmth', 'violetsaddle.net.upgrade', 'violetsaddle.net.disk', {!r})"
            " or m.startswith(('violetsaddle.decide.', 'violetsaddle.store', 'violetsaddle.control',"
            " 'violetsaddle.net.configuration'))"
            " and m != 'violetsaddle.decide.proof'])"
        )
        with tempfile.TemporaryDirectory() as folder:
            off = written(folder, "off.toml", "")
            for values, wanted in (
                (("", "msgspec", "violetsaddle.operator"), "[]\n"),
                (
                    (
                        "main = violetsaddle.__main__; told = main.operated('n')[2]; "
                        "print(main.keeping(told), "
                        "main.upgrading(told, None, None), main.configuring(told))",
                        "",
                        "",
                    ),
                    "None None None\n[]\n",
                ),
            ):
                out = subprocess.run(
                    [sys.executable, "-c", code.format(*values)],
                    capture_output=True,
                    text=True,
                    check=True,
                    env={**os.environ, "RELAY_OPERATOR": off},
                ).stdout
                self.assertEqual(out, wanted)

    def test_subcommands_that_are_not_installed(self) -> None:
        with mock.patch.dict(COMMANDS, {"absent": "Not here."}):
            self.assertEqual(
                self.run_cli("absent"), (2, "", "violetsaddle: absent: this installation does not have it\n")
            )
            self.assertIn("Not here.", self.run_cli("--help")[1])
        with mock.patch("importlib.import_module", side_effect=ModuleNotFoundError(name="numpy")):
            status, _, err = self.run_cli("lab")
            self.assertEqual((status, err.count("\n")), (2, 1))
            self.assertIn("numpy", err)

    def test_serve_starts_what_the_module_starts(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = written(folder, "c.json", json.dumps({**CONFIG, "discovery": 3}))
            started = [
                subprocess.run(
                    [sys.executable, "-m", *args],
                    capture_output=True,
                    text=True,
                    timeout=20,
                    env={"RELAY_CONFIG": path if len(args) == 1 else "other"},
                )
                for args in (["violetsaddle"], ["violetsaddle.cli", "serve", "--config", path])
            ]
        self.assertEqual(
            [(p.returncode, p.stdout, p.stderr) for p in started],
            [(2, "", "violetsaddle: discovery: addr is no address: 3\n")] * 2,
        )

    def test_the_program_takes_an_operator_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            config = written(folder, "c.json", json.dumps({**CONFIG, "name": "n7"}))
            bad = written(folder, "bad.toml", "[log]\nlevel = 1")
            run = subprocess.run(
                [sys.executable, "-m", "violetsaddle.cli", "serve", "--config", config, "--operator", bad],
                capture_output=True,
                text=True,
                timeout=20,
            )
            self.assertEqual((run.returncode, run.stdout, run.stderr.count("\n")), (2, "", 1))
            self.assertIn(f"violetsaddle: {bad}: log.level: expected one of", run.stderr)
            good = written(folder, "good.toml", '[log]\nform = "json"')
            with subprocess.Popen(
                [sys.executable, "-m", "violetsaddle"],
                stderr=subprocess.PIPE,
                env={"RELAY_CONFIG": config, "RELAY_OPERATOR": good},
            ) as node:
                assert node.stderr is not None
                line = json.loads(node.stderr.readline())
                node.kill()
        self.assertEqual((line["node"], line["level"]), ("n7", "info"))
        self.assertRegex(line["event"], "^listening on 127")

    def test_a_node_uses_the_limits_and_the_log_of_its_file(self) -> None:
        from twisted.internet.testing import MemoryReactorClock

        with tempfile.TemporaryDirectory() as folder:
            path = written(folder, "c.json", json.dumps(CONFIG))
            with mock.patch.dict("os.environ", {"RELAY_CONFIG": path}):
                config = start.read()
        stream, reactor = io.StringIO(), cast(Any, MemoryReactorClock)()
        told = parse("[limits]\nlinger_ms = 7\n[log]\nrepeat_limit = 1\nrepeat_window_s = 1", "op.toml")
        node = Node(reactor, config, start.reread, told.limits_for, log.make(told.log, "n1", stream))
        self.assertEqual(node.limits.linger, 7_000)
        waiting = len(node.deadlines)
        node.counters.say("a")
        node.counters.say("a")
        self.assertEqual(stream.getvalue(), "n1: a\n")
        self.assertEqual(len(node.deadlines), waiting + 1)  # the window's end


if __name__ == "__main__":
    unittest.main()
