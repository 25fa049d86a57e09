"""Fakes of targets for the driver: slots, a waiting line, cold start, stragglers, restarts."""

import collections
import dataclasses
import random
from collections.abc import Callable

from orioleloft_core.catalog import Service, Target
from orioleloft_core.request import DispatchResult, Ending, LoadReport, Warmth

# Lognormal service time; sigma 0.6 gives a p99 of about 3.4 times the mean.
SERVICE_SIGMA = 0.6
STRAGGLER_FACTOR = 8.0
# Answers after which a restarted target counts as warm.
COLD_ANSWERS = 20
# Requests in flight at which a cold target falls over.
COLD_BREAKING_POINT = 3
COLD_FACTOR = 3.0


@dataclasses.dataclass
class Job:
    """One request at a target."""

    deadline: float
    done: Callable[[DispatchResult], None]
    is_cancelled: bool = False
    is_finished: bool = False


class FakeTarget:
    """One target process with first-come-first-served slots."""

    def __init__(
        self,
        target: Target,
        service: Service,
        rng: random.Random,
        schedule: Callable[[float, Callable[[], None]], None],
        clock: Callable[[], float],
    ) -> None:
        """Builds a warm target.

        Args:
            target: its place in the catalog.
            service: its limits; `service_ms` is the mean service time.
            rng: random source.
            schedule: calls a function after a delay in seconds.
            clock: current simulated time in seconds.
        """
        self.target = target
        self._service = service
        self._rng = rng
        self._schedule = schedule
        self._clock = clock
        self._queue: collections.deque[Job] = collections.deque()
        self._running: set[int] = set()
        self._jobs: dict[int, Job] = {}
        self._answers_left_cold = 0
        self.incarnation = 0
        self.is_straggler = False
        self.met_full = 0
        self.arrivals = 0
        self.fell_over = 0
        self.max_in_flight_cold = 0
        self.last_arrival = 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the process has started and not warmed up."""
        return self._answers_left_cold > 0

    @property
    def in_flight(self) -> int:
        """Requests running and waiting."""
        return len(self._jobs)

    def report(self) -> LoadReport:
        """Load report as of now."""
        warmth = Warmth.COLD if self.is_cold else Warmth.WARM
        return LoadReport(f"i{self.incarnation}", self.in_flight, warmth)

    def restart(self, is_cold: bool = True) -> None:
        """Breaks all connections and starts again."""
        jobs, self._jobs = list(self._jobs.values()), {}
        self._queue.clear()
        self._running.clear()
        self.incarnation += 1
        self._answers_left_cold = COLD_ANSWERS if is_cold else 0
        for job in jobs:
            self._finish(job, DispatchResult(Ending.BROKEN))

    def accept(self, job: Job) -> None:
        """Takes a request that has arrived."""
        now = self._clock()
        self.last_arrival = now
        self.arrivals += 1
        self._jobs[id(job)] = job
        if self.is_cold:
            self.max_in_flight_cold = max(self.max_in_flight_cold, self.in_flight)
            if self.in_flight >= COLD_BREAKING_POINT:
                self.fell_over += 1
                self.restart()
                return
        if len(self._running) >= self._service.slots:
            self.met_full += 1
        self._queue.append(job)
        self._start_next()

    def cancel(self, job: Job) -> None:
        """Stops a request whose connection was closed."""
        job.is_cancelled = True
        if id(job) in self._jobs:
            self._leave(job)

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self._service.slots:
            job = self._queue.popleft()
            if id(job) not in self._jobs:
                continue
            self._running.add(id(job))
            self._run(job)

    def _run(self, job: Job) -> None:
        seconds = self._draw_seconds()
        incarnation = self.incarnation
        is_late = self._clock() + seconds > job.deadline
        delay = max(0.0, job.deadline - self._clock()) if is_late else seconds

        def end() -> None:
            if self.incarnation != incarnation or id(job) not in self._jobs:
                return
            self._answers_left_cold = max(0, self._answers_left_cold - 1)
            self._leave(job)
            ending = Ending.TIMED_OUT if is_late else Ending.ANSWERED
            self._finish(
                job,
                DispatchResult(ending, 200, (), b"", self.report(), seconds * 1000, True),
            )

        self._schedule(delay, end)

    def _draw_seconds(self) -> float:
        mean = self._service.service_ms / 1000
        drawn = self._rng.lognormvariate(-(SERVICE_SIGMA**2) / 2, SERVICE_SIGMA) * mean
        if self.is_straggler:
            drawn *= STRAGGLER_FACTOR
        return drawn * COLD_FACTOR if self.is_cold else drawn

    def _leave(self, job: Job) -> None:
        del self._jobs[id(job)]
        self._running.discard(id(job))
        self._start_next()

    def _finish(self, job: Job, result: DispatchResult) -> None:
        if job.is_finished or job.is_cancelled:
            return
        job.is_finished = True
        job.done(result)
