"""Measured times of services: reading a prompt's token, and answering."""

from sparline.routes import ServiceName

# Before the first measurement: 50 prompt tokens a millisecond (the users' engines read 51 and
# 64), and the 45 ms that the users' plain services work on a request.
FIRST_TOKEN_MS = 1 / 50
FIRST_ANSWER_MS = 45.0
# Bounds of what may be learned: 10 to 200 tokens a millisecond.
LEAST_TOKEN_MS = 1 / 200
MOST_TOKEN_MS = 1 / 10
# Reading a token looks at all before it: behind so many it takes twice as long (tokens). The
# users' engines: 24,000 and 61,000; the mean of both, because no engine tells its own.
TWICE_BEHIND_TOKENS = 38_000
# Weight of one more measurement.
WEIGHT = 0.05
# Shorter prompts tell more of the exchange than of the reading (tokens).
TELLING_TOKENS = 1_500


def reading_effort(unread_tokens: int, kept_tokens: int) -> int:
    """Return a reading as the number of tokens at a prompt's start that takes as long."""
    before = kept_tokens + unread_tokens / 2
    return round(unread_tokens * (1 + before / TWICE_BEHIND_TOKENS))


class PaceTable:
    """Learn from the requests of this instance."""

    def __init__(self) -> None:
        """Start with the first guesses."""
        self._token_ms: dict[ServiceName, float] = {}
        self._answer_ms: dict[ServiceName, float] = {}

    def token_ms(self, service: ServiceName) -> float:
        """Return the time to read one token at a prompt's start."""
        return self._token_ms.get(service, FIRST_TOKEN_MS)

    def answer_ms(self, service: ServiceName) -> float:
        """Return the usual time of a plain answer, without waiting."""
        return self._answer_ms.get(service, FIRST_ANSWER_MS)

    def note_prompt(self, service: ServiceName, effort_tokens: int, took_ms: float) -> None:
        """Learn from the first event of a prompt that nothing was waiting before."""
        if effort_tokens < TELLING_TOKENS:
            return
        measured = min(max(took_ms / effort_tokens, LEAST_TOKEN_MS), MOST_TOKEN_MS)
        held = self.token_ms(service)
        self._token_ms[service] = held + WEIGHT * (measured - held)

    def note_answer(self, service: ServiceName, took_ms: float) -> None:
        """Learn from a plain answer."""
        held = self.answer_ms(service)
        self._answer_ms[service] = held + WEIGHT * (took_ms - held)
