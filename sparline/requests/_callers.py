"""Caller authentication: the key that a caller presents and the organisation that owns it."""

from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from sparline._ids import OrganisationId
from sparline.requests._reasons import Reason
from sparline.routes import Configuration, ConfigurationVersion, KeyDigest, Organisation, Route


class KeyFault(Enum):
    """Name why a request has no usable key; the value is part of the error sent to the caller."""

    MISSING = "no key"
    SEVERAL = "several keys"
    SCHEME = "another scheme"


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """Hold the key that a caller presents, or why there is none."""

    digest: KeyDigest | None  # digest of the key, None if none could be read
    fault: KeyFault | None = None  # why there is no key


@dataclass(frozen=True, slots=True)
class RelayedCaller:
    """Hold what the relaying instance states about the caller of a request."""

    version: ConfigurationVersion  # configuration in which it looked up the key
    organisation: OrganisationId  # owner of the key
    key: KeyDigest  # digest of the presented key


@dataclass(frozen=True, slots=True)
class KnownCaller:
    """Hold the authenticated caller of a request."""

    version: ConfigurationVersion  # configuration in which the key was looked up
    organisation: Organisation  # owner of the key
    key: KeyDigest  # digest of the presented key


@dataclass(frozen=True, slots=True)
class UnknownCaller:
    """Say why the caller of a request could not be authenticated."""

    reason: Reason  # label of the counters
    text: str  # what was expected and found


CallerResult = Result[KnownCaller | None, UnknownCaller]


def find_caller(
    configuration: Configuration, route: Route, presented: PresentedKey
) -> CallerResult:
    """Return the caller of a request, None if it has no key and needs none."""
    known = configuration.organisations
    if known is None:
        return Ok(None)
    if presented.digest is None:
        if route.allows_anonymous and presented.fault is KeyFault.MISSING:
            return Ok(None)
        assert presented.fault is not None, "a missing key must have a fault"
        text = f"Authorization: expected Bearer KEY, found {presented.fault.value}"
        return Err(UnknownCaller(Reason.NO_KEY, text))
    organisation = known.by_key.get(presented.digest)
    if organisation is None:
        text = "Authorization: expected a key in force, found one that is not"
        return Err(UnknownCaller(Reason.UNKNOWN_KEY, text))
    return Ok(KnownCaller(configuration.version, organisation, presented.digest))


def find_relayed_caller(
    configuration: Configuration, route: Route, relayed: RelayedCaller | None
) -> CallerResult:
    """Return the caller of a request that another instance relays.

    The instance with the newer configuration decides. A key that is unknown here is accepted if the
    configuration here is no newer than the relaying instance's: the key may have been added since.
    If the configuration here is newer, the key was withdrawn.
    """
    known = configuration.organisations
    if relayed is None:
        if known is None or route.allows_anonymous:
            return Ok(None)
        return Err(UnknownCaller(Reason.NO_KEY, "expected an organisation, found none"))
    organisation = known.by_id.get(relayed.organisation) if known else None
    if organisation is None:
        return Err(
            UnknownCaller(
                Reason.UNKNOWN_KEY, "expected an organisation in force, found an unknown one"
            )
        )
    if relayed.key not in organisation.keys and configuration.version > relayed.version:
        return Err(
            UnknownCaller(Reason.KEY_WITHDRAWN, "expected a key in force, found a withdrawn one")
        )
    return Ok(KnownCaller(configuration.version, organisation, relayed.key))


def is_withdrawn(configuration: Configuration | None, caller: KnownCaller | None) -> bool:
    """Tell whether a caller's key was withdrawn after its request was accepted."""
    if configuration is None or caller is None or configuration.version <= caller.version:
        return False
    known = configuration.organisations
    if known is None:
        return False
    owner = known.by_key.get(caller.key)
    return owner is None or owner.id != caller.organisation.id
