"""Tests of sparline.orders."""
