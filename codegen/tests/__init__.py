"""Tests of this package."""
