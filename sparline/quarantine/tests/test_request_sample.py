"""Samples of requests that are merged between instances."""

from sparline._ids import RequestId
from sparline.quarantine import RequestSample, sample_of


def sample(first: int, last: int) -> RequestSample:
    merged = RequestSample()
    for number in range(first, last):
        merged = merged.merged(sample_of(RequestId(f"r{number}")))
    return merged


def test_small_sets_are_counted_exactly():
    assert [sample(0, size).count() for size in (0, 1, 7)] == [0.0, 1.0, 7.0]


def test_requests_that_two_instances_have_seen_count_once():
    assert sample(0, 300).merged(sample(200, 400)) == sample(0, 400)
    assert sample(0, 300).merged(sample(0, 300)) == sample(0, 300)


def test_estimates_distinguish_a_few_requests_from_many():
    assert sample(0, 20).count() * 3 < sample(0, 400).count() < 1_600
