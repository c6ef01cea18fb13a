"""The experiment on the choice: draws follow their seed, bounds bound, engines run."""

import pytest

from benchmarks.choice_simulation import (
    POLICIES,
    SHOWN_SEEDS,
    UNSEEN_SEEDS,
    EngineKind,
    Job,
    ModelEngine,
    bound_of,
    draw_arrivals,
    draw_deployment,
    play,
)
from sparline.placement import PaceTable

KIND = EngineKind(
    tokens_per_ms=10.0,
    pairs_ms_per_m=0.0,
    step_ms=5.0,
    step_ms_per_slot=0.0,
    chunk_tokens=1_000,
    slots=2,
    memory_tokens=20_000,
    event_tokens=2,
)


def test_half_of_the_draws_is_kept_unseen():
    assert len(SHOWN_SEEDS) == len(UNSEEN_SEEDS)
    assert not set(SHOWN_SEEDS) & set(UNSEEN_SEEDS)


def test_a_draw_follows_its_seed():
    first, again, other = draw_deployment(4), draw_deployment(4), draw_deployment(5)
    assert first == again != other
    assert draw_arrivals(first) == draw_arrivals(again)


class Run:
    """Run jobs at one engine."""

    def __init__(self, speed: float = 1.0) -> None:
        self.engine = ModelEngine(KIND, speed)
        self.now_ms = 0.0
        self.events: dict[str, list[float]] = {}

    def add(self, name: str, tokens: int, output: int, start: int = 0, shared: int = 0) -> None:
        seen = self.events.setdefault(name, [])
        job = Job(
            start=("kind", start),
            shared_tokens=shared,
            tokens=tokens,
            output_tokens=output,
            priority=1,
            on_event=lambda: seen.append(self.now_ms),
            on_end=lambda: None,
        )
        self.engine.add(job)

    def to_end(self) -> None:
        while not self.engine.idle:
            took_ms, end = self.engine.step()
            self.now_ms += took_ms
            end()


RUNS = [
    # speed, tokens, output, times of the events: reading in pieces of 1,000, then steps of 5 ms
    ("a short prompt", 1.0, 100, 4, [20.0, 30.0]),
    ("a long prompt in pieces", 1.0, 2_500, 2, [265.0 + 5.0]),
    ("a quick engine", 2.0, 100, 4, [10.0, 15.0]),
    ("the last event is short", 1.0, 100, 3, [20.0, 25.0]),
]


@pytest.mark.parametrize("row", RUNS, ids=[row[0] for row in RUNS])
def test_an_engine_reads_then_steps(row):
    _, speed, tokens, output, events = row
    run = Run(speed)
    run.add("one", tokens, output)
    run.to_end()
    assert run.events["one"] == pytest.approx(events)


def test_a_reading_delays_running_streams_and_a_kept_start_is_not_read_again():
    run = Run()
    run.add("first", 1_000, 200, start=1, shared=900)
    run.to_end()
    alone_ms = run.now_ms
    run.add("again", 1_000, 200, start=1, shared=900)
    run.to_end()
    assert run.engine.reread_tokens == 900
    assert run.now_ms - alone_ms < alone_ms


def test_a_full_engine_lets_the_next_wait():
    run = Run()
    for name in ("a", "b", "c"):
        run.add(name, 100, 10)
    run.to_end()
    assert run.events["c"][0] > run.events["a"][-1]


def test_no_policy_earns_more_than_the_bound():
    draw = draw_deployment(2)
    arrivals = draw_arrivals(draw)[:150]
    bound = bound_of(draw, arrivals) * sum(one.credit for one in arrivals)
    for policy in POLICIES.values():
        world = play(draw, arrivals, policy)
        earned = sum(view.credit() for view in world.views)
        assert 0 < earned <= bound * 1.000_001


def test_the_ends_of_streams_are_told(monkeypatch):
    told: list[float] = []
    monkeypatch.setattr(PaceTable, "note_answer", lambda _self, _service, took: told.append(took))
    draw = draw_deployment(2)
    world = play(draw, draw_arrivals(draw)[:150], POLICIES["ours"])
    near = [view for view in world.views if view.whole]
    assert 0 < len(told) <= len(near)
    assert min(told) > 0
