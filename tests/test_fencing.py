"""Which starts can still take effect at a worker, and the token that excludes them."""

import pytest

from kelpjunction.blocks.tokens import TokenRange
from kelpjunction.wire.messages import TaskId
from kelpjunction.workers.fencing import Attempt, StartFence

FIRST, SECOND = Attempt(TaskId("j-1", 0), 1), Attempt(TaskId("j-1", 0), 2)
GRANTED = TokenRange(11, 14)


@pytest.fixture
def fence() -> StartFence:
    """A worker to which the first attempt's start was sent under token 11."""
    fence = StartFence(unknown_upto=10)
    fence.start_sent(FIRST, fence.token(GRANTED, shown=0))
    return fence


def test_answered_start_can_act_until_the_worker_has_seen_a_higher_token(fence):
    assert fence.may_start(FIRST, seen=11)
    assert not fence.may_start(FIRST, seen=12)


def test_start_of_unknown_holder_is_excluded_by_the_first_token(fence):
    assert fence.may_start(SECOND, seen=10)
    assert not fence.may_start(SECOND, seen=11)


def test_token_rises_only_above_the_starts_to_exclude(fence):
    assert fence.exclude([SECOND], GRANTED)
    assert fence.token(GRANTED, shown=0) == 11
    assert fence.exclude([FIRST, SECOND], GRANTED)
    assert fence.token(GRANTED, shown=0) == 12


def test_used_up_range_excludes_nothing_and_changes_nothing(fence):
    fence.start_sent(SECOND, 14)
    assert not fence.exclude([SECOND], GRANTED)
    assert fence.token(GRANTED, shown=0) == 14
    assert fence.exclude([SECOND], TokenRange(21, 24))
    assert fence.token(TokenRange(21, 24), shown=0) == 21


@pytest.mark.parametrize(("shown", "token"), [(0, 11), (13, 13), (99, 11)])
def test_token_shown_by_the_worker_counts_if_it_is_of_the_grant(fence, shown, token):
    assert fence.token(GRANTED, shown) == token


def test_every_start_can_act_again_after_the_worker_restarted(fence):
    assert fence.exclude([FIRST], GRANTED)
    fence.token_proved(12)
    assert not fence.may_start(FIRST, seen=12)
    assert fence.process_restarted(GRANTED)
    assert fence.may_start(FIRST, seen=12)
    assert not fence.may_start(FIRST, fence.token(GRANTED, shown=0))
    assert fence.process_restarted(GRANTED)
    assert not fence.process_restarted(GRANTED)
    assert fence.may_start(FIRST, fence.token(GRANTED, shown=0))
