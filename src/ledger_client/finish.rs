use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use flamingo_edge::timeout;

use crate::ledger_client::AwaitedStep;
use crate::ledger_client::LedgerClient;
use crate::ledger_client::round::Progress;
use crate::ledger_client::round::Round;
use crate::schema::LedgerFinish;
use crate::schema::LedgerRequest;

/// pause before asking the members of a new view, or the same ones after the quorum was lost: a broken
/// connection is open again after a few round trips.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// the record did not reach enough disks before the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotStored;

/// how one attempt to store a record ended.
enum Attempt {
    Stored,
    /// another view is in force, or too few members can be reached.
    Retry,
    TimedOut,
}

impl LedgerClient {
    /// stores the end of a turn on enough disks, with retries until `deadline`.
    pub async fn finish(&self, finish: LedgerFinish, deadline: Instant) -> Result<(), NotStored> {
        let program = finish.program.clone();
        self.store(&program, &LedgerRequest::Finish(finish), deadline).await
    }

    /// stores a record at a write quorum of the members of `key`, with retries until `deadline`.
    pub(super) async fn store(
        &self,
        key: &str,
        request: &LedgerRequest,
        deadline: Instant,
    ) -> Result<(), NotStored> {
        self.count_first_attempt();
        loop {
            match self.try_store(key, request, deadline).await {
                Attempt::Stored => return Ok(()),
                Attempt::TimedOut => return Err(NotStored),
                // Merging a record is idempotent, so all members may be asked again.
                Attempt::Retry => Timer::after(RETRY_PAUSE).await,
            };
        }
    }

    /// asks the members of the current view until enough of them have stored the record.
    async fn try_store(&self, key: &str, request: &LedgerRequest, deadline: Instant) -> Attempt {
        let mut round = Round::new(self, key, None, false);
        let began = Instant::now();
        while !round.gather.has_write_quorum() {
            if Instant::now() >= deadline {
                return Attempt::TimedOut;
            }
            let wake_at = self.hedge_when_late(&mut round, AwaitedStep::Sync, began).min(deadline);
            round.ask(self, round.width(), None, |_| request.clone());
            if round.has_lost_quorum() {
                return Attempt::Retry;
            }
            let wait = wake_at.saturating_duration_since(Instant::now());
            let Some(Ok(update)) = timeout(wait, round.receiver.recv()).await else {
                continue;
            };
            match round.apply_update(self, update, request) {
                Progress::Continue => {}
                Progress::NewView | Progress::QuorumLost => return Attempt::Retry,
            }
        }
        Attempt::Stored
    }
}
