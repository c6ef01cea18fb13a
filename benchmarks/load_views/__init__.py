"""What instances know of their region's servers, and what gossip costs, by fleet size."""

from benchmarks.load_views._views import measure_cost, measure_error, views

__all__ = ["measure_cost", "measure_error", "views"]
