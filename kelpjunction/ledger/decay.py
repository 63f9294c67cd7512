"""Fading and factors in whole numbers, so that any machine computes the same to the last bit.

Amounts are integers, times integers of milliseconds, factors integers of
2**-32.  A power of two with a fraction in its exponent is a product of the
square roots of a half, a quarter and so on, one for each set bit of the
fraction; each is an exact integer square root.  A floating-point `pow` or
`exp` may differ in the last digits between C libraries, which a replay would
see.

Errors: `decay` is at most one unit below the true value, and at most 2**-32 of
it above.  It is monotone: more, or sooner, never leaves less.
"""

import math
from collections.abc import Callable
from functools import lru_cache

FRACTION_BITS = 32
FIXED_POINT_ONE = 1 << FRACTION_BITS
LN2 = 2_977_044_471  # ln 2 in 2**-32, rounded down
_ROOT_BITS = 96


def _roots() -> tuple[int, ...]:
    """2 ** -(2 ** -k) for k from 1 to 32, in 2**-96, each rounded down."""
    found = [math.isqrt(1 << (2 * _ROOT_BITS - 1))]
    while len(found) < FRACTION_BITS:
        found.append(math.isqrt(found[-1] << _ROOT_BITS))
    return tuple(found)


_ROOTS = _roots()


def decay(amount: int, passed: int, half_life: int) -> int:
    """What is left of an amount after `passed`; half of it after each `half_life`, in the same unit."""
    if passed <= 0 or amount <= 0:
        return max(0, amount)
    halvings, left = _left(passed, half_life)
    # Rounded once: rounding at each root would let a little later leave a little more.
    return amount * left >> (_ROOT_BITS + halvings)


@lru_cache(maxsize=256)
def _left(passed: int, half_life: int) -> tuple[int, int]:
    """How often an amount is halved, and what is left of it for the rest of the time, in 2**-96.

    An entry fades all its teams over the same time.
    """
    halvings, rest = divmod(passed, half_life)
    fraction = (rest << FRACTION_BITS) // half_life
    left = 1 << _ROOT_BITS
    for k, root in enumerate(_ROOTS, start=1):
        if fraction >> (FRACTION_BITS - k) & 1:
            left = left * root >> _ROOT_BITS
    return halvings, left


@lru_cache(maxsize=4096)
def steady_state_usage(share: int, half_life: int) -> int:
    """What faded usage comes to for who holds exactly `share` all the time: share times half-life by ln 2."""
    return (share * half_life << FRACTION_BITS) // LN2


def hyperbolic(faded: int, full: int) -> int:
    """1 / (1 + x), where x is faded usage against full use of the share: a half at x = 1, a tenth at 9."""
    return (full << FRACTION_BITS) // (full + faded)


def exponential(faded: int, full: int) -> int:
    """2 ** -x: a half at x = 1, a five-hundredth at 9."""
    return decay(FIXED_POINT_ONE << FRACTION_BITS, faded, full) >> FRACTION_BITS


def linear(faded: int, full: int) -> int:
    """1 - x / 4: nothing from four times the share on."""
    return max(0, FIXED_POINT_ONE - (faded << FRACTION_BITS) // (4 * full))


FACTOR_FUNCTIONS: dict[str, Callable[[int, int], int]] = {
    "hyperbolic": hyperbolic,
    "exponential": exponential,
    "linear": linear,
}


def factor(form: str, faded: int, share: int, half_life: int, floor: int) -> int:
    """By what the shared weight of a team's work beyond its guarantee is multiplied, in 2**-32.

    Never above 1, where a team stands that has used nothing, for however
    long; never below `floor`.  A share of nothing counts as one unit.
    """
    return max(floor, FACTOR_FUNCTIONS[form](faded, steady_state_usage(max(1, share), half_life)))
