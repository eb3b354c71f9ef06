use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::timeout;

use crate::ledger::Gather;
use crate::ledger_client::HeardEvent;
use crate::ledger_client::LedgerClient;
use crate::schema::LedgerFinish;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;

/// wait before a node that has not answered is asked again: above a sync of a slow disk.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// the records are not on enough disks in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotStored;

impl LedgerClient {
    /// stores the end of a turn on enough disks, trying until `deadline`.
    pub async fn finish(&self, finish: LedgerFinish, deadline: Instant) -> Result<(), NotStored> {
        loop {
            match self.try_finish(&finish, deadline).await {
                Some(outcome) => return outcome,
                // The view has changed.
                None => continue,
            }
        }
    }

    async fn try_finish(&self, finish: &LedgerFinish, deadline: Instant) -> Option<Result<(), NotStored>> {
        let view = self.view();
        let (sender, receiver) = async_channel::unbounded();
        let mut gather = Gather::new(&view, None);
        let mut stored: BTreeSet<String> = BTreeSet::new();
        loop {
            for member in view.members.iter().filter(|member| !stored.contains(&member.name)) {
                let request = LedgerRequest::Finish(finish.clone());
                // A member that cannot be reached is asked again in the next round.
                self.ask(member, view.epoch, request, None, &sender);
            }
            let round_ends = (Instant::now() + ASK_AGAIN).min(deadline);
            loop {
                if gather.is_stored() {
                    return Some(Ok(()));
                }
                let left = round_ends.saturating_duration_since(Instant::now());
                let Some(Ok(heard)) = timeout(left, receiver.recv()).await else {
                    break;
                };
                match heard.event {
                    HeardEvent::Reply(LedgerReply::Stored(_)) => {
                        gather.stored(&heard.member);
                        stored.insert(heard.member);
                    }
                    HeardEvent::Reply(LedgerReply::Stale(stale)) if stale.view.epoch > view.epoch => {
                        self.adopt(&stale.view);
                        return None;
                    }
                    HeardEvent::Reply(LedgerReply::Stale(_)) => {
                        if let Some(member) = view.member(&heard.member) {
                            let (ignored, _) = async_channel::unbounded();
                            self.teach(member, &view, &ignored);
                            self.ask(member, view.epoch, LedgerRequest::Finish(finish.clone()), None, &sender);
                        }
                    }
                    HeardEvent::Reply(_) | HeardEvent::Lost => {}
                }
            }
            if Instant::now() >= deadline {
                return Some(Err(NotStored));
            }
        }
    }
}
