use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;

use crate::dispatch::DispatchInput;
use crate::dispatch::LoadReading;
use crate::dispatch::Replica;
use crate::dispatch::RouterInput;
use crate::instance::Shared;
use crate::instance::UpstreamView;
use crate::membership::MembershipInput;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::schema::JobFault;

/// shortest time between two readings of the platform's list.
const LIST_PAUSE_MS: u64 = 1_000;

/// readings of the list that all instances together make in a second.
const LIST_READS_PER_SECOND: u64 = 200;

/// reads the platform's list again and again.
pub(crate) async fn watch_list(shared: Arc<Shared>) {
    loop {
        if let Ok(PlatformReply::Instances(list)) = shared.platform.call(PlatformRequest::Instances).await {
            let view = UpstreamView::from(list.as_slice());
            shared.tell_membership(MembershipInput::InstanceList(list));
            shared.publish_upstreams(view);
        }
        let members = shared.view.load().members.len() as u64;
        let pause_ms = LIST_PAUSE_MS.max(members * 1_000 / LIST_READS_PER_SECOND);
        Timer::after(Duration::from_millis(pause_ms)).await;
    }
}

/// reads the load of every replica that this instance serves.
pub(crate) async fn watch_loads(shared: Arc<Shared>) {
    let pause = Duration::from_millis(shared.settings.dispatch.load_poll_ms);
    loop {
        let served = shared.served.load_full();
        for replica in served.iter().cloned() {
            let shared = Arc::clone(&shared);
            shared.spawner.clone().detach(async move { read_load(&shared, replica).await });
        }
        Timer::after(pause).await;
    }
}

async fn read_load(shared: &Shared, replica: Replica) {
    let Ok(load) = shared.engines.load(replica.address).await else {
        return;
    };
    let reading = LoadReading { running: load.running, waiting: load.waiting, age_ms: load.age_ms };
    shared.tell_dispatcher(DispatchInput::EngineLoad { replica: replica.name.clone(), reading });
    // The replica's own word is newer than the platform's lagging list.
    if load.leaving && !replica.leaving {
        let now_ms = shared.now().ms;
        shared
            .router()
            .handle(now_ms, RouterInput::AttemptFailed { replica: replica.name, fault: JobFault::Leaving });
    }
}

impl Shared {
    fn publish_upstreams(&self, view: UpstreamView) {
        if **self.upstreams.load() == view {
            return;
        }
        let replicas: Vec<Replica> = view.engines.values().cloned().collect();
        self.upstreams.store(Arc::new(view));
        let now_ms = self.now().ms;
        self.router().handle(now_ms, RouterInput::Replicas(replicas));
        self.assign_replicas();
    }
}
