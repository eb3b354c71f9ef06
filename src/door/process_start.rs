use std::time::Duration;

use flamingo_edge::timeout;
use hyper::StatusCode;
use slog::info;

use crate::door::connections::Connection;
use crate::door::door::Door;
use crate::platform::report_request;
use crate::platform::reported_start;
use crate::routing::ReplicaPick;

/// time limit of the question: many round trips, yet a small part of a caller's deadline.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// which process answers on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessStart {
    /// the one that the list names, as far as can be told.
    Listed,
    /// another one, which came back under the same id before the list tells.
    Other,
    /// the connection broke, or no answer came.
    Unanswered,
}

/// asks which process answers on a connection, unless it has told already.
///
/// A connection belongs to one process, so it is asked once. Only model replicas can be asked.
pub(super) async fn check_start(
    door: &Door,
    connection: &mut Connection,
    pick: &ReplicaPick,
) -> ProcessStart {
    let table = door.table.load();
    let service = table.as_ref().and_then(|table| table.service(&pick.software.service));
    let is_engine = service.is_some_and(|service| service.engine.is_some());
    if !is_engine || pick.started_unix_ms == 0 {
        return ProcessStart::Listed;
    }
    if connection.process_start.is_none() {
        door.replicas().charge_limit(door.now_ms(), &pick.id, pick.started_unix_ms);
        let asked = async {
            let answer = connection.send(report_request(pick.address)).await.ok()?;
            if answer.status() == StatusCode::NOT_FOUND {
                // It does not know the question, so only the list tells.
                return Some(pick.started_unix_ms);
            }
            reported_start(&door.answers.read(answer.into_body()).await.ok()?)
        };
        let Some(Some(started_unix_ms)) = timeout(REPORT_TIMEOUT, asked).await else {
            return ProcessStart::Unanswered;
        };
        connection.process_start = Some(started_unix_ms);
    }
    if connection.process_start == Some(pick.started_unix_ms) {
        return ProcessStart::Listed;
    }
    metrics::counter!("door_unlisted_starts_total").increment(1);
    info!(door.log, "another process answers under the id of a replica than the list names; not used";
        "replica" => &pick.id, "listed_unix_ms" => pick.started_unix_ms,
        "answers_unix_ms" => connection.process_start);
    ProcessStart::Other
}
