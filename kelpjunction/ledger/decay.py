"""Decay of usage and the priority factors in integer arithmetic, so that every machine computes the same bits.

Amounts are integers, times are integers in milliseconds, and factors are
integers in units of 2**-32.  The fractional part of an exponent is handled bit
by bit: for each set bit, the product gets one factor out of 2**-(1/2),
2**-(1/4) and so on.  Each of these factors is computed as an integer square
root.  Floating-point `pow` and `exp` are not used: their last digits may differ
between C libraries, and a replay would then report a difference.

Error bounds: the result of `decay` is at most one unit below the true value
and at most 2**-32 of the true value above it.  `decay` is monotone: a larger
amount or a shorter time never gives a smaller result.
"""

import math
from collections.abc import Callable
from functools import lru_cache

FRACTION_BITS = 32
FIXED_POINT_ONE = 1 << FRACTION_BITS
LN2 = 2_977_044_471  # ln 2 in units of 2**-32, rounded down
_ROOT_BITS = 96


def _roots() -> tuple[int, ...]:
    """2 ** -(2 ** -k) for k from 1 to 32, in units of 2**-96, each rounded down."""
    found = [math.isqrt(1 << (2 * _ROOT_BITS - 1))]
    while len(found) < FRACTION_BITS:
        found.append(math.isqrt(found[-1] << _ROOT_BITS))
    return tuple(found)


_ROOTS = _roots()


def decay(amount: int, elapsed: int, half_life: int) -> int:
    """What remains of an amount after `elapsed`: half of it after each `half_life`.  Both times have the same unit."""
    if elapsed <= 0 or amount <= 0:
        return max(0, amount)
    halvings, multiplier = _halvings_and_multiplier(elapsed, half_life)
    # Rounded once, at the end: with rounding at each root, a slightly longer time could leave slightly more.
    return amount * multiplier >> (_ROOT_BITS + halvings)


@lru_cache(maxsize=256)
def _halvings_and_multiplier(elapsed: int, half_life: int) -> tuple[int, int]:
    """The number of whole half-lives in `elapsed`, and the multiplier for the rest of the time, in units of 2**-96.

    Cached, because an entry decays the usage of all its teams over the same time.
    """
    halvings, rest = divmod(elapsed, half_life)
    fraction = (rest << FRACTION_BITS) // half_life
    multiplier = 1 << _ROOT_BITS
    for k, root in enumerate(_ROOTS, start=1):
        if fraction >> (FRACTION_BITS - k) & 1:
            multiplier = multiplier * root >> _ROOT_BITS
    return halvings, multiplier


@lru_cache(maxsize=4096)
def steady_state_usage(share: int, half_life: int) -> int:
    """The limit of decayed usage for a team that always uses exactly `share`: share * half-life / ln 2."""
    return (share * half_life << FRACTION_BITS) // LN2


def hyperbolic(usage: int, full: int) -> int:
    """1 / (1 + x), where x is `usage` / `full`: 1/2 at x = 1, 1/10 at x = 9.  `full` is `steady_state_usage`."""
    return (full << FRACTION_BITS) // (full + usage)


def exponential(usage: int, full: int) -> int:
    """2 ** -x: 1/2 at x = 1, about 1/500 at x = 9."""
    return decay(FIXED_POINT_ONE << FRACTION_BITS, usage, full) >> FRACTION_BITS


def linear(usage: int, full: int) -> int:
    """1 - x / 4: zero from four times the share on."""
    return max(0, FIXED_POINT_ONE - (usage << FRACTION_BITS) // (4 * full))


FACTOR_FUNCTIONS: dict[str, Callable[[int, int], int]] = {
    "hyperbolic": hyperbolic,
    "exponential": exponential,
    "linear": linear,
}


def factor(form: str, usage: int, share: int, half_life: int, floor: int) -> int:
    """The multiplier for the shared weight of a team's work beyond its guarantee, in units of 2**-32.

    It is at most 1, and a team without usage has 1, however long it has used
    nothing.  It is never below `floor`.  A share of 0 counts as one unit.
    """
    return max(floor, FACTOR_FUNCTIONS[form](usage, steady_state_usage(max(1, share), half_life)))
