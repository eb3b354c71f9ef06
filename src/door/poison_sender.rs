use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use flamingo_edge::timeout;

use crate::door::door::Door;
use crate::ledger_client::AskOutcome;
use crate::schema::LedgerMember;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;
use crate::schema::LedgerStrikes;
use crate::schema::LedgerView;

/// interval at which records that a node has not stored are sent to it again.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// timeout before records are sent to a node again: many syncs of a slow disk.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// wakes the task that sends strikes and unanswered runs to the ledger nodes.
///
/// They are sent at once, as what this process has not told ends with it.
pub(super) struct PoisonSender {
    wake: (Sender<()>, Receiver<()>),
}

impl Default for PoisonSender {
    fn default() -> Self {
        Self { wake: async_channel::bounded(1) }
    }
}

impl PoisonSender {
    /// has new records sent at once.
    pub fn wake(&self) {
        // A full channel means that the task is about to run.
        let _ = self.wake.0.try_send(());
    }

    async fn wait(&self) {
        let _ = timeout(RESEND_INTERVAL, self.wake.1.recv()).await;
    }
}

/// sends strikes and unanswered runs of this door to the ledger nodes until all of them have stored each; runs until
/// the process ends.
///
/// A write quorum is enough for a strike, but a node that misses how a run was cleared would hold it for long.
pub(super) async fn send_poison_records(door: Arc<Door>) {
    loop {
        door.poison_sender.wait().await;
        if door.poison().pending.is_empty() {
            continue;
        }
        let view = door.ledger.view();
        for member in &view.members {
            let batch = door.poison().pending.next_batch(view.epoch, &member.name);
            if let Some(batch) = batch {
                door.spawner.detach(send_batch(Arc::clone(&door), Arc::clone(&view), member.clone(), batch));
            }
        }
    }
}

async fn send_batch(door: Arc<Door>, view: Arc<LedgerView>, member: LedgerMember, batch: LedgerStrikes) {
    let is_stored = store(&door, &view, &member, &batch).await;
    let pending = &mut door.poison().pending;
    if is_stored {
        pending.acknowledge(view.epoch, &member.name, &batch, view.members.len());
    } else {
        pending.request_failed(view.epoch, &member.name);
    }
}

/// whether a node has the records on its disk.
async fn store(door: &Door, view: &LedgerView, member: &LedgerMember, batch: &LedgerStrikes) -> bool {
    let (sender, replies) = async_channel::unbounded();
    let request = LedgerRequest::Strikes(batch.clone());
    if !door.ledger.ask(member, view.epoch, request, None, &sender) {
        return false;
    }
    let answer = timeout(STORE_TIMEOUT, replies.recv()).await;
    match answer.and_then(Result::ok).map(|heard| heard.event) {
        Some(AskOutcome::Reply(LedgerReply::Stored(_))) => true,
        Some(AskOutcome::Reply(LedgerReply::Stale(stale))) => {
            door.ledger.adopt(&stale.view);
            false
        }
        Some(AskOutcome::Reply(_) | AskOutcome::ConnectionLost) | None => false,
    }
}
