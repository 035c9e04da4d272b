"""Draws the programs of a run: who starts what, and when.

Everything follows from the seed, so each policy meets the same programs at the
same moments. The module performs no I/O.
"""

import enum
import random

import attrs

MAX_PROGRAMS = 5_000
"""Programs that one run may start."""

TEAM_SIZES = (4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
"""Relative sizes of the eight teams."""

FLOODING_TEAM = 2
"""The team that sends several times its rate."""

FLOOD_FACTOR = 4.0
"""How many times its rate the flooding team sends."""

RATE_HEADROOM = 2.0
"""A team's rate, in parts of the calls that it is expected to make."""

FLOODED_HEADROOM = 1.0
"""The same for the flooding team, whose excess is to be refused."""

BURST_S = 10.0
"""A team's burst, in seconds of its rate."""

MIN_BURST = 20.0
"""The smallest burst, in requests."""


class Shape(enum.Enum):
    """Whose programs are drawn."""

    COOPERATIVE = "cooperative"
    RENTAL = "rental"


@attrs.frozen
class ModelCall:
    """A model call with new words for the history and a longest answer."""

    new_tokens: int
    answer_tokens: int


@attrs.frozen
class ServiceCall:
    """A non-idempotent call of a plain service."""


@attrs.frozen
class Pause:
    """A tool that works outside of the system."""

    pause_ms: float


@attrs.frozen
class SubProgram:
    """A sub-agent that the program waits for."""

    steps: tuple["Step", ...]


Step = ModelCall | ServiceCall | Pause | SubProgram


@attrs.frozen(kw_only=True)
class Program:
    """One program of a run.

    Attributes:
        team: Its team's name.
        kind: What it is, such as ``keeper``.
        start_ms: When it starts, from the start of the run.
        steps: What it does, in order.
        deadline_ms: How long its caller waits for each call, None for long.
    """

    team: str
    kind: str
    start_ms: float
    steps: tuple[Step, ...]
    deadline_ms: float | None


@attrs.frozen(kw_only=True)
class Team:
    """A team of a run.

    Attributes:
        name: Its name.
        rate_per_s: Its rate.
        burst: Its burst.
        floods: Whether it sends several times its rate.
    """

    name: str
    rate_per_s: float
    burst: float
    floods: bool


@attrs.frozen(kw_only=True)
class Workload:
    """The teams and programs of a run."""

    teams: tuple[Team, ...]
    programs: tuple[Program, ...]


def draw(
    shape: Shape,
    *,
    seed: int,
    programs_per_s: float,
    duration_s: float,
    flood: bool,
) -> Workload:
    """Draws a run.

    Args:
        shape: Whose programs they are.
        seed: The seed.
        programs_per_s: Programs of all teams within their rates.
        duration_s: How long programs are started.
        flood: Whether one team sends ``FLOOD_FACTOR`` times its rate.
    """
    calls = mean_calls(shape)
    total = sum(TEAM_SIZES)
    teams: list[Team] = []
    programs: list[Program] = []
    for index, size in enumerate(TEAM_SIZES):
        expected_per_s = programs_per_s * size / total
        floods = flood and index == FLOODING_TEAM
        headroom = FLOODED_HEADROOM if floods else RATE_HEADROOM
        rate_per_s = expected_per_s * calls * headroom
        name = f"team-{index}"
        teams.append(
            Team(
                name=name,
                rate_per_s=round(rate_per_s, 3),
                burst=round(max(MIN_BURST, BURST_S * rate_per_s), 1),
                floods=floods,
            )
        )
        chance = random.Random(f"{seed}/{shape.value}/{index}")
        sent_per_s = expected_per_s * (FLOOD_FACTOR if floods else 1.0)
        programs += _arrivals(shape, name, chance, sent_per_s, duration_s)
    programs.sort(key=lambda program: program.start_ms)
    return Workload(teams=tuple(teams), programs=tuple(programs[:MAX_PROGRAMS]))


def mean_calls(shape: Shape) -> float:
    """Returns the mean number of calls of a program."""
    chance = random.Random(0)
    drawn = [_program(shape, "", chance, 0.0) for _ in range(500)]
    return sum(calls_of(program.steps) for program in drawn) / len(drawn)


def calls_of(steps: tuple[Step, ...]) -> int:
    """Returns how many calls steps make, sub-programs included."""
    count = 0
    for step in steps:
        match step:
            case ModelCall() | ServiceCall():
                count += 1
            case SubProgram(steps=inner):
                count += calls_of(inner)
            case Pause():
                pass
    return count


def _arrivals(
    shape: Shape,
    team: str,
    chance: random.Random,
    per_s: float,
    duration_s: float,
) -> list[Program]:
    programs: list[Program] = []
    at_s = chance.expovariate(per_s)
    while at_s < duration_s and len(programs) < MAX_PROGRAMS:
        programs.append(_program(shape, team, chance, at_s * 1000.0))
        at_s += chance.expovariate(per_s)
    return programs


def _program(
    shape: Shape, team: str, chance: random.Random, start_ms: float
) -> Program:
    drawn = chance.random()
    match shape:
        case Shape.COOPERATIVE:
            kind = "coordinator" if drawn < 0.4 else "keeper"
        case Shape.RENTAL:
            kind = "quote" if drawn < 0.3 else "crew"
            kind = "planner" if drawn > 0.5 else kind
    return Program(
        team=team,
        kind=kind,
        start_ms=start_ms,
        steps=_steps(kind, chance),
        deadline_ms=_DEADLINES_MS.get(kind),
    )


_DEADLINES_MS = {"keeper": 6_000.0, "crew": 20_000.0}


def _steps(kind: str, chance: random.Random) -> tuple[Step, ...]:
    match kind:
        case "coordinator":
            return _session(chance, chance.randint(5, 9), 3_000, 0.5)
        case "planner":
            return _session(chance, chance.randint(4, 7), 2_400, 0.3)
        case "crew":
            return _session(chance, 3, 1_500, 0.6)
        case "quote":
            return _session(chance, chance.randint(2, 3), 1_000, 0.0)
        case _:
            return tuple(
                ModelCall(chance.randint(60, 160), chance.randint(10, 24))
                for _ in range(chance.randint(1, 2))
            )


def _session(
    chance: random.Random, turns: int, first_tokens: int, sub_agents: float
) -> tuple[Step, ...]:
    """Returns dependent calls with pauses, sub-agents and one booking."""
    steps: list[Step] = []
    booked_after = chance.randrange(turns)
    for turn in range(turns):
        new_tokens = chance.randint(80, 250)
        if turn == 0:
            new_tokens = int(first_tokens * chance.uniform(0.7, 1.3))
        steps.append(ModelCall(new_tokens, chance.randint(20, 60)))
        steps.append(Pause(chance.uniform(20.0, 150.0)))
        if turn == 1 and chance.random() < sub_agents:
            steps.append(_sub_agent(chance))
        if turn == booked_after:
            steps.append(ServiceCall())
    return tuple(steps)


def _sub_agent(chance: random.Random) -> SubProgram:
    return SubProgram(
        (
            ModelCall(chance.randint(300, 700), chance.randint(20, 40)),
            Pause(chance.uniform(20.0, 100.0)),
            ModelCall(chance.randint(60, 150), chance.randint(20, 40)),
        )
    )
