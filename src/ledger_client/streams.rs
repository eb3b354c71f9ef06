use std::time::Instant;

use flamingo_edge::timeout;

use crate::ledger_client::AwaitedStep;
use crate::ledger_client::LedgerClient;
use crate::ledger_client::NotStored;
use crate::ledger_client::reservation::BEGIN_TIMEOUT;
use crate::ledger_client::round::Progress;
use crate::ledger_client::round::Round;
use crate::schema::LedgerRequest;
use crate::schema::LedgerStream;
use crate::schema::StreamVersion;

/// the ledger could not tell which software began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupError;

impl LedgerClient {
    /// stores which software began a stream, at the members of `key`: its program, or its own id if it has
    /// none.
    pub async fn record_stream(
        &self,
        key: &str,
        began: StreamVersion,
        deadline: Instant,
    ) -> Result<(), NotStored> {
        self.store(key, &LedgerRequest::StreamBegan(began), deadline).await
    }

    /// reads which software began the stream of an attempt that belongs to no program; `None` if that is on no
    /// disk.
    pub async fn find_stream(&self, attempt: &str) -> Result<Option<StreamVersion>, LookupError> {
        self.count_first_attempt();
        let request = LedgerRequest::Stream(LedgerStream { request: attempt.to_owned() });
        let deadline = Instant::now() + BEGIN_TIMEOUT;
        loop {
            let mut round = Round::new(self, attempt, None, false);
            if !round.has_quorum() {
                return Err(LookupError);
            }
            match self.gather_stream(&mut round, &request, deadline).await {
                Progress::Continue => return Ok(round.gather.stream().cloned()),
                Progress::NewView => {}
                Progress::QuorumLost => return Err(LookupError),
            }
        }
    }

    /// asks members until a read quorum has answered; a timeout counts as a lost quorum.
    async fn gather_stream(&self, round: &mut Round, request: &LedgerRequest, deadline: Instant) -> Progress {
        let began = Instant::now();
        while !round.gather.has_read_quorum() {
            if Instant::now() >= deadline {
                return Progress::QuorumLost;
            }
            let wake_at = self.hedge_when_late(round, AwaitedStep::Answer, began).min(deadline);
            round.ask(self, round.width(), None, |_| request.clone());
            if round.has_lost_quorum() {
                return Progress::QuorumLost;
            }
            let wait = wake_at.saturating_duration_since(Instant::now());
            let Some(Ok(update)) = timeout(wait, round.receiver.recv()).await else {
                continue;
            };
            let progress = round.apply_update(self, update, request);
            if progress != Progress::Continue {
                return progress;
            }
        }
        Progress::Continue
    }
}
