"""A short soak: the same seeds on every run.  `make soak` plays others, for as long as it is told to."""

import pytest
from soak import SeedResult, play_restarts, play_schedule


@pytest.mark.parametrize("seed", range(500, 540))
def test_schedules_with_interleaved_exchanges(seed):
    assert play_schedule(seed) == SeedResult(seed)


@pytest.mark.parametrize("seed", [700, 701, 702, 703, 704, 721, 741])
def test_controllers_that_end_and_return_again_and_again(seed):
    assert play_restarts(seed) == SeedResult(seed)
