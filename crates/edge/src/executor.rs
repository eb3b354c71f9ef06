use std::future::Future;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;

/// a handle that starts tasks on the worker threads of this process.
#[derive(Clone, Debug)]
pub struct Spawner {
    executor: Arc<Executor<'static>>,
}

impl Spawner {
    /// starts `thread_count` worker threads, which run until the process ends.
    pub fn start(thread_count: usize) -> Self {
        let executor = Arc::new(Executor::new());
        for index in 0..thread_count {
            let executor = Arc::clone(&executor);
            let worker = thread::Builder::new().name(format!("worker-{index}"));
            let run = move || async_io::block_on(executor.run(future::pending::<()>()));
            worker.spawn(run).expect("the system refuses to start a thread");
        }
        Self { executor }
    }

    /// a handle whose tasks run on the thread that calls `run`, for processes that have one core.
    pub fn local() -> Self {
        Self { executor: Arc::new(Executor::new()) }
    }

    /// runs the tasks of this handle on the calling thread until `main` is done.
    pub fn run<T>(&self, main: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(main))
    }

    /// starts a task that nobody waits for.
    pub fn detach(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    /// starts a task that ends when its handle is dropped.
    pub fn spawn<T: Send + 'static>(&self, task: impl Future<Output = T> + Send + 'static) -> Task<T> {
        self.executor.spawn(task)
    }
}

/// runs `work` for at most `limit`; `None` means that the time ran out.
pub async fn timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let expire = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(work.await) }, expire).await
}
