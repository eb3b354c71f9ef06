use std::sync::Arc;
use std::time::Duration;

use flamingo_edge::timeout;
use slog::warn;

use crate::door::connections::Connection;
use crate::door::door::Door;
use crate::platform::answering_replica;
use crate::platform::health_request;
use crate::poison::ReplicaRun;

/// time limit of a check: a busy replica answers after the requests before it.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// asks the replica of a run with an unknown outcome whether it is alive.
pub(super) async fn check_health(door: Arc<Door>, run: ReplicaRun) {
    let address = door.replicas().address(&run.replica, run.started_unix_ms);
    let service = door.replicas().service(&run.replica).map(str::to_owned);
    let path = service.and_then(|name| door.table.load().as_ref()?.service(&name)?.health_path.clone());
    let (Some(address), Some(path)) = (address, path) else {
        return;
    };
    let request = match health_request(address, &path) {
        Ok(request) => request,
        Err(error) => {
            warn!(door.log, "health path of a service is not usable"; "path" => path, "error" => %error);
            return;
        }
    };
    door.replicas().charge_limit(door.now_ms(), &run.replica, run.started_unix_ms);
    let check = async {
        let mut connection = Connection::open(&door.spawner, address).await.ok()?;
        let answer = connection.send(request).await.ok()?;
        (answering_replica(answer.headers())? == run.replica).then_some(connection.opened)
    };
    // Without an answer the run stays suspected, which was logged when it ended.
    if let Some(Some(opened)) = timeout(CHECK_TIMEOUT, check).await {
        door.replica_answered(&run.replica, run.started_unix_ms, opened);
    }
}
