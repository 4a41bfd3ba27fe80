//! Handles operators' requests: changes, queries and status.

use guavaspread_config::{ConfigHead, Outcome};
use guavaspread_control::HEAD_KEY;
use guavaspread_model::{Change, KeyHash};
use guavaspread_query::{Statement, Table, parse};
use guavaspread_wire::StatusReply;
use ntex::web::types::{Json, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::completion::{bearer, current_config};
use crate::control::ControlRequest;
use crate::prelude::*;
use crate::problem::refusal_response;
use crate::routing_state::RoutingState;
use crate::tables;
use crate::worker::Worker;

const PROPOSAL_ATTEMPTS_MAX: u32 = 5;
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Accepted {
    revision: u64,
}

/// The reply to a statement.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum QueryReply {
    /// The result of a query.
    Table(Table),
    /// The changes were accepted as this revision.
    Accepted { revision: u64 },
    /// The changes are valid on top of this revision; nothing was proposed.
    Valid { changes: usize, revision: u64 },
}

/// The state of the deployment as seen from one gateway.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct DeploymentStatus {
    gateway: GatewayStatus,
    dispatchers: Vec<StatusReply>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct GatewayStatus {
    entry_host: Name,
    zone: Name,
    revision: u64,
    table_up: bool,
    in_doubt: bool,
}

/// Handles changes in JSON and responds once they are accepted or rejected.
pub(crate) async fn changes(
    worker: State<Rc<Worker>>,
    req: HttpRequest,
    changes: Json<Vec<Change>>,
) -> HttpResponse {
    let outcome = match authorize(&worker, &req) {
        Ok(()) => propose(&worker, changes.into_inner()).await,
        Err(refusal) => return refusal_response(&refusal),
    };
    match outcome {
        Outcome::Accepted(revision) => HttpResponse::Ok().json(&Accepted { revision }),
        Outcome::Rejected(refusal) | Outcome::InDoubt(refusal) => refusal_response(&refusal),
    }
}

/// Handles a statement of the query language.
pub(crate) async fn query(
    worker: State<Rc<Worker>>,
    req: HttpRequest,
    statement: String,
) -> HttpResponse {
    let reply = match authorize(&worker, &req) {
        Ok(()) => execute_statement(&worker, &statement).await,
        Err(refusal) => Err(refusal),
    };
    match reply {
        Ok(reply) => HttpResponse::Ok().json(&reply),
        Err(refusal) => refusal_response(&refusal),
    }
}

async fn execute_statement(worker: &Worker, text: &str) -> Result<QueryReply, Refusal> {
    let bad_statement =
        |e: guavaspread_query::Error| Refusal::not_run(Code::BadStatement, e.with_context(text));
    let routing = worker.routing()?;
    match parse(text).map_err(bad_statement)? {
        Statement::Show(query) => {
            let status = match tables::needs_status(query.source) {
                true => collect_status(worker).await,
                false => Vec::new(),
            };
            let table = tables::table(query.source, &routing, &status);
            query.select(table).map(QueryReply::Table).map_err(bad_statement)
        }
        Statement::DryRun(changes) => {
            wait_for_committed_head(worker).await;
            let routing = worker.routing()?;
            check_drained_hosts(&routing, &changes)?;
            let mut config = Config::clone(&*current_config(&routing)?);
            let revision = config.revision;
            config
                .apply_all(&changes, revision + 1)
                .map_err(|e| Refusal::not_run(e.code(), e.to_string()))?;
            Ok(QueryReply::Valid { changes: changes.len(), revision })
        }
        Statement::Change(changes) => {
            check_drained_hosts(&routing, &changes)?;
            match propose(worker, changes).await {
                Outcome::Accepted(revision) => Ok(QueryReply::Accepted { revision }),
                Outcome::Rejected(refusal) | Outcome::InDoubt(refusal) => Err(refusal),
            }
        }
    }
}

/// Refuses to drain a host that the platform does not list, which is usually a misspelt name.
fn check_drained_hosts(routing: &RoutingState, changes: &[Change]) -> Result<(), Refusal> {
    for change in changes {
        if let Change::Drain { host } = change
            && routing.snapshot.host(host).is_none()
        {
            let detail = format!("the platform lists no host `{host}`");
            return Err(Refusal::not_run(Code::UnknownHost, detail));
        }
    }
    Ok(())
}

/// Handles a status request: reports this gateway's state and that of every dispatcher.
pub(crate) async fn status(worker: State<Rc<Worker>>, req: HttpRequest) -> HttpResponse {
    if let Err(refusal) = authorize(&worker, &req) {
        return refusal_response(&refusal);
    }
    let gateway = match worker.routing() {
        Ok(routing) => gateway_status(&worker, &routing),
        Err(refusal) => return refusal_response(&refusal),
    };
    let dispatchers = collect_status(&worker).await;
    HttpResponse::Ok().json(&DeploymentStatus { gateway, dispatchers })
}

fn gateway_status(worker: &Worker, routing: &RoutingState) -> GatewayStatus {
    GatewayStatus {
        entry_host: worker.cfg.process.host.clone(),
        zone: worker.cfg.process.zone.clone(),
        revision: routing.snapshot.revision(),
        table_up: routing.snapshot.table_up,
        in_doubt: routing.snapshot.config_view.in_doubt.is_some(),
    }
}

/// Refuses a request whose bearer key is not an operator's.
pub(crate) fn authorize(worker: &Worker, req: &HttpRequest) -> Result<(), Refusal> {
    let key = bearer(req);
    let key =
        key.ok_or_else(|| Refusal::not_run(Code::BadKey, "send `Authorization: Bearer KEY`"))?;
    match worker.cfg.operator_keys.contains(&KeyHash::of(key)) {
        true => Ok(()),
        false => Err(Refusal::not_run(Code::NotOperator, "the key is not an operator's")),
    }
}

/// Proposes changes; retries if this gateway validated them against an outdated revision.
async fn propose(worker: &Worker, changes: Vec<Change>) -> Outcome {
    for _ in 0..PROPOSAL_ATTEMPTS_MAX {
        wait_for_committed_head(worker).await;
        let base = worker.routing().map_or(0, |routing| routing.snapshot.revision());
        let outcome = propose_once(worker, changes.clone()).await;
        let was_outdated =
            matches!(&outcome, Outcome::Rejected(r) if r.code == Code::ChangeConflict);
        if !was_outdated {
            return outcome;
        }
        wait_until_applied(worker, base + 1).await;
    }
    let detail = "other changes were accepted first on every attempt";
    Outcome::Rejected(Refusal::not_run(Code::ChangeConflict, detail).with_retry_after_ms(1_000))
}

async fn propose_once(worker: &Worker, changes: Vec<Change>) -> Outcome {
    let (reply, outcome) = oneshot::channel();
    let not_proposed = || Refusal::not_run(Code::Stopping, "the gateway is stopping");
    if worker.control.requests.send(ControlRequest::Propose { changes, reply }).is_err() {
        return Outcome::Rejected(not_proposed());
    }
    let outcome_lost = || Refusal::maybe_ran(Code::ChangeInDoubt, "the gateway is stopping");
    let outcome = outcome.await.unwrap_or_else(|_| Outcome::InDoubt(outcome_lost()));
    if let Outcome::Accepted(revision) = outcome {
        wait_until_applied(worker, revision).await;
    }
    outcome
}

/// Waits until this gateway has applied the committed revision of the table's head row.
async fn wait_for_committed_head(worker: &Worker) {
    let row = worker.platform.get(HEAD_KEY).await.ok().flatten();
    let head = row.and_then(|row| serde_json::from_str::<ConfigHead>(&row.value).ok());
    if let Some(head) = head {
        wait_until_applied(worker, head.committed).await;
    }
}

/// Waits until this gateway has applied a revision, so that the operator's next request sees it.
async fn wait_until_applied(worker: &Worker, revision: u64) {
    let mut routing = worker.control.routing.clone();
    let applied = routing.wait_for(|routing| {
        routing.as_ref().is_some_and(|routing| routing.snapshot.revision() >= revision)
    });
    // After a timeout the change is still accepted; this gateway only applies it later.
    let _ = ntex::time::timeout(APPLY_TIMEOUT, applied).await;
}

async fn collect_status(worker: &Worker) -> Vec<StatusReply> {
    let (reply, status) = oneshot::channel();
    // If the control thread has ended, the reply channel is closed and the result is empty.
    let _ = worker.control.requests.send(ControlRequest::CollectStatus { reply });
    status.await.unwrap_or_default()
}
