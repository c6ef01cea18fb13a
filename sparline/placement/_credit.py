"""What requests earn, as far as an instance can tell: by their size, against what is usual."""

from sparline.requests import Prompt
from sparline.routes import ServiceName

# A token of an answer counts like so many of a prompt: it takes a step of its own, a prompt's
# tokens are read by the thousand.
OUTPUT_WEIGHT = 10
# Weight of one more request in what is usual: about the last 100 count.
USUAL_WEIGHT = 0.01


def credit_of(prompt: Prompt) -> int:
    """Return the credit of a request, in tokens of prompt."""
    return max(prompt.tokens + OUTPUT_WEIGHT * prompt.max_output_tokens, 1)


class CreditTable:
    """Learn the usual credit of the requests of each service."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._usual: dict[ServiceName, float] = {}

    def note(self, service: ServiceName, prompt: Prompt) -> None:
        """Note a request that is placed."""
        credit = credit_of(prompt)
        held = self._usual.get(service, float(credit))
        self._usual[service] = held + USUAL_WEIGHT * (credit - held)

    def usual(self, service: ServiceName, prompt: Prompt) -> float:
        """Return the usual credit; before any request, that of the one at hand."""
        return self._usual.get(service, float(credit_of(prompt)))
