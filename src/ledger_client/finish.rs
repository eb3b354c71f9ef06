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

/// pause before the members of another view are asked, or the same ones after too few could be reached: a connection
/// that broke is open again after a few round trips.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(60);

/// the records are not on enough disks in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotStored;

/// how a round of questions ended.
enum Ended {
    Stored,
    /// another view is in force, or too few members can be reached.
    AskAgain,
    TooLate,
}

impl LedgerClient {
    /// stores the end of a turn on enough disks, trying until `deadline`.
    pub async fn finish(&self, finish: LedgerFinish, deadline: Instant) -> Result<(), NotStored> {
        self.count_first();
        let request = LedgerRequest::Finish(finish.clone());
        loop {
            match self.try_finish(&finish.program, &request, deadline).await {
                Ended::Stored => return Ok(()),
                Ended::TooLate => return Err(NotStored),
                // Merging a record twice changes nothing, so all members may be asked again.
                Ended::AskAgain => Timer::after(ASK_AGAIN_AFTER).await,
            };
        }
    }

    /// asks the members of the view in force until enough have stored the record.
    async fn try_finish(&self, program: &str, request: &LedgerRequest, deadline: Instant) -> Ended {
        let mut round = Round::new(self, program, None, false);
        let began = Instant::now();
        while !round.gather.has_write_quorum() {
            if Instant::now() >= deadline {
                return Ended::TooLate;
            }
            let wake = self.widen_when_late(&mut round, AwaitedStep::Sync, began).min(deadline);
            round.ask(self, round.width(), None, |_| request.clone());
            if round.is_hopeless() {
                return Ended::AskAgain;
            }
            let wait = wake.saturating_duration_since(Instant::now());
            let Some(Ok(heard)) = timeout(wait, round.receiver.recv()).await else {
                continue;
            };
            match round.hear(self, heard, request) {
                Progress::Goes => {}
                Progress::NewView | Progress::Hopeless => return Ended::AskAgain,
            }
        }
        Ended::Stored
    }
}
