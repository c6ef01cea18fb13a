"""Quarantine: requests under which backend servers end are known by their content."""

from sparline.quarantine._digest import RequestDigest, digest_of, logged

__all__ = ["RequestDigest", "digest_of", "logged"]
