"""What the pytest processes left, and the sum of it."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

# pytest's exit codes of a process without a failure. Code 5 says that no test was collected:
# a file without tests is allowed as long as another has some.
ACCEPTED_EXIT_CODES = (0, 5)
# Outcomes of a test that ran, as pytest names them.
RUN_OUTCOMES = ("passed", "failed", "error", "xfailed", "xpassed")


@dataclass(frozen=True, slots=True)
class GroupResult:
    """Hold what one pytest process left."""

    files: list[str]  # test files, relative to the root
    exit_code: int  # negative: the number of the signal that ended the process
    duration_s: float  # from its start to its end
    output: str  # standard output and standard error
    counts: Mapping[str, int] | None  # tests by outcome; None: it ended without a result
    collected: frozenset[str]  # node ids

    @property
    def failed_tests(self) -> int:
        """Count failed tests and errors, those of the collection included."""
        return (
            0 if self.counts is None else self.counts.get("failed", 0) + self.counts.get("error", 0)
        )

    @property
    def ended_abnormally(self) -> bool:
        """Tell whether the process failed for another reason than a failed test."""
        if self.counts is None or self.exit_code < 0:
            return True
        return self.exit_code not in ACCEPTED_EXIT_CODES and not self.failed_tests

    def heading(self) -> str:
        """Return the line above its output."""
        ending = (
            f"exit code {self.exit_code}" if self.exit_code >= 0 else f"signal {-self.exit_code}"
        )
        missing = ", without a result" if self.counts is None else ""
        return f"=== {' '.join(self.files)}: {ending} after {self.duration_s:.1f} s{missing}"


@dataclass(slots=True)
class Totals:
    """Sum up the results of all processes."""

    counts: Counter[str] = field(default_factory=Counter)  # tests by outcome
    collected: set[str] = field(default_factory=set)  # node ids
    abnormal_ends: int = 0  # processes

    def add(self, result: GroupResult) -> None:
        """Add the result of one process."""
        self.counts.update(result.counts or {})
        self.collected |= result.collected
        self.abnormal_ends += result.ended_abnormally

    @property
    def failed(self) -> int:
        """Count failed tests, errors and processes that ended abnormally."""
        return self.counts["failed"] + self.counts["error"] + self.abnormal_ends

    @property
    def succeeded(self) -> bool:
        """Tell whether nothing failed and at least one test ran."""
        return not self.failed and any(self.counts[outcome] for outcome in RUN_OUTCOMES)

    def lines(self) -> list[str]:
        """Return the last two lines of a run: the other counts, and what passed and failed."""
        others = [
            f"{self.counts[outcome]} {outcome}" for outcome in ("skipped", "xfailed", "xpassed")
        ]
        others.append(f"{self.counts['error']} errors")
        others.append(f"{self.abnormal_ends} processes ended abnormally")
        return [", ".join(others), f"{self.counts['passed']} passed, {self.failed} failed"]
