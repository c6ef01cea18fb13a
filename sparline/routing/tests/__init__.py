"""Tests for routing."""
