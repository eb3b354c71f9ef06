use std::sync::Arc;
use std::sync::atomic::Ordering;

use flamingo_edge::Connection;
use flamingo_edge::Incoming;
use flamingo_edge::json;
use futures_lite::future;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use metrics::counter;
use metrics::histogram;
use serde::de::DeserializeOwned;

use crate::entry::answers::event_response;
use crate::entry::answers::faulty_body;
use crate::entry::answers::unreadable;
use crate::entry::bearer_key;
use crate::entry::problem_response;
use crate::entry::turn_stream::InFlight;
use crate::entry::turn_stream::stream_turn;
use crate::entry::where_answer::WhereAnswer;
use crate::ids::ProgramId;
use crate::instance::Ask;
use crate::instance::Shared;
use crate::program::refuse;
use crate::schema::CallBody;
use crate::schema::EndBody;
use crate::schema::ForwardedCall;
use crate::schema::ForwardedEnd;
use crate::schema::ForwardedOpen;
use crate::schema::ForwardedState;
use crate::schema::ForwardedTurn;
use crate::schema::OpenBody;
use crate::schema::OwnerRequest;
use crate::schema::Problem;
use crate::schema::TurnBody;
use crate::schema::check_value;

/// header that names a request whose repeat must not run again.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// what a path below `/v1` asks for.
enum Route {
    Health,
    Where,
    Open,
    State(ProgramId),
    Turn(ProgramId),
    Call(ProgramId),
    End(ProgramId),
}

/// answers one request of a caller.
pub async fn handle(shared: Arc<Shared>, incoming: Incoming) -> Response {
    let _in_flight = InFlight::new(&shared);
    let started = std::time::Instant::now();
    let trace = incoming.request.header("x-trace-id").map(|value| value.as_str().to_owned());
    let mut response = match route_of(&incoming.request) {
        Ok(route) => serve(&shared, route, incoming).await,
        Err(problem) => problem_response(&problem),
    };
    if let Some(trace) = trace {
        response.insert_header("x-trace-id", trace);
    }
    if shared.leaving.load(Ordering::Relaxed) {
        response.insert_header("connection", "close");
    }
    counter!("entry_requests_total", "status" => u16::from(response.status()).to_string()).increment(1);
    histogram!("entry_response_head_ms").record(started.elapsed().as_secs_f64() * 1_000.0);
    response
}

fn route_of(request: &Request) -> Result<Route, Problem> {
    let path = request.url().path();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let (wanted, route) = match parts.as_slice() {
        ["health"] => (Method::Get, Route::Health),
        ["v1", "where"] => (Method::Get, Route::Where),
        ["v1", "programs"] => (Method::Post, Route::Open),
        ["v1", "programs", id] => (Method::Get, Route::State(ProgramId::from(*id))),
        ["v1", "programs", id, "turns"] => (Method::Post, Route::Turn(ProgramId::from(*id))),
        ["v1", "programs", id, "calls"] => (Method::Post, Route::Call(ProgramId::from(*id))),
        ["v1", "programs", id, "end"] => (Method::Post, Route::End(ProgramId::from(*id))),
        _ => return Err(refuse(404, "no_such_path", format!("there is nothing at {path}"))),
    };
    if request.method() != wanted {
        return Err(refuse(405, "wrong_method", format!("{path} takes {wanted}")));
    }
    Ok(route)
}

async fn serve(shared: &Arc<Shared>, route: Route, mut incoming: Incoming) -> Response {
    match route {
        Route::Health => return json(StatusCode::Ok, &shared.status()),
        Route::Where => return where_response(shared, &incoming.request),
        _ => {}
    }
    let Some(workspace) = workspace_of(shared, &incoming.request) else {
        let detail = "the Authorization header holds no key of a workspace";
        return problem_response(&refuse(401, "unknown_key", detail));
    };
    let body = match incoming.body().await {
        Ok(body) => body,
        Err(error) => return problem_response(&unreadable(error)),
    };
    let prepared = prepare(shared, route, &workspace, &incoming.request, &body);
    let (request, stream) = match prepared {
        Ok(prepared) => prepared,
        Err(response) => return response,
    };
    let ask = Ask::new(shared, request);
    if stream {
        return stream_turn(shared, ask, incoming.connection).await;
    }
    wait_whole(ask, &incoming.connection).await
}

/// waits for the whole answer; a caller that hangs up drops the question.
async fn wait_whole(ask: Ask, connection: &Connection) -> Response {
    let hung_up = async {
        connection.closed().await;
        None
    };
    let answer = async { Some(ask.last().await) };
    match future::or(answer, hung_up).await {
        Some(event) => event_response(&event),
        // Nobody reads this; the connection is gone.
        None => problem_response(&refuse(499, "caller_gone", "the caller hung up")),
    }
}

/// checks the body and builds the request for the owner.
fn prepare(
    shared: &Shared,
    route: Route,
    workspace: &str,
    request: &Request,
    body: &[u8],
) -> Result<(OwnerRequest, bool), Response> {
    let workspace = workspace.to_owned();
    match route {
        Route::Open => {
            let body: OpenBody = read_body("OpenBody", body)?;
            let program = program_to_open(&workspace, request, &body);
            Ok((OwnerRequest::Open(ForwardedOpen { program, workspace, body }), false))
        }
        Route::Turn(program) => {
            let body: TurnBody = read_body("TurnBody", body)?;
            check_turn(shared, &body).map_err(|problem| problem_response(&problem))?;
            let stream = body.stream;
            Ok((OwnerRequest::Turn(ForwardedTurn { program: program.to_string(), workspace, body }), stream))
        }
        Route::Call(program) => {
            let mut body: CallBody = read_body("CallBody", body)?;
            if body.call.is_none() {
                body.call = request.header(IDEMPOTENCY_KEY).map(|value| value.as_str().to_owned());
            }
            if body.call.is_none() {
                let mut problem =
                    refuse(400, "call_id_missing", "name the call in `call` or in Idempotency-Key");
                problem.place = Some("/call".to_owned());
                return Err(problem_response(&problem));
            }
            Ok((OwnerRequest::Call(ForwardedCall { program: program.to_string(), workspace, body }), false))
        }
        Route::End(program) => {
            let body: EndBody =
                if body.is_empty() { EndBody::default() } else { read_body("EndBody", body)? };
            let program = program.to_string();
            Ok((OwnerRequest::End(ForwardedEnd { program, workspace, reason: body.reason }), false))
        }
        Route::State(program) => {
            Ok((OwnerRequest::State(ForwardedState { program: program.to_string(), workspace }), false))
        }
        Route::Health | Route::Where => {
            Err(problem_response(&refuse(404, "no_such_path", "not a program's path")))
        }
    }
}

/// the identifier of a program to open: chosen by the caller, derived from its key, or new.
fn program_to_open(workspace: &str, request: &Request, body: &OpenBody) -> String {
    let own = match (&body.program, request.header(IDEMPOTENCY_KEY)) {
        (Some(program), _) => program.clone(),
        (None, Some(key)) => {
            let hash = blake3::hash(format!("{workspace}\n{}", key.as_str()).as_bytes());
            hash.to_hex()[..32].to_owned()
        }
        (None, None) => ProgramId::generate().to_string(),
    };
    match &body.parent {
        Some(parent) => ProgramId::from(parent.as_str()).child(&own).to_string(),
        None => own,
    }
}

fn check_turn(shared: &Shared, body: &TurnBody) -> Result<(), Problem> {
    let most = shared.settings.limits.max_messages as usize;
    if body.messages.len() > most {
        let detail = format!("{} messages; one request takes at most {most}", body.messages.len());
        let mut problem = refuse(413, "too_many_messages", detail);
        problem.place = Some("/messages".to_owned());
        return Err(problem);
    }
    Ok(())
}

fn read_body<T: DeserializeOwned>(name: &str, body: &[u8]) -> Result<T, Response> {
    let value: serde_json::Value = match serde_json::from_slice(body) {
        Ok(value) => value,
        Err(error) => {
            let problem = refuse(400, "invalid_json", error.to_string());
            return Err(problem_response(&problem));
        }
    };
    check_value(name, &value).map_err(|findings| faulty_body(&findings))
}

/// the workspace whose key a request presents.
///
/// Only hashes are stored and looked up, so the time of a look-up tells nothing of a key.
fn workspace_of(shared: &Shared, request: &Request) -> Option<String> {
    let key_hash = blake3::hash(bearer_key(request)?.as_bytes()).to_hex();
    let configuration = shared.configuration.load();
    configuration.workspace_of_key(key_hash.as_str()).map(|workspace| workspace.id.clone())
}

fn where_response(shared: &Shared, request: &Request) -> Response {
    let mut program = None;
    let mut zone = None;
    for (name, value) in request.url().query_pairs() {
        match name.as_ref() {
            "program" => program = Some(ProgramId::from(value.as_ref())),
            "zone" => zone = Some(value.into_owned()),
            _ => {
                return problem_response(&refuse(
                    400,
                    "unknown_parameter",
                    format!("`{name}` is not a parameter"),
                ));
            }
        }
    }
    json(StatusCode::Ok, &WhereAnswer::for_program(shared, program.as_ref(), zone.as_deref()))
}
