"""Runs an example program of each deployment and shows what happened.

It takes the settings under ``examples``, moves them to free loopback ports,
starts emulators of the outside systems, entries and sidecars, publishes the
objects with the operators' own command, and ends everything it started.
"""

import json
import pathlib
import re
import subprocess
import sys
import time
import tomllib
from typing import Any
import urllib.request

import attrs

from quetzalmill_load import processes

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"

_ADDRESS = re.compile(r"127\.0\.0\.1:\d+")
_TIMEOUT_S = 30.0


@attrs.frozen(kw_only=True)
class Step:
    """One call of an example program.

    Attributes:
        says: What is shown of it.
        route: The plain service's route and path; empty for a model call.
        content: The message to the model, or the service's JSON body.
    """

    says: str
    content: Any
    route: str = ""


@attrs.frozen(kw_only=True)
class Story:
    """The example program of one deployment.

    Attributes:
        name: How the deployment's example files start.
        title: What is shown first.
        team: The team that runs it.
        model: The model that it asks.
        steps: Its calls in order.
    """

    name: str
    title: str
    team: str
    model: str
    steps: list[Step]


STORIES = [
    Story(
        name="cooperative",
        title="Cooperativa Algas del Golfo: a rack keeper before a storm",
        team="rack-keepers-south",
        model="agent",
        steps=[
            Step(says="asks", content="When do we turn the harvest today?"),
            Step(says="asks", content="And when must it be covered?"),
            Step(
                says="records, once",
                route="records/harvest",
                content={"reference": "rack-7", "cover": "18:40"},
            ),
        ],
    ),
    Story(
        name="kovacs",
        title="Kovács és Társa: a wedding's sound system",
        team="weddings",
        model="agent",
        steps=[
            Step(says="asks", content="A quote for 120 guests in Pécs?"),
            Step(says="asks", content="Add two wireless microphones."),
            Step(
                says="books, once",
                route="booking/bookings",
                content={"reference": "wedding-pecs", "item": "PA stack"},
            ),
        ],
    ),
]


class Demo:
    """One deployment while its example program runs."""

    def __init__(self, story: Story, group: processes.Group) -> None:
        self._story = story
        self._group = group
        self._ports: dict[str, str] = {}
        self._operator = ""
        self._http = ""

    def run(self) -> None:
        """Starts the deployment, runs the program and shows the outcome."""
        print(f"\n== {self._story.title} ==")
        fleet = self._file("fleet")
        self._start_outside_systems(tomllib.loads(fleet.read_text()))
        self._start_entry()
        hosts = {
            spec["host"]
            for spec in tomllib.loads(fleet.read_text())["endpoint"].values()
        }
        for host in sorted(hosts):
            self._start_sidecar(host)
        revision = self._publish(fleet)
        key = self._issue_key()
        self._quetzalmill("config", "wait", str(revision))
        self._run_program(key)
        self._show_state()

    def _start_outside_systems(self, fleet: dict[str, Any]) -> None:
        log = self._moved(_setting(self._file("entry"), "log_address"))
        self._emulate("log", log)
        for spec in fleet["endpoint"].values():
            self._emulate(spec.get("kind", "engine"), spec["address"])

    def _emulate(self, kind: str, address: str) -> None:
        self._group.emulator(kind, address=address)

    def _start_entry(self) -> None:
        path = self._file("entry")
        self._http = _setting(path, "http_address")
        self._operator = _setting(path, "operator_address")
        process = self._group.start("entry", "quetzalmill", "entry", str(path))
        process.wait_ready(self._http)
        print(f"entry     serves callers at http://{self._http}")

    def _start_sidecar(self, host: str) -> None:
        text = self._file("sidecar").read_text()
        text = re.sub(r'(?m)^host = ".*"', f'host = "{host}"', text)
        for name in ("http_address", "control_address"):
            address = processes.free_address()
            text = re.sub(rf'(?m)^{name} = ".*"', f'{name} = "{address}"', text)
        path = self._group.write(f"{host}.toml", text)
        process = self._group.start(host, "quetzalmill", "sidecar", str(path))
        process.wait_ready(_setting(path, "http_address"))
        print(f"sidecar   runs beside the endpoints of {host}")

    def _publish(self, fleet: pathlib.Path) -> int:
        answer = self._quetzalmill("config", "publish", str(fleet), "--json")
        revision = int(json.loads(answer)["revision"])
        print(f"operator  published {fleet.name}: accepted at {revision}")
        return revision

    def _issue_key(self) -> str:
        answer = self._quetzalmill("key", "issue", self._story.team, "--json")
        print(f"operator  issued a key to team {self._story.team}")
        return str(json.loads(answer)["key"])

    def _run_program(self, key: str) -> None:
        started = self._post("/v1/programs", {"budget": {"calls": 10}}, key)
        program = started["program"]
        print(f"caller    started program {program}")
        for number, step in enumerate(self._story.steps, 1):
            begun_s = time.monotonic()
            answer = self._call(program, number, step, key)
            took_ms = (time.monotonic() - begun_s) * 1000.0
            print(f"call {number}    {step.says}: {step.content}")
            print(f"          -> {answer}  ({took_ms:.0f} ms)")

    def _call(self, program: str, number: int, step: Step, key: str) -> str:
        headers = {
            "Quetzalmill-Program": program,
            "Quetzalmill-Call": str(number),
        }
        if step.route:
            path = f"/v1/services/{step.route}"
            return json.dumps(self._post(path, step.content, key, headers))
        body = {
            "model": self._story.model,
            "messages": [{"role": "user", "content": step.content}],
            "max_tokens": 24,
        }
        answer = self._post("/v1/chat/completions", body, key, headers)
        content = str(answer["choices"][0]["message"]["content"])
        return content[:90] + "..."

    def _show_state(self) -> None:
        state = json.loads(self._quetzalmill("state", self._operator))
        print(
            f"entry     has configuration {state['applied_offset']}, hears "
            f"{len(state['heard'])} sidecars, holds its shares: "
            f"{state['may_mint']}"
        )

    def _post(
        self,
        path: str,
        body: Any,
        key: str,
        headers: dict[str, str] | None = None,
    ) -> Any:
        request = urllib.request.Request(
            f"http://{self._http}{path}",
            data=json.dumps(body).encode(),
            headers={
                "Authorization": f"Bearer {key}",
                "Content-Type": "application/json",
                **(headers or {}),
            },
        )
        with urllib.request.urlopen(request, timeout=_TIMEOUT_S) as response:
            return json.load(response)

    def _quetzalmill(self, *words: str) -> str:
        command = [sys.executable, "-m", "quetzalmill", *words]
        if words[0] != "state":
            command += ["--operator", self._operator]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=_TIMEOUT_S
        )
        if done.returncode != 0:
            raise processes.LoadError(f"{words}: {done.stdout}{done.stderr}")
        return done.stdout

    def _file(self, part: str) -> pathlib.Path:
        """Returns an example file with its addresses moved to free ports."""
        name = f"{self._story.name}-{part}.toml"
        path = self._group.directory / name
        if not path.exists():
            text = (EXAMPLES / name).read_text()
            path.write_text(_ADDRESS.sub(lambda m: self._moved(m[0]), text))
        return path

    def _moved(self, address: str) -> str:
        if address in self._ports.values():
            return address
        return self._ports.setdefault(address, processes.free_address())


def main() -> None:
    """Runs the example program of each deployment."""
    started_s = time.monotonic()
    for story in STORIES:
        with processes.Group() as group:
            Demo(story, group).run()
    print(f"\nEverything has ended; {time.monotonic() - started_s:.0f} s.")


def _setting(path: pathlib.Path, name: str) -> str:
    return str(tomllib.loads(path.read_text())[name])


if __name__ == "__main__":
    main()
