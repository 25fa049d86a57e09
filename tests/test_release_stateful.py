"""Stateful test of publishing: several operators, an unreliable platform, and an oracle.

The oracle reads only the raw documents that the fake platform holds and keeps its own model of the
catalog; it uses no code of `release` or `head`. With ORIOLELOFT_FUZZ set, the seeds are fresh and
there are more examples.
"""

import dataclasses
import os
import unittest
from unittest import mock

from hypothesis import HealthCheck, settings, stateful
from hypothesis import strategies as st

from orioleloft_core import head, note, publishing
from orioleloft_core.errors import (
    ConflictError,
    NoteError,
    OutcomeUnknownError,
    PlatformDownError,
)
from tests.support.fakeplatform import FakePlatform

IS_FUZZ = bool(os.environ.get("ORIOLELOFT_FUZZ"))
EXAMPLES = 3000 if IS_FUZZ else 200
STEPS = 80
OPERATORS = ("ana", "luz", "ravi")
OPERATOR = st.sampled_from(OPERATORS)
# The head keeps few entries, so that old bases are read from the audit.
HISTORY_ENTRIES = 2
FAULTS = ("down", "lost-before", "lost-after", "late", "stale", "crash")

ZONES, SERVICES, CUSTOMERS = ("za", "zb"), ("sa", "sb"), ("ca",)
# About as many calls as one publish takes.
CALLS = 14
TARGETS = ("sa/1", "sa/2", "sb/1")
PORTS = (9001, 9002, 9003, 9004)


@dataclasses.dataclass
class Run:
    """One publisher: its generator, the call it waits for and the head writes that it sent."""

    note: note.Note
    edits: list
    steps: object
    call: object
    head_writes: list = dataclasses.field(default_factory=list)


def wishes():
    """Edits before their verb is chosen: kind, name, verb or "fit", and all keys."""
    zone = {"region": st.just("r"), "state": st.sampled_from(("open", "closed"))}
    target = {
        "address": st.sampled_from(PORTS).map(lambda port: f"127.0.0.1:{port}"),
        "zone": st.sampled_from(ZONES),
        "state": st.sampled_from(("serving", "draining")),
    }
    kinds = (
        ("zone", ZONES, zone),
        ("service", SERVICES, {"slots": st.integers(1, 3)}),
        ("target", TARGETS, target),
        ("customer", CUSTOMERS, {"weight": st.integers(1, 3)}),
    )
    verbs = st.sampled_from(("fit", "fit", "fit", "fit", "withdraw", "withdraw", "change", "add"))
    items = (
        st.tuples(st.just(kind), st.sampled_from(names), verbs, st.fixed_dictionaries(keys))
        for kind, names, keys in kinds
    )
    return st.lists(st.one_of(*items), min_size=1, max_size=2, unique_by=lambda wish: wish[:2])


@dataclasses.dataclass(frozen=True)
class Submission:
    """What an operator submits.

    Attributes:
        wishes: edits of a new note.
        age: how many versions old its base is.
        is_taken: whether its name belongs to another note.
        repeats: 0 for a new note, 1 to submit the newest note again, 2 for the one before, ...
    """

    wishes: list
    age: int
    is_taken: bool
    repeats: int


def submissions():
    return st.builds(
        Submission,
        wishes(),
        st.integers(0, 4),
        st.integers(0, 19).map(lambda number: number == 7),
        st.sampled_from((0, 0, 0, 0, 0, 1, 1, 2, 3)),
    )


def edit_of(wish, model):
    """Chooses a verb, so that most notes fit, and keeps the keys that go with it."""
    kind, name, verb, keys = wish
    if verb == "fit":
        verb = "change" if (kind, name) in model else "add"
    if verb == "withdraw":
        keys = {}
    if verb == "change" and len(keys) > 1:
        kept = sorted(keys)[len(str(keys)) % len(keys)]
        keys = {kept: keys[kept]}
    return kind, name, verb, keys


def text_of(name, base, changes):
    lines = ["[note]", f"name = {name}", f"base = {base}", "author = test"]
    for kind, item, verb, keys in changes:
        lines += [f"[{kind} {item}]", f"change = {verb}"]
        lines += [f"{key} = {value}" for key, value in keys.items()]
    return "\n".join(lines)


START = [
    *(("zone", name, "add", {"region": "r", "state": "open"}) for name in ZONES),
    *(("service", name, "add", {"slots": 2}) for name in SERVICES),
    ("target", "sa/1", "add", {"address": "127.0.0.1:9001", "zone": "za", "state": "serving"}),
]


class Publishing(stateful.RuleBasedStateMachine):
    """Operators publish step by step, so that their platform calls interleave."""

    def __init__(self):
        super().__init__()
        self.patch = mock.patch.object(head, "MAX_HISTORY_ENTRIES", HISTORY_ENTRIES)
        self.patch.start()
        self.platform = FakePlatform()
        self.runs = {}
        self.notes = {}
        self.accepted = {}
        self.refused = set()
        self.model = {}
        self.versions = []
        self.touched = []
        self.start("ana", START, 0, "n0")
        self.finish("ana")

    def teardown(self):
        try:
            self.settle()
        finally:
            self.patch.stop()

    @stateful.rule(operator=OPERATOR, submission=submissions(), count=st.integers(0, CALLS))
    def publish(self, operator, submission, count):
        """Ends what the operator publishes, publishes a note and leaves it at some call."""
        self.finish(operator)
        self.submit(operator, submission)
        self.advance(operator, count)

    @stateful.rule(operator=OPERATOR, submission=submissions())
    def advance_to_head_write(self, operator, submission):
        """Runs calls up to the update of the head, where the races are."""
        self.submit(operator, submission)
        while operator in self.runs and not is_head_write(self.runs[operator].call):
            self.step(operator)

    @stateful.rule(
        operator=OPERATOR,
        submission=submissions(),
        count=st.integers(0, CALLS),
        faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=3),
    )
    def fail(self, operator, submission, count, faults):
        """Runs some calls of an operator, and then some with faults."""
        self.submit(operator, submission)
        self.advance(operator, count)
        for fault in faults:
            if operator in self.runs:
                self.step(operator, fault)

    @stateful.rule(
        operator=OPERATOR,
        submission=submissions(),
        faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=3),
    )
    def fail_at_head(self, operator, submission, faults):
        """Runs calls of an operator with faults, from the update of the head on."""
        self.advance_to_head_write(operator, submission)
        self.fail(operator, submission, 0, faults)

    @stateful.rule()
    def deliver(self):
        """Delivers the oldest write that was on its way."""
        if self.platform.late:
            call = self.platform.late.pop(0)
            try:
                self.platform.write(call)
            except ConflictError:
                return
            self.observe(call)

    @stateful.invariant()
    def told_outcomes_hold(self):
        """An accepted note is in force once; a refused one never takes effect."""
        for note_id, version in self.accepted.items():
            assert self.versions[version - 1] == note_id, (note_id, version)
        assert not self.refused & set(self.versions), self.refused & set(self.versions)
        assert len(set(self.versions)) == len(self.versions), self.versions

    def submit(self, operator, submission):
        """Starts a publisher for an operator that has none."""
        if operator in self.runs:
            return
        listed = list(self.notes)
        if submission.repeats:
            self.begin(operator, *self.notes[listed[-submission.repeats % len(listed)]])
            return
        changes = [edit_of(wish, self.model) for wish in submission.wishes]
        name = "n1" if submission.is_taken else f"n{len(listed)}"
        self.start(operator, changes, max(0, len(self.versions) - submission.age), name)

    def start(self, operator, changes, base, name):
        found, faults = note.check(text_of(name, base, changes))
        if not faults:
            self.notes[found.id] = (found, changes)
            self.begin(operator, found, changes)

    def begin(self, operator, found, changes):
        steps = publishing.publish(found, operator, 1000)
        self.runs[operator] = Run(found, changes, steps, next(steps))

    def advance(self, operator, count):
        for _ in range(count):
            if operator in self.runs:
                self.step(operator)

    def finish(self, operator):
        while operator in self.runs:
            self.step(operator)

    def step(self, operator, fault=""):
        run = self.runs[operator]
        if fault == "crash":
            del self.runs[operator]
            return
        is_write = not isinstance(run.call, publishing.Read)
        if is_head_write(run.call) and fault != "down":
            run.head_writes.append(run.call)
        try:
            try:
                result = self.execute(run.call, fault, is_write)
            except (ConflictError, OutcomeUnknownError, PlatformDownError) as error:
                run.call = run.steps.throw(error)
            else:
                run.call = run.steps.send(result)
        except StopIteration as end:
            del self.runs[operator]
            self.tell(run, end.value)
        except (NoteError, PlatformDownError):
            del self.runs[operator]
            self.check_released_nothing(run)
        except OutcomeUnknownError:
            del self.runs[operator]

    def execute(self, call, fault, is_write):
        if fault == "down" or (fault.startswith("l") and not is_write):
            raise PlatformDownError("down")
        if not is_write:
            is_stale = fault == "stale"
            return tuple(self.platform.read(name, is_stale) for name in call.names)
        if fault == "late":
            self.platform.late.append(call)
        if fault in ("late", "lost-before"):
            raise OutcomeUnknownError("lost")
        try:
            version = self.platform.write(call)
        except ConflictError as error:
            if fault == "lost-after":
                raise OutcomeUnknownError("lost") from error
            raise
        self.observe(call)
        if fault == "lost-after":
            raise OutcomeUnknownError("lost")
        return version

    def tell(self, run, outcome):
        if isinstance(outcome, publishing.Accepted):
            assert self.accepted.setdefault(run.note.id, outcome.version) == outcome.version
            return
        self.refused.add(run.note.id)

    def check_released_nothing(self, run):
        """A run that ends as "released nothing" has no head write in force or on its way."""
        values = self.platform.objects.get("head", [])
        for call in run.head_writes:
            is_live = getattr(call, "version", 0) == len(values)
            assert not any(call.value is value for value in values), run.note.id
            assert not (is_live and any(call is late for late in self.platform.late)), run.note.id

    def observe(self, call):
        """Follows each accepted head with the oracle's own model."""
        if call.name != "head":
            return
        version = len(self.platform.objects["head"])
        entry = call.value["history"][-1]
        assert entry["version"] == version, entry
        found, changes = self.notes[entry["note_id"]]
        self.versions.append(found.id)
        for kind, name, verb, keys in changes:
            path = (kind, name)
            for later in range(found.base + 1, version):
                assert path not in self.touched[later - 1], (found.id, path, later)
            assert (path in self.model) == (verb != "add"), (found.id, path, verb)
            if verb == "withdraw":
                del self.model[path]
            else:
                self.model[path] = self.model.get(path, {}) | keys
        self.touched.append({edit[:2] for edit in changes})
        assert self.stored(call.value) == self.model, found.id
        self.check_whole()
        if version > 1:
            audit = self.platform.objects[f"audit/{version - 1}"][-1]
            assert audit["note_id"] == self.versions[version - 2], audit

    def stored(self, document):
        """The catalog of a raw head document, in the form of the model."""
        model = {}
        for zone in document["zones"]:
            state = "open" if zone["is_open"] else "closed"
            model["zone", zone["name"]] = {"region": zone["region"], "state": state}
        for customer in document["customers"]:
            model["customer", customer["name"]] = {"weight": customer["weight"]}
        for name, stored_as in document["services"].items():
            part = self.platform.objects[stored_as][-1]
            assert len(self.platform.objects[stored_as]) == 1, stored_as
            model["service", name] = {"slots": part["service"]["slots"]}
            for target in part["targets"]:
                model["target", f"{name}/{target['name']}"] = {
                    "address": f"{target['host']}:{target['port']}",
                    "zone": target["zone"],
                    "state": "draining" if target["is_draining"] else "serving",
                }
        return model

    def check_whole(self):
        """Each version is consistent in itself."""
        targets = {name: keys for (kind, name), keys in self.model.items() if kind == "target"}
        for name, keys in targets.items():
            assert ("zone", keys["zone"]) in self.model, name
            assert ("service", name.partition("/")[0]) in self.model, name
        addresses = [keys["address"] for keys in targets.values()]
        assert len(set(addresses)) == len(addresses), addresses

    def settle(self):
        """Once the platform is well, each note is decided, and the audit has each accepted one."""
        while self.platform.late:
            self.deliver()
        for operator in OPERATORS:
            self.finish(operator)
        undecided = set(self.notes) - set(self.accepted) - self.refused
        for note_id in sorted(undecided) + sorted(self.notes):
            self.begin("ana", *self.notes[note_id])
            self.finish("ana")
            self.told_outcomes_hold()
        for note_id in self.notes:
            assert note_id in self.accepted or note_id in self.refused, note_id
        # The newest version may be in the head only; its audit object is due before the next one.
        newest = self.platform.objects["head"][-1]["history"][-1]
        older = range(1, len(self.versions))
        audit = [self.platform.objects[f"audit/{v}"][0] for v in older] + [newest]
        assert self.platform.objects.get(f"audit/{len(audit)}", [newest])[0] == newest
        assert [entry["note_id"] for entry in audit] == self.versions
        assert [entry["version"] for entry in audit] == list(range(1, len(audit) + 1))
        self.check_records()

    def check_records(self):
        listed = [name for name in self.platform.objects if name.startswith("refusal/")]
        assert len(listed) == len({name.partition(".")[2] for name in listed}), listed
        for name, values in self.platform.objects.items():
            if not name.startswith("note/"):
                continue
            record = values[-1]
            is_accepted = record["note_id"] in self.versions
            assert (record["state"] == "accepted") == is_accepted, record
            if record["state"] == "refused":
                assert any(item.endswith(f".{name[5:]}") for item in listed), name


def is_head_write(call):
    return not isinstance(call, publishing.Read) and call.name == "head"


Publishing.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=not IS_FUZZ,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class PublishingTest(Publishing.TestCase):
    """Guards against lost, doubled, undone and wrongly reported releases under faults."""


if __name__ == "__main__":
    unittest.main()
