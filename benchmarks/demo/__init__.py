"""The demo: mixed traffic on both platforms, one instance killed on each."""

from benchmarks.demo._demo import demo

__all__ = ["demo"]
