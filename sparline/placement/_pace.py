"""Measured times of services: reading a prompt's token, and answering."""

from sparline.routes import ServiceName

# Before the first measurement: 50 prompt tokens a millisecond (the users' engines read 51 and
# 64), and the 45 ms that the users' plain services work on a request.
FIRST_TOKEN_MS = 1 / 50
FIRST_ANSWER_MS = 45.0
# Bounds of what may be learned: 10 to 200 tokens a millisecond.
LEAST_TOKEN_MS = 1 / 200
MOST_TOKEN_MS = 1 / 10
# Weight of one more measurement.
WEIGHT = 0.05
# Shorter prompts tell more of the exchange than of the reading (tokens).
TELLING_TOKENS = 1_500


class PaceTable:
    """Learn from the requests of this instance."""

    def __init__(self) -> None:
        """Start with the first guesses."""
        self._token_ms: dict[ServiceName, float] = {}
        self._answer_ms: dict[ServiceName, float] = {}

    def token_ms(self, service: ServiceName) -> float:
        """Return the time to read one token of a prompt."""
        return self._token_ms.get(service, FIRST_TOKEN_MS)

    def answer_ms(self, service: ServiceName) -> float:
        """Return the usual time of a plain answer, without waiting."""
        return self._answer_ms.get(service, FIRST_ANSWER_MS)

    def note_prompt(self, service: ServiceName, unread_tokens: int, took_ms: float) -> None:
        """Learn from the first event of a prompt that nothing was waiting before."""
        if unread_tokens < TELLING_TOKENS:
            return
        measured = min(max(took_ms / unread_tokens, LEAST_TOKEN_MS), MOST_TOKEN_MS)
        held = self.token_ms(service)
        self._token_ms[service] = held + WEIGHT * (measured - held)

    def note_answer(self, service: ServiceName, took_ms: float) -> None:
        """Learn from a plain answer."""
        held = self.answer_ms(service)
        self._answer_ms[service] = held + WEIGHT * (took_ms - held)
