"""One gateway instance whose way to others can be cut, started as a process."""

from benchmarks.cuttable_gateway._cut_sockets import (
    BYTES_FROM,
    BYTES_TO,
    CUTS_FILE,
    DATAGRAMS_FROM,
    DATAGRAMS_TO,
    CutWays,
    cut_sockets,
)

__all__ = [
    "BYTES_FROM",
    "BYTES_TO",
    "CUTS_FILE",
    "DATAGRAMS_FROM",
    "DATAGRAMS_TO",
    "CutWays",
    "cut_sockets",
]
