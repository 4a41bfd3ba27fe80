//! Handles a gateway's run command: queues the request, runs it and relays the response.

use futures::StreamExt;
use guavaspread_engine::{BackendRequest, Category, Error, ResponsePart, ResponseStream};
use guavaspread_placement::{QueuedRequest, QueuedRequestKey};
use guavaspread_telemetry::{set_remote_parent, traceparent_of};
use guavaspread_wire::{EngineDigest, FrameSender, RunCommand, RunEvent};
use tokio::sync::oneshot;
use tracing::Instrument;

use crate::dispatcher::Dispatcher;
use crate::engine_dispatcher::{Admission, EngineDispatcher};
use crate::prelude::*;

/// Limits the attempts to start a request on an engine that reports its adapter as not loaded.
const RUN_ATTEMPTS_MAX: u32 = 3;
const LIST_ADAPTERS_TIMEOUT: Duration = Duration::from_millis(500);

/// Describes how a run ended.
enum RunEnd {
    Completed,
    Refused(Refusal),
    /// The gateway has cancelled the request.
    Cancelled,
}

/// Removes a request from the engine's queue when dropped.
struct QueueGuard {
    engine: Rc<EngineDispatcher>,
    key: QueuedRequestKey,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.engine.remove_request(self.key);
    }
}

/// Handles a run command and sends its events to the gateway.
pub(crate) async fn handle_run(
    dispatcher: Rc<Dispatcher>,
    command: RunCommand,
    mut tx: FrameSender,
) {
    let span =
        tracing::info_span!("dispatch", engine = %command.engine, adapter = %command.adapter);
    set_remote_parent(&span, &command.trace.traceparent);
    dispatcher.on_run_started();
    let end = run_until_deadline(&dispatcher, command, &mut tx).instrument(span).await;
    dispatcher.on_run_ended();
    let last_event = match end {
        RunEnd::Completed => {
            dispatcher.metrics.completed.inc();
            RunEvent::Done
        }
        RunEnd::Refused(refusal) => {
            dispatcher.count_refusal(refusal.code);
            RunEvent::Refused(refusal)
        }
        RunEnd::Cancelled => return,
    };
    if let Err(e) = tx.send(&last_event).await {
        log::debug!("the last event of a run was not sent to the gateway: {e}");
        return;
    }
    tx.finish();
}

async fn run_until_deadline(
    dispatcher: &Rc<Dispatcher>,
    command: RunCommand,
    tx: &mut FrameSender,
) -> RunEnd {
    let cancelled = tx.cancelled();
    let timeout = Duration::from_millis(command.timeout_ms.into());
    let has_started = Rc::new(Cell::new(false));
    let run = queue_and_run(dispatcher, command, tx, has_started.clone());
    tokio::select! {
        end = run => end,
        () = cancelled => RunEnd::Cancelled,
        () = ntex::time::sleep(timeout) => RunEnd::Refused(deadline_refusal(has_started.get())),
    }
}

async fn queue_and_run(
    dispatcher: &Rc<Dispatcher>,
    command: RunCommand,
    tx: &mut FrameSender,
    has_started: Rc<Cell<bool>>,
) -> RunEnd {
    let engine = match dispatcher.find_accepting(&command.engine) {
        Ok(engine) => engine,
        Err(refusal) => return RunEnd::Refused(refusal),
    };
    let (key, mut admission) =
        match engine.submit(queued_request(&command, engine.now()), command.demand.into()) {
            Ok(submitted) => submitted,
            Err(refusal) => return RunEnd::Refused(refusal),
        };
    let _queue_guard = QueueGuard { engine: engine.clone(), key };
    for _ in 0..RUN_ATTEMPTS_MAX {
        if let Err(refusal) = wait_for_admission(admission).await {
            return RunEnd::Refused(refusal);
        }
        let _in_flight = engine.track_in_flight();
        has_started.set(true);
        match engine.backend().send(backend_request(dispatcher, &command)).await {
            Ok(parts) => {
                let digest = engine.digest(&dispatcher.host).map(Box::new);
                let end =
                    relay_response(dispatcher, parts, digest, command.events_delivered, tx).await;
                return refine_end(&engine, &command, end).await;
            }
            Err(e) if e.is_not_loaded() => {
                has_started.set(false);
                admission = engine.requeue(key);
            }
            Err(e) => return refine_end(&engine, &command, RunEnd::Refused(refusal_of(&e))).await,
        }
    }
    RunEnd::Refused(Refusal::not_run(
        Code::LoadFailed,
        "the engine repeatedly reported the adapter as not loaded",
    ))
}

/// Distinguishes a crashed engine from a broken connection after a cut response.
///
/// A crashed engine is unreachable, or has restarted without the adapter.
async fn refine_end(engine: &Rc<EngineDispatcher>, command: &RunCommand, end: RunEnd) -> RunEnd {
    let RunEnd::Refused(refusal) = end else {
        return end;
    };
    if refusal.code != Code::Cut {
        return RunEnd::Refused(refusal);
    }
    let backend = engine.backend();
    let adapters = ntex::time::timeout(LIST_ADAPTERS_TIMEOUT, backend.list_adapters()).await;
    let has_adapter = matches!(adapters, Ok(Ok(adapters)) if adapters.contains(&command.adapter));
    let code = if has_adapter { Code::Cut } else { Code::BackendCrashed };
    RunEnd::Refused(Refusal { code, ..refusal })
}

async fn wait_for_admission(admission: oneshot::Receiver<Admission>) -> Admission {
    let queue_dropped = || Refusal::not_run(Code::Stopping, "the engine's queue was dropped");
    admission.await.unwrap_or_else(|_| Err(queue_dropped()))
}

/// Relays a response without the first `skip` events, which the caller has already received.
async fn relay_response(
    dispatcher: &Dispatcher,
    mut parts: ResponseStream,
    digest: Option<Box<EngineDigest>>,
    mut skip: u32,
    tx: &mut FrameSender,
) -> RunEnd {
    while let Some(part) = parts.next().await {
        let event = match part {
            Ok(ResponsePart::Done) => return RunEnd::Completed,
            Ok(ResponsePart::Head { status, content_type }) => {
                RunEvent::ResponseHead { status, content_type, digest: digest.clone() }
            }
            Ok(ResponsePart::Data(_)) if skip > 0 => {
                skip -= 1;
                continue;
            }
            Ok(ResponsePart::Data(data)) => RunEvent::Data(data),
            Err(e) => return RunEnd::Refused(refusal_of(&e)),
        };
        dispatcher.metrics.events.inc();
        if tx.send(&event).await.is_err() {
            return RunEnd::Cancelled;
        }
    }
    RunEnd::Refused(Refusal::maybe_ran(Code::Cut, "the response ended without an end marker"))
}

fn queued_request(command: &RunCommand, now: Duration) -> QueuedRequest {
    QueuedRequest {
        adapter: command.adapter.clone(),
        arrived_at: now,
        deadline: now + Duration::from_millis(command.timeout_ms.into()),
        worth: command.worth,
        priority: command.priority,
        exclusive: command.exclusive,
    }
}

fn backend_request(dispatcher: &Dispatcher, command: &RunCommand) -> BackendRequest {
    BackendRequest {
        id: command.id,
        method: "POST".to_owned(),
        path: command.path.clone(),
        content_type: command.content_type.clone(),
        body: command.body.clone(),
        stream: command.stream,
        idle_timeout_ms: dispatcher.limits.silence_ms.min(command.timeout_ms.max(1)),
        traceparent: traceparent_of(&tracing::Span::current()),
    }
}

fn refusal_of(error: &Error) -> Refusal {
    match error.classify() {
        Category::NotSent | Category::Refused => {
            Refusal::not_run(Code::NoBackend, error.to_string()).with_retry_after_ms(1_000)
        }
        Category::MaybeExecuted => Refusal::maybe_ran(Code::Cut, error.to_string()),
    }
}

fn deadline_refusal(has_started: bool) -> Refusal {
    match has_started {
        true => Refusal::maybe_ran(Code::DeadlinePassed, "the deadline passed during the run"),
        false => Refusal::not_run(
            Code::DeadlineUnreachable,
            "the request was still queued at its deadline",
        )
        .with_retry_after_ms(1_000),
    }
}
