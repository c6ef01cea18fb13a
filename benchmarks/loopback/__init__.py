"""What all fleets of processes on loopback need: ports, a proxy with faults, the checkout."""

from benchmarks.loopback._checkout import ROOT
from benchmarks.loopback._loopback_proxy import LoopbackProxy
from benchmarks.loopback._port_pool import HOST, PortPool

__all__ = ["HOST", "ROOT", "LoopbackProxy", "PortPool"]
