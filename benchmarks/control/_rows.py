"""Sizes and figures of the control experiment."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Setting:
    """Describe one size of the fleet."""

    variable: str  # what grows
    size: float  # how far
    regions: int = 2  # regions, each with as many zones
    zones_per_region: int = 1  # availability zones of a region
    instances: int = 2  # instances of a zone
    replicas: int = 2  # engines of a zone
    organisations: int = 20  # organisations in the files
    changes_per_s: float = 0.0  # files published
    requests_per_s: float = 0.0  # requests of each region


@dataclass(frozen=True, slots=True)
class NodeRow:
    """Hold the figures of the instances of one run, averages and the worst."""

    setting: Setting  # what ran
    cpu_percent: float  # of one core, average of the instances
    cpu_percent_worst: float  # of the worst instance
    rss_mb: float  # resident memory, average
    bytes_per_s: float  # control in and out, average
    bytes_per_s_worst: float  # of the worst instance
    messages_per_s: float  # control in and out, average
    by_channel: dict[str, float]  # bytes a second by channel, in and out, average
    messages_by_channel: dict[str, float]  # messages a second by channel, in and out, average
    platform_calls_per_s: float  # of all instances together
    in_force_ms: float  # time until the slowest instance had a change, -1 without changes
