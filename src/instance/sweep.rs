use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use metrics::counter;

use crate::dispatch::Replica;
use crate::dispatch::RouterInput;
use crate::instance::Ask;
use crate::instance::Shared;
use crate::schema::ForwardedState;
use crate::schema::OwnerEvent;
use crate::schema::OwnerRequest;
use crate::schema::ProgramPhase;

/// time between two looks at what the replicas hold.
const SWEEP_PAUSE: Duration = Duration::from_secs(10);

/// time between two questions about programs, so that a sweep stays cheap.
const QUESTION_PAUSE: Duration = Duration::from_millis(5);

/// stands for the workspace when an instance itself looks at a program; no key opens it.
pub const NO_WORKSPACE: &str = "";

/// releases cache that replicas of this dispatcher hold for programs that are gone.
pub(crate) async fn sweep_caches(shared: Arc<Shared>) {
    loop {
        Timer::after(SWEEP_PAUSE).await;
        let served = shared.served.load_full();
        for replica in served.iter() {
            sweep_replica(&shared, replica).await;
        }
    }
}

impl Shared {
    /// a program ended: its cache is released where its last turn ran, the sweep finds the rest.
    pub(crate) fn release_program(self: &Arc<Self>, program: &str) {
        let now_ms = self.now().ms;
        let replica = self.last_replicas.lock().expect("last replicas lock poisoned").remove(program);
        self.router().handle(now_ms, RouterInput::ProgramEnded { program: program.to_owned() });
        let upstreams = self.upstreams.load();
        let Some(replica) = replica.and_then(|name| upstreams.engines.get(&name)) else {
            return;
        };
        let address = replica.address;
        let program = program.to_owned();
        let shared = Arc::clone(self);
        self.spawner.detach(async move {
            if shared.engines.release(address, &program).await.is_ok() {
                counter!("cache_holds_released_total").increment(1);
            }
        });
    }
}

async fn sweep_replica(shared: &Arc<Shared>, replica: &Replica) {
    let Ok(holds) = shared.engines.holds(replica.address).await else {
        return;
    };
    for hold in holds {
        Timer::after(QUESTION_PAUSE).await;
        if !is_gone(shared, &hold.program).await {
            continue;
        }
        if shared.engines.release(replica.address, &hold.program).await.is_ok() {
            counter!("cache_holds_released_total").increment(1);
        }
    }
}

/// asks the owner; only a clear answer counts, so an unreachable owner keeps its programs' cache.
async fn is_gone(shared: &Arc<Shared>, program: &str) -> bool {
    let state = ForwardedState { program: program.to_owned(), workspace: NO_WORKSPACE.to_owned() };
    match Ask::new(shared, OwnerRequest::State(state)).last().await {
        OwnerEvent::State(state) => state.phase == ProgramPhase::Ended,
        OwnerEvent::Problem(problem) => problem.code == "unknown_program",
        _ => false,
    }
}
