"""Generators; their output is committed."""
