"""Executes the effects of the agent's reducer."""

import asyncio
import itertools
import logging
from collections.abc import Callable

from heatherswitch.agent import effects as fx
from heatherswitch.agent import events as ev
from heatherswitch.agent.backend import BackendCall, BackendClient, BackendError, Usage
from heatherswitch.agent.claim_adapter import ClaimAdapter, ClaimRequest
from heatherswitch.agent.messages import execute_received
from heatherswitch.agent.metrics import AgentMetrics
from heatherswitch.agent.reducer import AgentReducer
from heatherswitch.agent.request_policy import Identity
from heatherswitch.agent.response_buffer import BufferSink, ResponseBuffer
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.outcomes import OutcomeUnknown
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.statecore.reducer import Effect, Event, Log, write_log

log = logging.getLogger("heatherswitch.agent")

# No more of a body is kept for the journal once this many bytes are. The journal stores
# responses up to 4 KB, and of a longer one only that it is complete.
RECORD_LIMIT_BYTES = 64 * 1024

PartitionOf = Callable[[str, str, str, int], int]


class Job:
    """A request with its response buffer and the tasks that run it.

    :ivar claim_request: set once a claim is being recorded.
    """

    __slots__ = (
        "call_task",
        "claim_request",
        "claim_task",
        "request",
        "response",
        "sink",
        "usage",
    )

    def __init__(self, request: pb.ExecuteRequest, response: ResponseBuffer) -> None:
        self.request = request
        self.response = response
        self.call_task: asyncio.Task | None = None
        self.claim_task: asyncio.Task | None = None
        self.sink: BufferSink | None = None
        self.claim_request: ClaimRequest | None = None
        self.usage = Usage()


class AgentRunner:
    """Passes events to the reducer and executes its effects.

    :param identity: identity of this agent process.
    :param now: returns the monotonic time in seconds.
    :param partition_of: returns the claim partition of a service, workspace and
        idempotency key; takes the number of partitions last.
    """

    def __init__(
        self,
        identity: Identity,
        backend: BackendClient,
        claims: ClaimAdapter,
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
        # Workspace and request id to the id of the newest job.
        self._job_id_by_request: dict[tuple[str, str], str] = {}
        self._job_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        # Starts an exchange with routers at once; set after the fleet node was built.
        self.fetch_config: Callable[[], object] | None = None

    @property
    def reducer(self) -> AgentReducer:
        """The reducer that makes the agent's decisions."""
        return self._reducer

    def set_config(self, config: FleetConfig) -> None:
        """Makes a configuration effective."""
        self._config = config
        self.post(ev.ConfigChanged(self._now(), config))

    def post(self, event: Event) -> None:
        """Applies an event and executes its effects."""
        for effect in self._reducer.apply(event):
            self._run_effect(effect)

    def execute(self, request: pb.ExecuteRequest) -> ResponseBuffer:
        """Starts a request and returns the buffer that receives its response.

        A repeated request with the same id and content joins the running one.

        :raises RequestIdInUse: if a running request has the same id and other content.
        """
        job_id = f"{request.workspace}/{request.request_id}/{next(self._job_numbers)}"
        event = execute_received(self._now(), job_id, request)
        existing = self.find(request.workspace, request.request_id)
        if existing is not None and existing.outcome is None:
            if existing.fingerprint == event.fingerprint:
                return existing
            raise RequestIdInUse
        response = ResponseBuffer(job_id, event.fingerprint)
        self._jobs[job_id] = Job(request, response)
        self._job_id_by_request[request.workspace, request.request_id] = job_id
        self.post(event)
        return response

    def find(self, workspace: str, request_id: str) -> ResponseBuffer | None:
        """Returns the response of a running or recently finished request, or None."""
        job_id = self._job_id_by_request.get((workspace, request_id))
        return self._jobs[job_id].response if job_id else None

    def tick(self) -> None:
        """Checks deadlines and removes responses that can no longer be resumed."""
        now = self._now()
        self.post(ev.Tick(now))
        window_s = self._setting("limits.resume_window_s", 2.0)
        for job_id, job in list(self._jobs.items()):
            response = job.response
            ended = response.outcome is not None or response.linked is not None
            claiming = job.claim_task is not None and not job.claim_task.done()
            # A claim that is recorded after the job was refused must be abandoned.
            if not ended or response.attached or claiming:
                continue
            if now - response.ended_at >= window_s:
                self._remove(job_id, job)

    async def drain(self) -> None:
        """Waits until no job and no journal call is running."""
        while self._tasks or not self._reducer.idle:
            if self._tasks:
                await asyncio.wait(list(self._tasks), timeout=0.1)
            else:
                await asyncio.sleep(0.05)

    def cancel_all(self) -> None:
        """Cancels all tasks without waiting for them."""
        for task in list(self._tasks):
            task.cancel()

    def _remove(self, job_id: str, job: Job) -> None:
        del self._jobs[job_id]
        key = (job.request.workspace, job.request.request_id)
        if self._job_id_by_request.get(key) == job_id:
            del self._job_id_by_request[key]

    def _setting(self, name: str, default):
        if self._config is None:
            return default
        own = self._identity
        settings = self._config.settings(own.service, own.zone, version=own.version)
        return settings.get(name)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("agent task failed", exc_info=task.exception())

    # Effects.

    def _run_effect(self, effect: Effect) -> None:
        if isinstance(effect, Log):
            write_log(effect, log)
        elif isinstance(effect, fx.FetchConfig):
            if self.fetch_config is not None:
                self._spawn(self.fetch_config())
        elif not isinstance(effect, fx.Admit):
            self._run_job_effect(self._jobs[effect.job_id], effect)

    def _run_job_effect(self, job: Job, effect: Effect) -> None:
        match effect:
            case fx.StartBackend():
                self._start(job, effect)
            case fx.Refuse():
                self._metrics.refused(job.request, effect.outcome.reason)
                job.response.end(self._now(), effect.outcome)
            case fx.Fail():
                self._metrics.failed(job.request, effect.outcome.code)
                job.response.end(self._now(), effect.outcome)
            case fx.Complete():
                self._complete(job, effect)
            case fx.CancelBackend():
                job.call_task.cancel()
            case fx.RecordClaim():
                job.claim_task = self._spawn(self._claim(job))
            case fx.AbandonClaim():
                self._spawn(self._claims.abandon(job.claim_request))
            case fx.ReplayOutcome():
                self._spawn(self._replay(job, effect.response))
            case fx.AttachTo():
                self._attach(job, effect.other_job_id)

    def _start(self, job: Job, effect: fx.StartBackend) -> None:
        self._metrics.started(job.request, effect.queued_s)
        job.call_task = self._spawn(self._call(job, effect))

    async def _call(self, job: Job, effect: fx.StartBackend) -> None:
        job_id = effect.job_id
        record_limit_bytes = RECORD_LIMIT_BYTES if effect.epoch else 0
        job.sink = BufferSink(
            job.response,
            lambda status: self.post(ev.BackendFirstByte(self._now(), job_id, status)),
            record_limit_bytes,
        )
        try:
            job.usage = await self._backend.call(
                self._build_call(job, effect), job.sink
            )
        except BackendError as error:
            failed = ev.BackendFailed(
                self._now(), job_id, error.sent, error.code, str(error)
            )
            self.post(failed)
            return
        except Exception as error:
            log.exception("unexpected error in a call to the backend server")
            self.post(
                ev.BackendFailed(self._now(), job_id, True, "internal", repr(error))
            )
            return
        status = job.response.head[0]
        computed_tokens = job.usage.computed_tokens
        self.post(ev.BackendFinished(self._now(), job_id, status, computed_tokens))

    def _build_call(self, job: Job, effect: fx.StartBackend) -> BackendCall:
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
            stall_timeout_s=self._setting("limits.progress_timeout_s", 3.0),
        )

    def _fencing_scope(self, job: Job) -> str:
        if job.claim_request is None:
            return ""
        return f"{self._identity.service}/{job.claim_request.partition}"

    def _complete(self, job: Job, effect: fx.Complete) -> None:
        self._metrics.finished(job.request, effect.service_s, job.usage)
        job.response.end(self._now(), job.response.complete_response(job.usage))
        if effect.claimed:
            status, headers = job.response.head
            body = bytes(job.sink.recorded_body)
            self._spawn(self._claims.complete(job.claim_request, status, headers, body))

    async def _claim(self, job: Job) -> None:
        request, response = job.request, job.response
        key = request.idempotency_key
        partitions = self._setting("partitions", 8)
        partition = self._partition_of(
            self._identity.service, request.workspace, key, partitions
        )
        job.claim_request = ClaimRequest(
            response.job_id, request.workspace, key, response.fingerprint, partition
        )
        self.post(await self._claims.claim(job.claim_request))

    async def _replay(self, job: Job, stored: ev.StoredResponse) -> None:
        job.response.replayed = True
        headers = [*stored.headers, ("Idempotency-Replayed", "true")]
        job.response.set_head(stored.status, headers)
        await job.response.append(stored.body)
        job.response.end(self._now(), job.response.complete_response(Usage()))

    def _attach(self, job: Job, other_job_id: str) -> None:
        other = self._jobs.get(other_job_id)
        job.response.ended_at = self._now()
        if other is None or other.response.base > 0 or other is job:
            # The other response can no longer be read from its start.
            job.response.end(self._now(), OutcomeUnknown("answer_not_retained"))
        else:
            job.response.redirect_readers(other.response)


class RequestIdInUse(Exception):
    """A running request of the workspace has the same id and other content."""
