"""nose2 plugin that tolerates failures of the tests in KNOWN-RED.txt and prints a summary."""

import pathlib

from nose2 import events, result

KNOWN_RED_PREFIX = "test: "


class Verdict(events.Plugin):
    """Marks failures of known red tests as expected and prints a summary line."""

    configSection = "verdict"  # noqa: N815, the name is nose2's

    def __init__(self) -> None:
        path = pathlib.Path(self.config.as_str("known-red", "KNOWN-RED.txt"))
        self._known_red_tests = _parse_known_red(path.read_text()) if path.exists() else frozenset()
        self._failed_known_red: list[str] = []
        self._counts = {result.PASS: 0, result.FAIL: 0, result.SKIP: 0}

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Counts an outcome, or marks the failure of a known red test as expected."""
        name = event.test.id().partition("\n")[0]
        if event.outcome in (result.FAIL, result.ERROR) and name in self._known_red_tests:
            self._failed_known_red.append(name)
            event.outcome, event.expected = result.FAIL, True
            return
        key = result.FAIL if event.outcome == result.ERROR else event.outcome
        self._counts[key] = self._counts.get(key, 0) + 1

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:  # noqa: N802
        """Prints the known red tests that failed and the counts of all other tests."""
        for name in self._failed_known_red:
            event.stream.writeln(f"known red: {name}")
        counts = self._counts
        event.stream.writeln(
            f"{counts[result.PASS]} passed, {counts[result.FAIL]} failed,"
            f" {counts[result.SKIP]} skipped"
        )


def _parse_known_red(text: str) -> frozenset[str]:
    lines = (line for line in text.splitlines() if line.startswith(KNOWN_RED_PREFIX))
    return frozenset(line.removeprefix(KNOWN_RED_PREFIX).strip() for line in lines)
