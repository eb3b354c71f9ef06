use std::time::Duration;
use std::time::Instant;

use flamingo_edge::timeout;

use crate::ledger_client::LedgerClient;
use crate::ledger_client::round::Progress;
use crate::ledger_client::round::Round;
use crate::schema::LedgerFinish;
use crate::schema::LedgerRequest;

/// wait for a member's disk before the other members are asked as well: several syncs of a slow disk.
const STORE_ELSEWHERE_AFTER: Duration = Duration::from_millis(60);
/// wait before all members are asked again: enough for what is on its way to arrive.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(400);

/// the records are not on enough disks in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotStored;

impl LedgerClient {
    /// stores the end of a turn on enough disks, trying until `deadline`.
    pub async fn finish(&self, finish: LedgerFinish, deadline: Instant) -> Result<(), NotStored> {
        let request = LedgerRequest::Finish(finish.clone());
        loop {
            let started = Instant::now();
            if self.try_finish(&finish.program, &request, deadline.min(started + ASK_AGAIN_AFTER)).await {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(NotStored);
            }
            // Merging a record twice changes nothing, so all members may be asked again.
            let pause = STORE_ELSEWHERE_AFTER.saturating_sub(started.elapsed());
            async_io::Timer::after(pause).await;
        }
    }

    /// asks the members of the view in force until enough have stored the record, or it is time to ask again.
    async fn try_finish(&self, program: &str, request: &LedgerRequest, until: Instant) -> bool {
        let mut round = Round::new(self, program, None, false);
        let elsewhere_at = Instant::now() + STORE_ELSEWHERE_AFTER;
        while !round.gather.is_stored() {
            let now = Instant::now();
            if now >= until {
                return false;
            }
            let few = now < elsewhere_at;
            let count = if few { round.view.quorum().write() } else { round.view.members.len() };
            round.ask(self, count, None, |_| request.clone());
            let wake = if few { elsewhere_at.min(until) } else { until };
            let Some(Ok(heard)) = timeout(wake.saturating_duration_since(now), round.receiver.recv()).await
            else {
                continue;
            };
            match round.hear(self, heard, request) {
                Progress::Goes => {}
                Progress::NewView | Progress::Hopeless => return false,
            }
        }
        true
    }
}
