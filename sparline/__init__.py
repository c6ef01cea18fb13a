"""Sparline: a multi-region inference gateway of equal instances."""
