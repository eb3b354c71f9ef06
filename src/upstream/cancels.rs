use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use async_channel::Receiver;
use async_channel::Sender;

/// the turns of this process that run at an engine, each with a way to stop it.
#[derive(Clone, Debug, Default)]
pub(super) struct Cancels {
    running: Arc<Mutex<HashMap<String, Sender<()>>>>,
}

/// one registered turn; it is forgotten when this is dropped.
#[derive(Debug)]
pub(super) struct Cancellable {
    cancels: Cancels,
    request_id: String,
    cancelled: Receiver<()>,
}

impl Cancels {
    /// registers a turn.
    pub(super) fn register(&self, request_id: &str) -> Cancellable {
        let (sender, cancelled) = async_channel::bounded(1);
        let mut running = self.running.lock().expect("cancels lock poisoned");
        running.insert(request_id.to_owned(), sender);
        Cancellable { cancels: self.clone(), request_id: request_id.to_owned(), cancelled }
    }

    /// stops a turn, if it runs here.
    pub(super) fn cancel(&self, request_id: &str) {
        let running = self.running.lock().expect("cancels lock poisoned");
        if let Some(sender) = running.get(request_id) {
            let _ = sender.try_send(());
        }
    }
}

impl Cancellable {
    /// waits until the turn is cancelled.
    pub(super) async fn cancelled(&self) {
        if self.cancelled.recv().await.is_err() {
            // Another turn took the name; this one can no longer be cancelled by it.
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Cancellable {
    fn drop(&mut self) {
        let mut running = self.cancels.running.lock().expect("cancels lock poisoned");
        running.remove(&self.request_id);
    }
}
