"""nose2 plugin: passes over the tests of KNOWN-RED.txt and closes with the counts."""

import pathlib

from nose2 import events, result

KNOWN_RED_PREFIX = "test: "


class Verdict(events.Plugin):
    """Reports failures of known red tests as such and prints one closing line."""

    configSection = "verdict"  # noqa: N815, the name is nose2's

    def __init__(self) -> None:
        path = pathlib.Path(self.config.as_str("known-red", "KNOWN-RED.txt"))
        self._known = _known_tests(path.read_text()) if path.exists() else frozenset()
        self._red: list[str] = []
        self._counts = {result.PASS: 0, result.FAIL: 0, result.SKIP: 0}

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Counts an outcome; a known red failure is expected."""
        name = event.test.id().partition("\n")[0]
        if event.outcome in (result.FAIL, result.ERROR) and name in self._known:
            self._red.append(name)
            event.outcome, event.expected = result.FAIL, True
            return
        key = result.FAIL if event.outcome == result.ERROR else event.outcome
        self._counts[key] = self._counts.get(key, 0) + 1

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:  # noqa: N802
        """Prints the known red tests that failed, and the counts."""
        for name in self._red:
            event.stream.writeln(f"known red: {name}")
        counts = self._counts
        event.stream.writeln(
            f"{counts[result.PASS]} passed, {counts[result.FAIL]} failed,"
            f" {counts[result.SKIP]} skipped"
        )


def _known_tests(text: str) -> frozenset[str]:
    lines = (line for line in text.splitlines() if line.startswith(KNOWN_RED_PREFIX))
    return frozenset(line.removeprefix(KNOWN_RED_PREFIX).strip() for line in lines)
