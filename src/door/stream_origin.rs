use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slog::info;

use crate::door::door::Door;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::ledger_client::LookupError;
use crate::routing::RETENTION_MARGIN_MS;
use crate::routing::Route;
use crate::routing::Software;
use crate::schema::StreamVersion;

/// the longest wait until the ledger has stored which software began a stream: the first event waits for it.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// the record that a stream was begun by some software.
pub(super) fn stream_record(request: &DoorRequest, route: &Route, software: &Software) -> StreamVersion {
    // A caller takes a stream up while it waits for the answer.
    let wait_ms = request.caller.timeout_ms.unwrap_or(route.timeout_ms);
    StreamVersion {
        request: request.principal.scoped(request.caller.id.as_deref().unwrap_or_default()),
        service: software.service.clone(),
        version: Some(software.version.clone()),
        keep_ms: wait_ms + RETENTION_MARGIN_MS,
    }
}

/// stores which software begins a stream, before the first event may reach the caller.
///
/// Without the record the stream is relayed, but no door goes on with it if it breaks off.
pub(super) async fn record_origin(door: &Door, request: &DoorRequest, route: &Route, software: &Software) {
    let began = stream_record(request, route, software);
    let program = request.caller.program.as_deref().map(|program| request.principal.scoped(program));
    let key = program.unwrap_or_else(|| began.request.clone());
    let deadline = Instant::now() + RECORD_TIMEOUT.min(request.remaining());
    let is_stored =
        door.ledger.is_reachable() && door.ledger.record_stream(&key, began, deadline).await.is_ok();
    metrics::counter!("door_stream_records_total", "stored" => if is_stored { "yes" } else { "no" })
        .increment(1);
    if !is_stored {
        info!(door.log, "ledger did not store which software begins a stream; callers cannot take it up";
            "request" => request.caller.id.as_deref(), "version" => &software.version);
    }
}

/// reads which software must go on with a stream that belongs to no program.
pub(super) async fn find_origin(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Route,
    attempt: &str,
) -> Result<Software, Refusal> {
    if !door.ledger.is_reachable() {
        return Err(Refusal::LedgerAway);
    }
    match door.ledger.find_stream(&request.principal.scoped(attempt)).await {
        Ok(began) => origin(door, request, route, began.as_ref()),
        Err(LookupError) => Err(Refusal::LedgerUnsure),
    }
}

/// the software that must go on with a stream; `began` is what the ledger knows of its beginning.
pub(super) fn origin(
    door: &Door,
    request: &DoorRequest,
    route: &Route,
    began: Option<&StreamVersion>,
) -> Result<Software, Refusal> {
    let version = began.and_then(|began| began.version.clone());
    let service = began.map(|began| began.service.clone()).unwrap_or_default();
    let is_on_route = route.backends.iter().any(|backend| backend.service == service);
    metrics::counter!("door_take_ups_total",
        "origin" => if version.is_some() && is_on_route { "known" } else { "unknown" })
    .increment(1);
    info!(door.log, "caller takes a stream up"; "request" => request.caller.id.as_deref(),
        "began" => request.caller.take_up.as_ref().and_then(|take_up| take_up.attempt.as_deref()),
        "last_event" => request.caller.last_event_id.as_deref(), "version" => version.as_deref(),
        "service" => &service, "is_on_route" => is_on_route);
    match version {
        Some(version) if is_on_route => Ok(Software { service, version }),
        _ => Err(Refusal::UnknownStream),
    }
}
