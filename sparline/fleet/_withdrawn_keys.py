"""API keys that a newer configuration no longer has."""

from collections import OrderedDict

from sparline.routes import Configuration, ConfigurationVersion, KeyDigest

# Maximum number of remembered withdrawn API keys, about 0.1 kB each.
MAX_WITHDRAWN_KEYS = 4_096


class WithdrawnKeys:
    """Remember the version that withdrew each API key, for error messages to callers."""

    def __init__(self) -> None:
        """Remember none."""
        self._withdrawn: OrderedDict[KeyDigest, ConfigurationVersion] = OrderedDict()

    def note_replaced(self, held: Configuration, newer: Configuration) -> None:
        """Record the keys that a newer configuration lacks, and forget those that it has again."""
        before = held.organisations.by_key if held.organisations else {}
        after = newer.organisations.by_key if newer.organisations else {}
        for key in before.keys() - after.keys():
            self._withdrawn[key] = newer.version
        for key in after.keys() & self._withdrawn.keys():
            del self._withdrawn[key]
        while len(self._withdrawn) > MAX_WITHDRAWN_KEYS:
            self._withdrawn.popitem(last=False)

    def withdrawn_at(self, key: KeyDigest) -> ConfigurationVersion | None:
        """Return the configuration version that withdrew an API key, or None if unknown."""
        return self._withdrawn.get(key)
