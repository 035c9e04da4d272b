"""A client-side model of a program and of the history that its caller saw."""

import json
import threading
from typing import Any

import attrs

from quetzalmill import program_id
from quetzalmill_emulator import answers
from tests import deployment
from tests import harness

CALL_TIMEOUT_S = 15.0
"""The timeout of a call, long enough for the loss and return of homes."""


@attrs.frozen
class Answer:
    """The answer to a call.

    Attributes:
        text: The text received.
        details: The details in the last chunk that had any.
        error: The error; empty if there was none.
        done: Whether the stream ended with ``[DONE]``.
    """

    text: str
    details: dict[str, Any]
    error: dict[str, Any]
    done: bool


class Conversation:
    """One program, whose answers are checked against its complete history.

    The answer of the engine emulator contains a digest of the complete prompt,
    so an answer shows whether the system used the history that the caller saw.
    """

    def __init__(
        self,
        system: deployment.Deployment,
        *,
        entry: int = 0,
        team: str = "keepers",
        **fields: Any,
    ) -> None:
        self._system = system
        self._key = system.keys[team]
        self.entry = entry
        self.messages: list[dict[str, Any]] = []
        self.calls = 0
        reply = self.request("POST", "/v1/programs", fields)
        assert reply.status == 201, reply
        self.program = str(reply.body["program"])

    @property
    def home(self) -> str:
        """Returns the host of the first home, which the program's id names."""
        home = program_id.first_home(self.program)
        assert home is not None
        return home.host

    def request(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> harness.Reply:
        """Sends one request with the team's key."""
        return harness.call(
            self._system.entries[self.entry].http,
            method,
            path,
            body,
            deployment.bearer(self._key, **headers),
        )

    def view(self) -> dict[str, Any]:
        """Returns the system's view of the program."""
        reply = self.request("GET", f"/v1/programs/{self.program}")
        assert reply.status == 200, reply
        view: dict[str, Any] = reply.body
        return view

    def ask(self, text: str, tokens: int = 24) -> Answer:
        """Sends the next call, checks its answer and returns it."""
        answer = self.send(self.calls + 1, text, tokens)
        self.take(text, answer, tokens)
        return answer

    def take(self, text: str, answer: Answer, tokens: int = 24) -> None:
        """Checks the answer to the next call; adds both to the history."""
        prompt = [*self.messages, _user(text)]
        assert answer.done, answer
        assert answer.text == answers.answer_text(prompt, tokens), answer
        self.messages = [
            *prompt,
            {"role": "assistant", "content": answer.text},
        ]
        self.calls += 1

    def send(
        self,
        call: int,
        text: str,
        tokens: int = 24,
        seen: threading.Event | None = None,
    ) -> Answer:
        """Sends a streamed call; sets ``seen`` once some text has arrived."""
        body = {
            "model": "planner",
            "stream": True,
            "max_tokens": tokens,
            "answer_tokens": tokens,
            "messages": [_user(text)],
        }
        headers = deployment.bearer(
            self._key,
            Quetzalmill_Program=self.program,
            Quetzalmill_Call=str(call),
        )
        address = self._system.entries[self.entry].http
        with harness.stream(
            address,
            "POST",
            "/v1/chat/completions",
            body,
            headers,
            CALL_TIMEOUT_S,
        ) as stream:
            if stream.status != 200:
                return Answer("", {}, stream.body(), False)
            return _read(stream, seen)


class BackgroundCall:
    """A call that runs in the background while the test goes on."""

    def __init__(
        self, conversation: Conversation, text: str, tokens: int
    ) -> None:
        self._started = threading.Event()
        self._answer: Answer | None = None
        self._thread = threading.Thread(
            target=self._run, args=(conversation, text, tokens), daemon=True
        )
        self._thread.start()

    def wait_started(self) -> None:
        """Waits for the first text of the answer."""
        assert self._started.wait(CALL_TIMEOUT_S), "no text arrived in time"

    def result(self) -> Answer:
        """Waits for the complete answer."""
        self._thread.join(2 * CALL_TIMEOUT_S)
        assert self._answer is not None, "the call did not end in time"
        return self._answer

    def _run(self, conversation: Conversation, text: str, tokens: int) -> None:
        self._answer = conversation.send(
            conversation.calls + 1, text, tokens, self._started
        )


def _read(stream: harness.EventStream, seen: threading.Event | None) -> Answer:
    text = ""
    details: dict[str, Any] = {}
    for event in stream.events():
        if event.data == "[DONE]":
            return Answer(text, details, {}, True)
        chunk = json.loads(event.data)
        if "code" in chunk:
            return Answer(text, details, chunk, False)
        details = chunk.get("quetzalmill", details)
        for choice in chunk.get("choices", []):
            text += choice["delta"].get("content") or ""
        if text and seen is not None:
            seen.set()
    return Answer(text, details, {}, False)


def _user(text: str) -> dict[str, Any]:
    return {"role": "user", "content": text}
