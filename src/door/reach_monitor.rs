use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use flamingo_edge::timeout;
use futures_util::future::join_all;
use slog::info;
use slog::warn;

use crate::door::connections::Connection;
use crate::door::door::Door;
use crate::platform::health_request;
use crate::platform::report_request;
use crate::reach::Belief;
use crate::reach::CHECK_TIMEOUT_MS;
use crate::reach::CHECKED_REPLICAS;
use crate::reach::ReplicaReach;
use crate::routing::ReplicaEntry;

/// interval at which a door looks whether its way to the replicas is to be checked.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// the door's belief in its way to the replicas, and who waits for it to change.
pub(super) struct ReachMonitor {
    reach: Mutex<ReplicaReach>,
    /// closed while the door is cut off.
    cut: Mutex<(Sender<()>, Receiver<()>)>,
}

impl Default for ReachMonitor {
    fn default() -> Self {
        Self { reach: Mutex::default(), cut: Mutex::new(async_channel::bounded(1)) }
    }
}

impl ReachMonitor {
    pub fn reach(&self) -> MutexGuard<'_, ReplicaReach> {
        self.reach.lock().expect("reach lock poisoned")
    }

    /// whether the door is cut off from the replicas.
    pub fn is_cut_off(&self) -> bool {
        self.reach().belief() == Belief::CutOff
    }

    /// waits until the door is cut off from the replicas.
    pub async fn until_cut_off(&self) {
        let cut = self.cut.lock().expect("cut lock poisoned").1.clone();
        // Nothing is sent on the channel; this returns when it closes.
        let _ = cut.recv().await;
    }

    fn announce(&self, belief: Belief) {
        let mut cut = self.cut.lock().expect("cut lock poisoned");
        match belief {
            Belief::CutOff => {
                cut.0.close();
            }
            Belief::Reaches => *cut = async_channel::bounded(1),
        }
    }
}

/// checks the way to the replicas whenever it is in doubt; runs until the process ends.
pub(super) async fn watch_reach(door: Arc<Door>) {
    loop {
        Timer::after(LOOK_INTERVAL).await;
        let now_ms = door.now_ms();
        let waited_ms = door.poison().active.longest_wait_ms(now_ms);
        if door.reach.reach().begin_check(now_ms, waited_ms) {
            door.spawner.detach(check_reach(Arc::clone(&door)));
        }
    }
}

/// how many of the replicas answer, and how many do not.
async fn ask_all(door: &Door, replicas: &[ReplicaEntry]) -> (usize, usize) {
    let answers = join_all(replicas.iter().map(|replica| answers(door, replica))).await;
    let answered = answers.into_iter().filter(|answers| *answers).count();
    (answered, replicas.len() - answered)
}

/// whether a replica answers a question over a new connection. A connection alone may be to something between.
async fn answers(door: &Door, replica: &ReplicaEntry) -> bool {
    let question = {
        let table = door.table.load();
        let service = table.as_ref().and_then(|table| table.service(&replica.service).cloned());
        match service {
            // The report takes no slot.
            Some(service) if service.engine.is_some() => Some(report_request(replica.address)),
            Some(service) => {
                service.health_path.as_ref().and_then(|path| health_request(replica.address, path).ok())
            }
            None => None,
        }
    };
    door.replicas().charge_limit(door.now_ms(), &replica.id, replica.started_unix_ms);
    let exchange = async {
        let Ok(mut connection) = Connection::open(&door.spawner, replica.address).await else {
            return false;
        };
        match question {
            Some(question) => connection.send(question).await.is_ok(),
            None => true,
        }
    };
    timeout(Duration::from_millis(CHECK_TIMEOUT_MS), exchange).await.unwrap_or(false)
}

/// whether the door reaches any replica but the one at `address`, or knows no other.
pub(super) async fn reaches_others(door: &Door, address: SocketAddr, since_ms: u64) -> bool {
    if door.reach.reach().has_heard_since(since_ms) {
        return true;
    }
    let mut others = door.replicas().sample(door.now_ms(), CHECKED_REPLICAS);
    others.retain(|other| other.address != address);
    let (answered, _) = ask_all(door, &others).await;
    if answered > 0 {
        door.reach.reach().record_sign(door.now_ms());
    }
    answered > 0 || others.is_empty()
}

/// asks some replicas whether they can be reached.
async fn check_reach(door: Arc<Door>) {
    let began_ms = door.now_ms();
    let replicas = door.replicas().sample(began_ms, CHECKED_REPLICAS);
    let (answered, unanswered) = ask_all(&door, &replicas).await;
    let now_ms = door.now_ms();
    let (change, silent_ms) = {
        let mut reach = door.reach.reach();
        let silent_ms = reach.silent_ms(now_ms);
        (reach.end_check(now_ms, began_ms, answered, unanswered), silent_ms)
    };
    metrics::counter!("door_reach_checks_total").increment(1);
    let Some(belief) = change else {
        return;
    };
    door.explain_by_cut(belief == Belief::CutOff);
    door.reach.announce(belief);
    let helpers = door.fleet().helpers(&door.addresses.callers.to_string()).len();
    metrics::gauge!("door_cut_off").set(if belief == Belief::CutOff { 1.0 } else { 0.0 });
    match belief {
        Belief::CutOff => {
            door.connections.close_all_idle();
            warn!(door.log, "a dependency is lost"; "dependency" => "replicas", "silent_ms" => silent_ms,
                "answered" => answered, "unanswered" => unanswered, "helpers" => helpers);
        }
        Belief::Reaches => info!(door.log, "a dependency is back"; "dependency" => "replicas",
            "answered" => answered, "unanswered" => unanswered),
    }
}
