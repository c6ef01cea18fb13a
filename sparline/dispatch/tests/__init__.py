"""Tests for dispatch."""
