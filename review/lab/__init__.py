"""Stand-ins and processes of the second review's scripts: store, replicas, clients, gateways."""

from review.lab._client import Answer, Client, ClientError
from review.lab._deployment import Deployment, Gateway, Place
from review.lab._memory import MemoryLimit
from review.lab._record import Record
from review.lab._replica import Arrival, Replica
from review.lab._store import Store

__all__ = [
    "Answer",
    "Arrival",
    "Client",
    "ClientError",
    "Deployment",
    "Gateway",
    "MemoryLimit",
    "Place",
    "Record",
    "Replica",
    "Store",
]
