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
use crate::entry::event_response;
use crate::entry::problem_response;
use crate::instance::Ask;
use crate::instance::NO_WORKSPACE;
use crate::instance::Shared;
use crate::operator::release_routes;
use crate::program::refuse;
use crate::schema::DrainBody;
use crate::schema::DrainOrder;
use crate::schema::ForwardedState;
use crate::schema::InstanceRow;
use crate::schema::MeshMessage;
use crate::schema::OwnerRequest;
use crate::schema::PoisonLiftBody;
use crate::schema::ReplicaRow;
use crate::schema::TimelinePull;

/// events of a time line when the operator does not say.
const TIMELINE_EVENTS: u32 = 200;

/// programs that are listed when the operator does not say.
const PROGRAMS: u32 = 200;

/// releases that are listed when the operator does not say.
const RELEASES: u32 = 50;

/// answers one request of an operator.
pub async fn handle(shared: Arc<Shared>, incoming: Incoming) -> Response {
    let path = incoming.request.url().path().to_owned();
    if path == "/metrics" {
        return metrics_response(&shared);
    }
    let Some(operator) = operator_of(&shared, &incoming.request) else {
        return refusal(401, "unknown_key", "the Authorization header holds no key of an operator");
    };
    counter!("operator_requests_total").increment(1);
    serve(&shared, &operator, &path, incoming).await
}

async fn serve(shared: &Arc<Shared>, operator: &str, path: &str, mut incoming: Incoming) -> Response {
    let method = incoming.request.method();
    let parameters = parameters_of(&incoming.request);
    let body = match incoming.body().await {
        Ok(body) => body,
        Err(error) => return refusal(400, "body_broken", &error.to_string()),
    };
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (method, parts.as_slice()) {
        (Method::Get, ["admin", "v1", "instances"]) => instances(shared).await,
        (Method::Get, ["admin", "v1", "replicas"]) => replicas(shared),
        (Method::Get, ["admin", "v1", "timeline"]) => timeline(shared, &parameters).await,
        (Method::Post, ["admin", "v1", "drain"]) => drain(shared, operator, &body),
        (Method::Get, ["admin", "v1", "programs"]) => match limit_of(&parameters, PROGRAMS) {
            Ok(limit) => {
                json(StatusCode::Ok, &shared.all_programs(parameters.get("workspace").cloned(), limit).await)
            }
            Err(response) => response,
        },
        (Method::Get, ["admin", "v1", "programs", id]) => program(shared, id).await,
        (Method::Get, ["admin", "v1", "poison"]) => json(StatusCode::Ok, &shared.poison().await),
        (Method::Post, ["admin", "v1", "poison", "lift"]) => lift_poison(shared, &body).await,
        (Method::Get, ["admin", "v1", "release", "history"]) => match limit_of(&parameters, RELEASES) {
            Ok(limit) => release_routes::history(shared, limit as usize).await,
            Err(response) => response,
        },
        (Method::Get, ["admin", "v1", "release", "status"]) => release_routes::status(shared).await,
        (Method::Post, ["admin", "v1", "release", "check"]) => match release_routes::read_note(&body) {
            Ok(note) => release_routes::check(shared, note).await,
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
        _ => refusal(404, "no_such_path", &format!("{method} {path} is not part of the administration API")),
    }
}

async fn instances(shared: &Arc<Shared>) -> Response {
    let statuses = shared.all_statuses().await;
    let mut rows = Vec::new();
    for member in &shared.view.load().members {
        let status = statuses.get(&member.name);
        rows.push(InstanceRow {
            name: member.name.clone(),
            zone: member.zone.clone(),
            health: member.health,
            status: status.cloned(),
        });
    }
    json(StatusCode::Ok, &rows)
}

fn replicas(shared: &Shared) -> Response {
    let view = shared.view.load();
    let mut rows = Vec::new();
    for replica in shared.upstreams.load().engines.values() {
        let dispatcher =
            view.preferred(&format!("replica/{}", replica.name)).map(|member| member.name.clone());
        rows.push(ReplicaRow {
            name: replica.name.clone(),
            model: replica.model.clone(),
            zone: replica.zone.clone(),
            address: replica.address.to_string(),
            leaving: replica.leaving,
            dispatcher,
            load: None,
        });
    }
    json(StatusCode::Ok, &rows)
}

async fn timeline(shared: &Arc<Shared>, parameters: &BTreeMap<String, String>) -> Response {
    let limit = match limit_of(parameters, TIMELINE_EVENTS) {
        Ok(limit) => limit,
        Err(response) => return response,
    };
    let program = parameters.get("program").cloned();
    let subject = parameters.get("subject").cloned();
    let events = shared.whole_timeline(TimelinePull { id: 0, program, subject, limit }).await;
    json(StatusCode::Ok, &events)
}

/// tells the named instance to leave, over the mesh when it is another one.
fn drain(shared: &Arc<Shared>, operator: &str, body: &[u8]) -> Response {
    let Ok(DrainBody { instance }) = serde_json::from_slice(body) else {
        return refusal(400, "invalid_body", "name the instance: {\"instance\": NAME}");
    };
    if instance == shared.settings.instance.name {
        shared.begin_leaving();
        return json(StatusCode::Accepted, &serde_json::json!({ "instance": instance }));
    }
    let view = shared.view.load();
    let named = view.members.iter().find(|member| member.name == instance && !member.is_gone());
    let Some(member) = named else {
        return refusal(404, "unknown_instance", &format!("no instance {instance} is known to run"));
    };
    let order = MeshMessage::Drain(DrainOrder { operator: operator.to_owned() });
    match shared.mesh().send(member.mesh, Some(&member.incarnation), order) {
        Ok(_) => json(StatusCode::Accepted, &serde_json::json!({ "instance": instance })),
        Err(error) => refusal(503, "instance_unreachable", &error.to_string()),
    }
}

/// a program of any workspace.
async fn program(shared: &Arc<Shared>, id: &str) -> Response {
    let state = ForwardedState { program: id.to_owned(), workspace: NO_WORKSPACE.to_owned() };
    event_response(&Ask::new(shared, OwnerRequest::State(state)).last().await)
}

async fn lift_poison(shared: &Shared, body: &[u8]) -> Response {
    let Ok(PoisonLiftBody { digest }) = serde_json::from_slice(body) else {
        return refusal(400, "invalid_body", "name the content: {\"digest\": DIGEST}");
    };
    let held = shared.poison().await.into_iter().find(|held| held.digest == digest);
    let Some(held) = held else {
        return refusal(404, "unknown_content", "no content with this digest is held back");
    };
    shared.lift_poison(held);
    json(StatusCode::Ok, &serde_json::json!({ "digest": digest, "lifted": true }))
}

fn limit_of(parameters: &BTreeMap<String, String>, usual: u32) -> Result<u32, Response> {
    match parameters.get("limit").map(|text| text.parse()) {
        None => Ok(usual),
        Some(Ok(limit)) => Ok(limit),
        Some(Err(_)) => Err(refusal(400, "invalid_parameter", "`limit` is not a number")),
    }
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

/// the response of a refusal; nothing ran.
fn refusal(status: u16, code: &str, detail: &str) -> Response {
    problem_response(&refuse(status, code, detail))
}
