"""Stand-ins of the second review: store, replicas, clients, and the platform that runs the processes."""

from review.standins._client import Answer, Client, ClientError
from review.standins._memory import MemoryLimit
from review.standins._platform import Deployment, Gateway, Place
from review.standins._record import Record
from review.standins._replica import Arrival, Replica
from review.standins._store import Store

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
