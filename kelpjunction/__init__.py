"""kelpjunction: a cluster scheduler with weighted-deficit ordering and leased blocks of machines."""

__version__ = "0.1.0"
