"""A short soak with the same seeds on every run; `make soak` plays other seeds, for a given time."""

import pytest
from soak import SeedResult, play_restarts, play_schedule


@pytest.mark.parametrize("seed", range(500, 540))
def test_schedules_with_interleaved_exchanges(seed):
    assert play_schedule(seed) == SeedResult(seed)


@pytest.mark.parametrize("seed", [700, 701, 702, 703, 704, 721, 741])
def test_repeated_controller_restarts(seed):
    assert play_restarts(seed) == SeedResult(seed)
