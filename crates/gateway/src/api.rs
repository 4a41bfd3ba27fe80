//! Defines the HTTP routes.

use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::Serialize;

use crate::completion::{self, authenticate, current_config};
use crate::operator;
use crate::prelude::*;
use crate::problem::refusal_response;
use crate::service;
use crate::worker::Worker;

type SharedWorker = State<Rc<Worker>>;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: String,
}

/// Adds all routes of the gateway.
pub(crate) fn configure(cfg: &mut ServiceConfig) {
    cfg.route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/completions", web::post().to(completions))
        .route("/v1/models", web::get().to(models))
        .route("/services/{service}/{path}*", web::route().to(services))
        .route("/operator/changes", web::post().to(operator::changes))
        .route("/operator/query", web::post().to(operator::query))
        .route("/operator/status", web::get().to(operator::status))
        .route("/metrics", web::get().to(metrics))
        .route("/healthz", web::get().to(async || HttpResponse::Ok().finish()))
        .route("/readyz", web::get().to(ready));
}

/// Handles a request that matches no route.
pub(crate) async fn unknown_path(req: HttpRequest) -> HttpResponse {
    let detail = format!("no route matches {} {}", req.method(), req.path());
    refusal_response(&Refusal::not_run(Code::UnknownService, detail))
}

async fn chat(worker: SharedWorker, req: HttpRequest, payload: Payload) -> HttpResponse {
    completion::handle(worker.get_ref().clone(), req, payload, "/v1/chat/completions").await
}

async fn completions(worker: SharedWorker, req: HttpRequest, payload: Payload) -> HttpResponse {
    completion::handle(worker.get_ref().clone(), req, payload, "/v1/completions").await
}

async fn services(worker: SharedWorker, req: HttpRequest, payload: Payload) -> HttpResponse {
    service::handle(worker.get_ref().clone(), req, payload).await
}

async fn models(worker: SharedWorker, req: HttpRequest) -> HttpResponse {
    match list_models(&worker, &req) {
        Ok(list) => HttpResponse::Ok().json(&list),
        Err(refusal) => refusal_response(&refusal),
    }
}

fn list_models(worker: &Worker, req: &HttpRequest) -> Result<ModelList, Refusal> {
    let routing = worker.routing()?;
    let organisation = authenticate(&routing, req)?;
    let config = current_config(&routing)?;
    let adapters = config.organisations.get(&organisation).map(|org| &org.adapters);
    let mut data = Vec::new();
    for (name, adapter) in adapters.into_iter().flatten() {
        for version in &adapter.versions {
            data.push(ModelEntry {
                id: AdapterVersion::new(organisation.clone(), name.clone(), *version).to_string(),
                object: "model",
                created: 0,
                owned_by: organisation.to_string(),
            });
        }
    }
    Ok(ModelList { object: "list", data })
}

async fn metrics(worker: SharedWorker) -> HttpResponse {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    HttpResponse::Ok().content_type(content_type).body(worker.metrics.render())
}

async fn ready(worker: SharedWorker) -> HttpResponse {
    match worker.is_ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}
