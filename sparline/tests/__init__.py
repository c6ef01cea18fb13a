"""Tests of whole instances, and the fleet that they run in."""
