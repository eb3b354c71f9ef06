use std::collections::BTreeMap;
use std::sync::Arc;

use flamingo_edge::Incoming;
use flamingo_edge::json;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use metrics::counter;

use crate::entry::bearer_key;
use crate::entry::problem_response;
use crate::instance::Shared;
use crate::operator::release_routes;
use crate::schema::Problem;
use crate::schema::Ran;
use crate::schema::TimelinePull;

/// events of a time line when the operator does not say.
const TIMELINE_EVENTS: u32 = 200;

/// answers one request of an operator.
pub async fn handle(shared: Arc<Shared>, incoming: Incoming) -> Response {
    let path = incoming.request.url().path().to_owned();
    if path == "/metrics" {
        return metrics_response(&shared);
    }
    let Some(operator) = operator_of(&shared, &incoming.request) else {
        return refuse(401, "unknown_key", "the Authorization header holds no key of an operator");
    };
    counter!("operator_requests_total").increment(1);
    serve(&shared, &operator, &path, incoming).await
}

async fn serve(shared: &Arc<Shared>, operator: &str, path: &str, mut incoming: Incoming) -> Response {
    let method = incoming.request.method();
    let parameters = parameters_of(&incoming.request);
    let body = match incoming.body().await {
        Ok(body) => body,
        Err(error) => return refuse(400, "body_broken", &error.to_string()),
    };
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (method, parts.as_slice()) {
        (Method::Get, ["admin", "v1", "instances"]) => instances(shared).await,
        (Method::Get, ["admin", "v1", "replicas"]) => replicas(shared),
        (Method::Get, ["admin", "v1", "timeline"]) => timeline(shared, &parameters).await,
        (Method::Post, ["admin", "v1", "drain"]) => drain(shared, &body),
        (Method::Get, ["admin", "v1", "release", "status"]) => release_routes::status(shared).await,
        (Method::Post, ["admin", "v1", "release", "check"]) => match release_routes::read_note(&body) {
            Ok(note) => release_routes::check(shared, &note),
            Err(response) => response,
        },
        (Method::Post, ["admin", "v1", "release", "diff"]) => match release_routes::read_note(&body) {
            Ok(note) => release_routes::diff(shared, &note),
            Err(response) => response,
        },
        (Method::Post, ["admin", "v1", "release"]) => match release_routes::read_note(&body) {
            Ok(note) => release_routes::accept(shared, note, operator).await,
            Err(response) => response,
        },
        _ => refuse(404, "no_such_path", &format!("{method} {path} is not part of the administration API")),
    }
}

async fn instances(shared: &Arc<Shared>) -> Response {
    let statuses = shared.all_statuses().await;
    let mut rows = Vec::new();
    for member in &shared.view.load().members {
        let status = statuses.get(&member.name);
        rows.push(serde_json::json!({
            "name": member.name,
            "health": member.health,
            "leaving": member.leaving,
            "zone": member.zone,
            "callers": member.callers.to_string(),
            "status": status,
        }));
    }
    json(StatusCode::Ok, &rows)
}

fn replicas(shared: &Shared) -> Response {
    let view = shared.view.load();
    let mut rows = Vec::new();
    for replica in shared.upstreams.load().engines.values() {
        let dispatcher =
            view.proposed(&format!("replica/{}", replica.name)).map(|member| member.name.clone());
        rows.push(serde_json::json!({
            "name": replica.name,
            "model": replica.model,
            "zone": replica.zone,
            "leaving": replica.leaving,
            "address": replica.address.to_string(),
            "dispatcher": dispatcher,
        }));
    }
    json(StatusCode::Ok, &rows)
}

async fn timeline(shared: &Arc<Shared>, parameters: &BTreeMap<String, String>) -> Response {
    let limit = match parameters.get("limit").map(|text| text.parse::<u32>()) {
        None => TIMELINE_EVENTS,
        Some(Ok(limit)) => limit,
        Some(Err(_)) => return refuse(400, "invalid_parameter", "`limit` is not a number"),
    };
    let program = parameters.get("program").cloned();
    let subject = parameters.get("subject").cloned();
    let events = shared.whole_timeline(TimelinePull { id: 0, program, subject, limit }).await;
    json(StatusCode::Ok, &events)
}

fn drain(shared: &Arc<Shared>, body: &[u8]) -> Response {
    let named = serde_json::from_slice::<serde_json::Value>(body).ok();
    let instance = named.as_ref().and_then(|value| value["instance"].as_str());
    if instance != Some(shared.settings.instance.name.as_str()) {
        let detail =
            format!("this is {}; send the drain to the instance it names", shared.settings.instance.name);
        return refuse(421, "other_instance", &detail);
    }
    shared.begin_leaving();
    json(StatusCode::Accepted, &serde_json::json!({ "instance": instance, "leaving": true }))
}

fn operator_of(shared: &Shared, request: &Request) -> Option<String> {
    shared.settings.operator_of(bearer_key(request)?).map(str::to_owned)
}

fn metrics_response(shared: &Shared) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(shared.metrics.render());
    response.insert_header("content-type", "text/plain; version=0.0.4");
    response
}

fn parameters_of(request: &Request) -> BTreeMap<String, String> {
    request.url().query_pairs().into_owned().collect()
}

fn refuse(status: u16, code: &str, detail: &str) -> Response {
    problem_response(&Problem {
        status,
        code: code.to_owned(),
        ran: Ran::NotRun,
        detail: detail.to_owned(),
        retry_after_ms: None,
        place: None,
        known: None,
    })
}
