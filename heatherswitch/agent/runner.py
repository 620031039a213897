"""Runs the effects of the agent's reducer."""

import asyncio
import itertools
import logging
from collections.abc import Callable

from heatherswitch.agent import effects as fx
from heatherswitch.agent import events as ev
from heatherswitch.agent.answers import AnswerBuffer, BufferSink
from heatherswitch.agent.backend import BackendCall, BackendClient, BackendError, Usage
from heatherswitch.agent.claiming import Claims, ClaimTarget
from heatherswitch.agent.gate import Identity
from heatherswitch.agent.messages import execute_received
from heatherswitch.agent.metrics import AgentMetrics
from heatherswitch.agent.reducer import AgentReducer
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.outcomes import OutcomeUnknown
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.statecore.reducer import Effect, Event, Log, write_log

log = logging.getLogger("heatherswitch.agent")

# Body bytes that are kept for the journal. It stores answers up to 4 KB and records
# a longer one as done without its answer, so the rest is not needed.
RECORDED_BODY_BYTES = 64 * 1024

PartitionOf = Callable[[str, str, str, int], int]


class Job:
    """A request with its answer and the task that calls the backend server."""

    __slots__ = (
        "answer",
        "call_task",
        "claim_task",
        "request",
        "sink",
        "target",
        "usage",
    )

    def __init__(self, request: pb.ExecuteRequest, answer: AnswerBuffer) -> None:
        self.request = request
        self.answer = answer
        self.call_task: asyncio.Task | None = None
        self.claim_task: asyncio.Task | None = None
        self.sink: BufferSink | None = None
        self.target: ClaimTarget | None = None
        self.usage = Usage()


class AgentRunner:
    """Passes events to the reducer and executes what it decides.

    :param identity: who the agent is.
    :param now: returns the time in seconds.
    :param partition_of: ``fleet.partitions.partition_of``.
    """

    def __init__(
        self,
        identity: Identity,
        backend: BackendClient,
        claims: Claims,
        metrics: AgentMetrics,
        now: Callable[[], float],
        partition_of: PartitionOf,
    ) -> None:
        self._reducer = AgentReducer(identity)
        self._backend = backend
        self._claims = claims
        self._metrics = metrics
        self._now = now
        self._partition_of = partition_of
        self._config: FleetConfig | None = None
        self._identity = identity
        self._jobs: dict[str, Job] = {}
        # Workspace and request id to the newest work.
        self._by_request: dict[tuple[str, str], str] = {}
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        # Starts an exchange at once; set by the shell.
        self.fetch_config: Callable[[], object] | None = None

    @property
    def reducer(self) -> AgentReducer:
        """The agent's decisions."""
        return self._reducer

    def set_config(self, config: FleetConfig) -> None:
        """Puts a configuration in force."""
        self._config = config
        self.post(ev.ConfigChanged(self._now(), config))

    def post(self, event: Event) -> None:
        """Applies an event and runs its effects."""
        for effect in self._reducer.apply(event):
            self._run(effect)

    def execute(self, request: pb.ExecuteRequest) -> AnswerBuffer:
        """Takes a request and returns where its answer arrives."""
        work_id = f"{request.workspace}/{request.request_id}/{next(self._numbers)}"
        event = execute_received(self._now(), work_id, request)
        known = self.find(request.workspace, request.request_id)
        if known is not None and known.ending is None:
            if known.fingerprint == event.fingerprint:
                return known
            raise RequestIdInUse
        answer = AnswerBuffer(work_id, event.fingerprint)
        self._jobs[work_id] = Job(request, answer)
        self._by_request[request.workspace, request.request_id] = work_id
        self.post(event)
        return answer

    def find(self, workspace: str, request_id: str) -> AnswerBuffer | None:
        """Returns a running or recently finished answer of a workspace."""
        work_id = self._by_request.get((workspace, request_id))
        return self._jobs[work_id].answer if work_id else None

    def tick(self) -> None:
        """Passes the time on and drops answers that nobody may resume any more."""
        now = self._now()
        self.post(ev.Tick(now))
        window_s = self._setting("limits.resume_window_s", 2.0)
        for work_id, job in list(self._jobs.items()):
            answer = job.answer
            ended = answer.ending is not None or answer.linked is not None
            claiming = job.claim_task is not None and not job.claim_task.done()
            # A late claim of refused work must still be abandoned.
            if not ended or answer.attached or claiming:
                continue
            if now - answer.ended_at >= window_s:
                self._forget(work_id, job)

    async def drain(self) -> None:
        """Waits until no work and no journal call is running."""
        while self._tasks or not self._reducer.idle:
            if self._tasks:
                await asyncio.wait(list(self._tasks), timeout=0.1)
            else:
                await asyncio.sleep(0.05)

    def cancel_all(self) -> None:
        """Cancels every task."""
        for task in list(self._tasks):
            task.cancel()

    def _forget(self, work_id: str, job: Job) -> None:
        del self._jobs[work_id]
        key = (job.request.workspace, job.request.request_id)
        if self._by_request.get(key) == work_id:
            del self._by_request[key]

    def _setting(self, name: str, default):
        if self._config is None:
            return default
        own = self._identity
        settings = self._config.settings(own.service, own.zone, version=own.version)
        return settings.get(name)

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception())

    # Effects.

    def _run(self, effect: Effect) -> None:
        if isinstance(effect, Log):
            write_log(effect, log)
        elif isinstance(effect, fx.FetchConfig):
            if self.fetch_config is not None:
                self._spawn(self.fetch_config())
        elif not isinstance(effect, fx.Admit):
            self._run_for(self._jobs[effect.work_id], effect)

    def _run_for(self, job: Job, effect: Effect) -> None:
        match effect:
            case fx.StartBackend():
                self._start(job, effect)
            case fx.Refuse():
                self._metrics.refused(job.request, effect.outcome.reason)
                job.answer.end(self._now(), effect.outcome)
            case fx.Fail():
                self._metrics.failed(job.request, effect.outcome.code)
                job.answer.end(self._now(), effect.outcome)
            case fx.Complete():
                self._complete(job, effect)
            case fx.CancelBackend():
                job.call_task.cancel()
            case fx.RecordClaim():
                job.claim_task = self._spawn(self._claim(job))
            case fx.AbandonClaim():
                self._spawn(self._claims.abandon(job.target))
            case fx.ReplayOutcome():
                self._spawn(self._replay(job, effect.answer))
            case fx.AttachTo():
                self._attach(job, effect.other_id)

    def _start(self, job: Job, effect: fx.StartBackend) -> None:
        self._metrics.started(job.request, effect.queued_s)
        job.call_task = self._spawn(self._call(job, effect))

    async def _call(self, job: Job, effect: fx.StartBackend) -> None:
        work_id = effect.work_id
        record_bytes = RECORDED_BODY_BYTES if effect.epoch else 0
        job.sink = BufferSink(
            job.answer,
            lambda status: self.post(ev.BackendHead(self._now(), work_id, status)),
            record_bytes,
        )
        try:
            job.usage = await self._backend.call(self._call_for(job, effect), job.sink)
        except BackendError as error:
            failed = ev.BackendFailed(
                self._now(), work_id, error.sent, error.code, str(error)
            )
            self.post(failed)
            return
        except Exception as error:
            log.exception("call to the backend server failed")
            self.post(
                ev.BackendFailed(self._now(), work_id, True, "internal", repr(error))
            )
            return
        status = job.answer.head[0]
        computed = job.usage.computed_tokens
        self.post(ev.BackendFinished(self._now(), work_id, status, computed))

    def _call_for(self, job: Job, effect: fx.StartBackend) -> BackendCall:
        request = job.request
        return BackendCall(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=[(h.name, h.value) for h in request.headers],
            body=request.body,
            traceparent=request.traceparent,
            idempotent=request.idempotent,
            idempotency_key=request.idempotency_key,
            epoch=effect.epoch,
            scope=self._fencing_scope(job),
            workspace=request.workspace,
            priority=effect.priority,
            engine=self._setting("kind", "engine") == "engine",
            timeout_s=effect.timeout_s,
            silent_s=self._setting("limits.progress_timeout_s", 3.0),
        )

    def _fencing_scope(self, job: Job) -> str:
        if job.target is None:
            return ""
        return f"{self._identity.service}/{job.target.partition}"

    def _complete(self, job: Job, effect: fx.Complete) -> None:
        self._metrics.finished(job.request, effect.service_s, job.usage)
        job.answer.end(self._now(), job.answer.whole(job.usage))
        if effect.claimed:
            status, headers = job.answer.head
            body = bytes(job.sink.recorded)
            self._spawn(self._claims.complete(job.target, status, headers, body))

    async def _claim(self, job: Job) -> None:
        request, answer = job.request, job.answer
        key = request.idempotency_key
        partitions = self._setting("partitions", 8)
        partition = self._partition_of(
            self._identity.service, request.workspace, key, partitions
        )
        job.target = ClaimTarget(
            answer.work_id, request.workspace, key, answer.fingerprint, partition
        )
        self.post(await self._claims.claim(job.target))

    async def _replay(self, job: Job, stored: ev.StoredAnswer) -> None:
        job.answer.replayed = True
        headers = [*stored.headers, ("Idempotency-Replayed", "true")]
        job.answer.set_head(stored.status, headers)
        await job.answer.append(stored.body)
        job.answer.end(self._now(), job.answer.whole(Usage()))

    def _attach(self, job: Job, other_id: str) -> None:
        other = self._jobs.get(other_id)
        job.answer.ended_at = self._now()
        if other is None or other.answer.base > 0 or other is job:
            # The other answer can no longer be given in full.
            job.answer.end(self._now(), OutcomeUnknown("answer_not_retained"))
        else:
            job.answer.link(other.answer)


class RequestIdInUse(Exception):
    """A running request of the workspace has the same id and other content."""
