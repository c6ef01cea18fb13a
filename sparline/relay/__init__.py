"""Relay: one hop between zones, the receiver's word last."""

from sparline.relay._receiver import RelayReceiver
from sparline.relay._sender import RelaySender

__all__ = ["RelayReceiver", "RelaySender"]
