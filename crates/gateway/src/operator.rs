//! The operators' side of the gateway.

use guavaspread_config::{Head, Outcome};
use guavaspread_control::HEAD_KEY;
use guavaspread_model::{Change, KeyHash};
use guavaspread_query::{Statement, Table, parse};
use guavaspread_wire::StatusReply;
use ntex::web::types::{Json, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::board::Board;
use crate::completion::{bearer, config};
use crate::control::Request;
use crate::prelude::*;
use crate::respond::refuse;
use crate::tables;
use crate::worker::Worker;

const PROPOSALS_MAX: u32 = 5;
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Accepted {
    revision: u64,
}

/// Answers a statement.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum QueryReply {
    /// Rows.
    Table(Table),
    /// The change is in force.
    Accepted { revision: u64 },
    /// The change would be accepted on top of this revision.
    Valid { changes: usize, revision: u64 },
}

/// Shows the state of the deployment, as seen from one gateway.
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

/// Takes changes as JSON and answers once they are in force or rejected.
pub(crate) async fn changes(
    worker: State<Rc<Worker>>,
    req: HttpRequest,
    changes: Json<Vec<Change>>,
) -> HttpResponse {
    let outcome = match authorize(&worker, &req) {
        Ok(()) => propose(&worker, changes.into_inner()).await,
        Err(refusal) => return refuse(&refusal),
    };
    match outcome {
        Outcome::Accepted(revision) => HttpResponse::Ok().json(&Accepted { revision }),
        Outcome::Rejected(refusal) | Outcome::InDoubt(refusal) => refuse(&refusal),
    }
}

/// Answers a statement of the query language.
pub(crate) async fn query(
    worker: State<Rc<Worker>>,
    req: HttpRequest,
    statement: String,
) -> HttpResponse {
    let reply = match authorize(&worker, &req) {
        Ok(()) => execute(&worker, &statement).await,
        Err(refusal) => Err(refusal),
    };
    match reply {
        Ok(reply) => HttpResponse::Ok().json(&reply),
        Err(refusal) => refuse(&refusal),
    }
}

async fn execute(worker: &Worker, text: &str) -> Result<QueryReply, Refusal> {
    let bad = |e: guavaspread_query::Error| Refusal::not_run(Code::BadStatement, e.explain(text));
    let board = worker.board()?;
    match parse(text).map_err(bad)? {
        Statement::Show(query) => {
            let status = match tables::needs_status(query.source) {
                true => ask_status(worker).await,
                false => Vec::new(),
            };
            let table = tables::table(query.source, &board, &status);
            query.select(table).map(QueryReply::Table).map_err(bad)
        }
        Statement::DryRun(changes) => {
            catch_up(worker).await;
            let board = worker.board()?;
            check_hosts(&board, &changes)?;
            let mut config = Config::clone(&*config(&board)?);
            let revision = config.revision;
            config
                .apply_all(&changes, revision + 1)
                .map_err(|e| Refusal::not_run(e.code(), e.to_string()))?;
            Ok(QueryReply::Valid { changes: changes.len(), revision })
        }
        Statement::Change(changes) => {
            check_hosts(&board, &changes)?;
            match propose(worker, changes).await {
                Outcome::Accepted(revision) => Ok(QueryReply::Accepted { revision }),
                Outcome::Rejected(refusal) | Outcome::InDoubt(refusal) => Err(refusal),
            }
        }
    }
}

/// Refuses to drain a host that is not there, which is a slip of the pen.
fn check_hosts(board: &Board, changes: &[Change]) -> Result<(), Refusal> {
    for change in changes {
        if let Change::Drain { host } = change
            && board.snapshot.host(host).is_none()
        {
            let detail = format!("the platform lists no host `{host}`");
            return Err(Refusal::not_run(Code::UnknownHost, detail));
        }
    }
    Ok(())
}

/// Answers what every dispatcher holds.
pub(crate) async fn status(worker: State<Rc<Worker>>, req: HttpRequest) -> HttpResponse {
    if let Err(refusal) = authorize(&worker, &req) {
        return refuse(&refusal);
    }
    let gateway = match worker.board() {
        Ok(board) => gateway_status(&worker, &board),
        Err(refusal) => return refuse(&refusal),
    };
    let dispatchers = ask_status(&worker).await;
    HttpResponse::Ok().json(&DeploymentStatus { gateway, dispatchers })
}

fn gateway_status(worker: &Worker, board: &Board) -> GatewayStatus {
    GatewayStatus {
        entry_host: worker.cfg.process.host.clone(),
        zone: worker.cfg.process.zone.clone(),
        revision: board.snapshot.revision(),
        table_up: board.snapshot.table_up,
        in_doubt: board.snapshot.view.doubt.is_some(),
    }
}

/// Tells operators from callers by the key that they show.
pub(crate) fn authorize(worker: &Worker, req: &HttpRequest) -> Result<(), Refusal> {
    let key = bearer(req);
    let key =
        key.ok_or_else(|| Refusal::not_run(Code::BadKey, "send `Authorization: Bearer KEY`"))?;
    match worker.cfg.operator_keys.contains(&KeyHash::of(key)) {
        true => Ok(()),
        false => Err(Refusal::not_run(Code::NotOperator, "the key is not an operator's")),
    }
}

/// Proposes changes, again if this gateway was behind when it checked them.
async fn propose(worker: &Worker, changes: Vec<Change>) -> Outcome {
    for _ in 0..PROPOSALS_MAX {
        catch_up(worker).await;
        let base = worker.board().map_or(0, |board| board.snapshot.revision());
        let outcome = propose_once(worker, changes.clone()).await;
        let behind = matches!(&outcome, Outcome::Rejected(r) if r.code == Code::ChangeConflict);
        if !behind {
            return outcome;
        }
        wait_in_force(worker, base + 1).await;
    }
    let detail = "other changes kept coming first";
    Outcome::Rejected(Refusal::not_run(Code::ChangeConflict, detail).retry_after_ms(1_000))
}

async fn propose_once(worker: &Worker, changes: Vec<Change>) -> Outcome {
    let (reply, outcome) = oneshot::channel();
    let gone = || Refusal::not_run(Code::Stopping, "the gateway is stopping");
    if worker.control.requests.send(Request::Propose { changes, reply }).is_err() {
        return Outcome::Rejected(gone());
    }
    let lost = || Refusal::maybe_ran(Code::ChangeInDoubt, "the gateway is stopping");
    let outcome = outcome.await.unwrap_or_else(|_| Outcome::InDoubt(lost()));
    if let Outcome::Accepted(revision) = outcome {
        wait_in_force(worker, revision).await;
    }
    outcome
}

/// Waits until this gateway has applied what the table says is committed.
async fn catch_up(worker: &Worker) {
    let row = worker.platform.get(HEAD_KEY).await.ok().flatten();
    let head = row.and_then(|row| serde_json::from_str::<Head>(&row.value).ok());
    if let Some(head) = head {
        wait_in_force(worker, head.committed).await;
    }
}

/// Waits until this gateway has applied a revision, so that its operator's next request sees it.
async fn wait_in_force(worker: &Worker, revision: u64) {
    let mut board = worker.control.board.clone();
    let applied = board.wait_for(|board| {
        board.as_ref().is_some_and(|board| board.snapshot.revision() >= revision)
    });
    // The change is accepted all the same when this gateway is late.
    let _ = ntex::time::timeout(APPLY_TIMEOUT, applied).await;
}

async fn ask_status(worker: &Worker) -> Vec<StatusReply> {
    let (reply, status) = oneshot::channel();
    // Without a control thread there is nothing to show.
    let _ = worker.control.requests.send(Request::Status { reply });
    status.await.unwrap_or_default()
}
