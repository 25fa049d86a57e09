"""Target processes under a test clock: slots are counted, not enforced, and faults are set."""

import itertools

from orioleloft_core.request import DispatchResult, Ending, LoadReport, Warmth

# Time of a message between a node and a target; below the least delay between two nodes, so that
# a cancellation reaches a target before a request that uses the freed grant.
LINK_S = 0.0003
SERVICE_S = 0.012
# Answers after which a process calls itself warm.
WARM_ANSWERS = 6


class Connection:
    """A connection of a node's process to a target process."""

    def __init__(self, server):
        self.server, self.is_open, self.has_answered, self.is_busy = server, True, False, False


class Job:
    """One request at a target process."""

    def __init__(self, request, connection, deadline, done):
        self.request, self.connection = request, connection
        self.deadline, self.done, self.is_over = deadline, done, False


class Server:
    """One process of a target."""

    def __init__(self, number):
        self.incarnation = f"t{number}"
        self.connections, self.jobs, self.answers = [], [], 0


class FakeTarget:
    """One target; the oracle in `world` hears of each request that runs."""

    def __init__(self, world, target_id):
        self.world, self.id, self.numbers = world, target_id, itertools.count(1)
        self.server = Server(next(self.numbers))
        self.heal()

    def heal(self):
        self.slowness, self.hang, self.shed, self.break_off = 1.0, 0.0, 0.0, 0.0
        self.reports, self.is_draining = "true", False

    def connect(self):
        """Returns a connection, or None while no process listens."""
        if self.server is None:
            return None
        connection = Connection(self.server)
        self.server.connections.append(connection)
        return connection

    def restart(self, down_s):
        """Ends the process and all connections; a cold one listens after `down_s`."""
        server, self.server = self.server, None
        if server is None:
            return
        for connection in server.connections:
            connection.is_open = False
        for job in list(server.jobs):
            self.end(server, job, DispatchResult(Ending.BROKEN))
        self.world.later(down_s, self.start)

    def start(self):
        self.server = self.server or Server(next(self.numbers))

    def report(self, server):
        rng = self.world.rng
        warmth = Warmth.WARM if server.answers >= WARM_ANSWERS else Warmth.COLD
        in_flight = len(server.jobs)
        if self.reports == "lying":
            warmth, in_flight = rng.choice((Warmth.WARM, Warmth.COLD)), rng.randrange(9)
        elif self.reports == "lagging":
            warmth, in_flight = Warmth.WARM, 0
        if self.is_draining:
            warmth = Warmth.DRAINING
        return LoadReport(server.incarnation, in_flight, warmth)

    def accept(self, job):
        """Takes a request whose bytes have arrived."""
        server, rng = job.connection.server, self.world.rng
        if job.is_over:
            return
        if not job.connection.is_open or server is not self.server:
            self.finish(job, DispatchResult(Ending.BROKEN))
            return
        if rng.random() < self.shed:
            self.finish(job, DispatchResult(Ending.SHED, 503, report=self.report(server)))
            return
        server.jobs.append(job)
        self.world.oracle.on_run(self, server, job)
        left = max(0.0, job.deadline - self.world.now)
        hangs = rng.random() < self.hang
        needed = 60.0 if hangs else SERVICE_S * self.slowness * rng.lognormvariate(0, 0.5)
        if rng.random() < self.break_off:
            self.world.later(min(needed, left), lambda: self.drop(server, job))
        elif needed < left:
            self.world.later(needed, lambda: self.answer(server, job))
        else:
            self.world.later(left, lambda: self.stop(server, job))

    def answer(self, server, job):
        if job not in server.jobs:
            return
        server.answers += 1
        body = job.request.body + f"|{server.incarnation}".encode()
        result = DispatchResult(Ending.ANSWERED, 200, (), body, self.report(server))
        self.end(server, job, result)

    def drop(self, server, job):
        """Closes the connection instead of an answer."""
        if job in server.jobs:
            job.connection.is_open = False
            self.end(server, job, DispatchResult(Ending.BROKEN))

    def stop(self, server, job):
        """Ends work whose deadline has passed or whose connection was closed; nothing is sent."""
        if job in server.jobs:
            server.jobs.remove(job)

    def end(self, server, job, result):
        server.jobs.remove(job)
        self.finish(job, result)

    def finish(self, job, result):
        self.world.later(LINK_S, lambda: job.done(result))
