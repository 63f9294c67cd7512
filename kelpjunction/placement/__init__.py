"""What runs where: greedy choice, then swaps; and whom to stop for whom.

Pure: it takes views of machines and returns decisions, and writes only to the
views it was given, which are its caller's scratch copies.  `views` has the
machines, `room` their index, `tasks` and `gangs` choose, `stopping` makes
room, `prices` says what it costs.
"""

from kelpjunction.placement.gangs import place_gang
from kelpjunction.placement.prices import ANY_PRICE, DEAR, Budget, cheapest_slot, slot_price, slots_on
from kelpjunction.placement.room import Choice, FreeRoom, Kind, choice_of
from kelpjunction.placement.stopping import Found, Victim, make_room
from kelpjunction.placement.tasks import place
from kelpjunction.placement.views import SLACK, View, allowed, fetch_cost, type_fits, zone_room

__all__ = [
    "ANY_PRICE",
    "DEAR",
    "SLACK",
    "Budget",
    "Choice",
    "Found",
    "FreeRoom",
    "Kind",
    "Victim",
    "View",
    "allowed",
    "cheapest_slot",
    "choice_of",
    "fetch_cost",
    "make_room",
    "place",
    "place_gang",
    "slot_price",
    "slots_on",
    "type_fits",
    "zone_room",
]
