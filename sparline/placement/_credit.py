"""Credit of requests: their size in prompt tokens, and the usual credit of each service."""

from sparline.requests import Prompt
from sparline.routes import ServiceName

# An output token counts as this many prompt tokens: it takes a decoding step of its own, while
# prompt tokens are prefilled by the thousand.
OUTPUT_TOKEN_CREDIT = 10
# Weight of one more request in the usual credit: about the last 100 count.
USUAL_WEIGHT = 0.01


def credit_of(prompt: Prompt) -> int:
    """Return the credit of a request, in prompt tokens."""
    return max(prompt.tokens + OUTPUT_TOKEN_CREDIT * prompt.max_output_tokens, 1)


class CreditTable:
    """Learns the usual credit of the requests of each service."""

    def __init__(self) -> None:
        """Start without observations."""
        self._usual: dict[ServiceName, float] = {}

    def note(self, service: ServiceName, prompt: Prompt) -> None:
        """Record a request that is placed."""
        credit = credit_of(prompt)
        previous = self._usual.get(service, float(credit))
        self._usual[service] = previous + USUAL_WEIGHT * (credit - previous)

    def usual(self, service: ServiceName, prompt: Prompt) -> float:
        """Return the usual credit of a service, that of this request if there was none before."""
        return self._usual.get(service, float(credit_of(prompt)))
