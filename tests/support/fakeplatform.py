"""The platform's objects in memory, for steps of publishing without a network."""

from orioleloft_core import publishing
from orioleloft_core.errors import ConflictError


class FakePlatform:
    """Objects in memory, each with all its values, and writes that will be delivered late."""

    def __init__(self):
        self.objects = {}
        self.late = []

    def read(self, name, is_stale=False):
        """Returns the newest value, or the one before it; None if there is none."""
        values = self.objects.get(name, [])
        version = len(values) - (1 if is_stale and values else 0)
        return publishing.Found(version, values[version - 1]) if version else None

    def write(self, call):
        """Runs a `Create` or an `Update` and returns the new version."""
        values = self.objects.setdefault(call.name, [])
        if len(values) != getattr(call, "version", 0):
            raise ConflictError(call.name)
        values.append(call.value)
        return len(values)

    def run(self, steps):
        """Runs the steps to their end without faults and returns their result."""
        try:
            call = next(steps)
            while True:
                try:
                    result = self.execute(call)
                except ConflictError as error:
                    call = steps.throw(error)
                else:
                    call = steps.send(result)
        except StopIteration as end:
            return end.value

    def execute(self, call):
        """Runs one call."""
        if isinstance(call, publishing.Read):
            return tuple(map(self.read, call.names))
        return self.write(call)
