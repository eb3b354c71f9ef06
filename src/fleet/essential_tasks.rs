use std::future::Future;
use std::panic::AssertUnwindSafe;

use async_channel::Receiver;
use async_channel::Sender;
use flamingo_edge::Spawner;
use futures_lite::FutureExt;

/// tasks without which a process only looks alive, such as a door's reports.
///
/// A panic in a task ends nothing else. For the task of one connection that is right; a process whose essential task has
/// ended would go on with what it knew then, so it ends as well and is started again.
#[derive(Debug)]
pub struct EssentialTasks {
    spawner: Spawner,
    ended: Sender<&'static str>,
    ends: Receiver<&'static str>,
}

impl EssentialTasks {
    /// watches no task yet.
    pub fn new(spawner: Spawner) -> Self {
        let (ended, ends) = async_channel::unbounded();
        Self { spawner, ended, ends }
    }

    /// starts a task that should never end.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let ended = self.ended.clone();
        self.spawner.detach(async move {
            // The panic hook has written where it was; whether it panicked or returned makes no difference here.
            let _ = AssertUnwindSafe(task).catch_unwind().await;
            let _ = ended.try_send(name);
        });
    }

    /// waits until a task has ended, and names it.
    pub async fn ended(&self) -> &'static str {
        match self.ends.recv().await {
            Ok(name) => name,
            // This keeps a sender, so the channel is never closed.
            Err(_) => std::future::pending().await,
        }
    }
}
