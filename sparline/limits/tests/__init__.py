"""Tests of sparline.limits."""
