use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use metrics::counter;

use crate::dispatch::RouterInput;
use crate::instance::Shared;
use crate::upstream::CacheEventKind;
use crate::upstream::CacheEventPage;

/// time between two readings of the cache events of a replica.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// tells this instance's router what the replicas that it serves say of their caches.
///
/// Other instances learn what a replica holds from the ends of their own turns.
pub(crate) async fn watch_caches(shared: Arc<Shared>) {
    let mut read_until: BTreeMap<String, u64> = BTreeMap::new();
    loop {
        Timer::after(READ_PAUSE).await;
        let served = shared.served.load_full();
        read_until.retain(|name, _| served.iter().any(|replica| replica.name == *name));
        for replica in served.iter() {
            let after = read_until.get(&replica.name).copied().unwrap_or(0);
            let Ok(page) = shared.engines.cache_events(replica.address, after, 0).await else {
                continue;
            };
            read_until.insert(replica.name.clone(), page.next);
            tell_router(&shared, &replica.name, after, &page);
        }
    }
}

fn tell_router(shared: &Shared, replica: &str, after: u64, page: &CacheEventPage) {
    if page.events.is_empty() && !page.has_gap(after) {
        return;
    }
    let now_ms = shared.now().ms;
    let mut router = shared.router();
    if page.has_gap(after) {
        counter!("cache_event_gaps_total").increment(1);
        router.handle(now_ms, RouterInput::CacheEventsLost { replica: replica.to_owned() });
    }
    for event in &page.events {
        let replica = replica.to_owned();
        let input = match event.kind {
            CacheEventKind::Held => {
                RouterInput::PrefixCached { replica, prefix: event.prefix, tokens: event.tokens }
            }
            CacheEventKind::Dropped => RouterInput::PrefixEvicted { replica, prefix: event.prefix },
        };
        router.handle(now_ms, input);
    }
}
