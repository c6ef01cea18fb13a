"""Exchanges with backend servers."""

from sparline.backends._attempt import AttemptContext, attempt, cancel
from sparline.backends._connection import (
    BackendAddress,
    Exchange,
    ExchangeFault,
    call_json,
    probe,
)

__all__ = [
    "AttemptContext",
    "BackendAddress",
    "Exchange",
    "ExchangeFault",
    "attempt",
    "call_json",
    "cancel",
    "probe",
]
