import json

import pytest

from benchmarks.__main__ import main


def assert_bounds_hold(capsys, situation: str, *arguments: str) -> None:
    code = main(["bounds", "--situation", situation, *arguments])
    result = json.loads(capsys.readouterr().out.splitlines()[-1])
    is_within = all(one["seen"] <= one["allowed"] for one in result["findings"])
    assert is_within, json.dumps(result)
    assert code == 0


def test_requests_passed_to_another_region_are_repeated_beyond_the_budget(capsys):
    # Both instances counted the request, and each allowed a share of its count as retries.
    assert_bounds_hold(capsys, "passed-on")


def test_servers_of_a_returned_zone_are_flooded_while_cold(capsys):
    # They had turned cold during the evacuation, and their entries did not say so.
    assert_bounds_hold(capsys, "zone-returns")


def test_server_whose_entry_goes_after_a_cut_watch_gets_late_requests(capsys):
    # The cut counted as an outage of the store, in which the entry might have expired.
    assert_bounds_hold(capsys, "gone-after-cut", "--gateways", "12")


def test_silent_watches_hide_that_a_server_has_left(capsys):
    # Nothing showed that the connections to the store were silent, until a watch ended.
    assert_bounds_hold(capsys, "silent-watches", "--gateways", "6", "--rate", "60")


def test_restarted_instances_flood_the_servers_of_a_zone_that_returned_before(capsys):
    # They had not seen that the zone was evacuated, and nothing else told that its servers were cold.
    assert_bounds_hold(capsys, "return-and-restart", "--rate", "200")


@pytest.mark.parametrize("seed", ["2", "4"])
def test_planned_stops_cut_requests_that_were_passed_on(capsys, seed):
    """Guards against late requests that are accepted although the process ends before them."""
    assert_bounds_hold(capsys, "planned-stops", "--seed", seed, "--gateways", "6", "--rate", "80")


@pytest.mark.parametrize("seed", ["2", "8"])
def test_stop_of_one_instance_cuts_requests_that_its_siblings_could_take(capsys, seed):
    """Guards against late requests that are accepted by recent times, which any one may exceed."""
    assert_bounds_hold(capsys, "calm-stop", "--seed", seed, "--gateways", "6", "--rate", "80")


@pytest.mark.parametrize("gateways", ["2", "4"])
def test_stop_of_a_whole_region_cuts_requests_that_take_longer_than_those_before(capsys, gateways):
    """Guards against late requests that the last instance of a region accepts by recent times."""
    assert_bounds_hold(capsys, "region-stops-growing", "--seed", "1", "--gateways", gateways)


@pytest.mark.parametrize("seed", ["2", "10", "115"])
def test_requests_with_a_part_that_ends_engines_are_sent_on(capsys, seed):
    # Each instance counted ends by whole requests, of which no two are alike.
    assert_bounds_hold(capsys, "crashing-part", "--seed", seed, "--rate", "80")


def test_endless_answers_keep_an_instance_from_serving_others(capsys):
    # The loop that reads never waited while bytes were there, and kept what it had read.
    assert_bounds_hold(capsys, "endless-answers")


def test_endless_requests_keep_an_instance_from_serving_others(capsys):
    """Guards against connections that are read and answered without letting anybody else run."""
    assert_bounds_hold(capsys, "endless-requests")


@pytest.mark.parametrize("seed", ["2", "9"])
def test_planned_stops_cut_streams_of_engines_that_fall_silent(capsys, seed):
    """Guards against live runs that are given up for others which are not granted."""
    assert_bounds_hold(capsys, "silent-engines", "--seed", seed, "--gateways", "6", "--rate", "40")


@pytest.mark.parametrize("seed", ["5"])
def test_streams_are_mixed_by_instances_out_of_step_during_a_release(capsys, seed):
    """Guards against the one version that an instance knows, taken for the only one in a cut."""
    assert_bounds_hold(capsys, "release-out-of-step", "--seed", seed, "--rate", "80")


@pytest.mark.parametrize("seed", ["1"])
def test_streams_are_mixed_as_a_release_is_taken_back(capsys, seed):
    """Guards against the one version left, taken for the only one by an instance that has just started."""
    assert_bounds_hold(capsys, "release-taken-back", "--seed", seed, "--rate", "100")


@pytest.mark.parametrize("seed", ["5", "7"])
def test_copies_of_refusals_are_taken_for_answers_to_other_sends(capsys, seed):
    """Guards against a refusal that is believed though an earlier request may have caused it."""
    assert_bounds_hold(capsys, "copied-refusals", "--seed", seed, "--gateways", "4")
