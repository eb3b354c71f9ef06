use std::future::Future;
use std::panic::AssertUnwindSafe;

use async_channel::Receiver;
use async_channel::Sender;
use flamingo_edge::Spawner;
use futures_lite::FutureExt;

/// supervises tasks that a process cannot work without, such as a door's reports.
///
/// A panic ends only its own task. That is right for the task of one connection; a process whose essential
/// task has ended would continue with stale data, so it exits as well and is restarted.
#[derive(Debug)]
pub struct EssentialTasks {
    spawner: Spawner,
    ended: Sender<&'static str>,
    ended_names: Receiver<&'static str>,
}

impl EssentialTasks {
    /// supervises no task yet.
    pub fn new(spawner: Spawner) -> Self {
        let (ended, ended_names) = async_channel::unbounded();
        Self { spawner, ended, ended_names }
    }

    /// starts a task that must not end; `name` identifies it when it does.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let ended = self.ended.clone();
        self.spawner.detach(async move {
            // The panic hook has logged the location; returning is as much a failure as a panic.
            let _ = AssertUnwindSafe(task).catch_unwind().await;
            let _ = ended.try_send(name);
        });
    }

    /// waits until a task ends and returns its name.
    pub async fn ended(&self) -> &'static str {
        match self.ended_names.recv().await {
            Ok(name) => name,
            // `self` holds a sender, so the channel never closes.
            Err(_) => std::future::pending().await,
        }
    }
}
