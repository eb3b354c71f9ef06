//! panics in tasks of a process: in a connection's task it ends only that connection; in an essential task it
//! ends the process, so that a supervisor restarts it.

use std::time::Duration;

use async_io::Timer;
use flamingo_edge::Spawner;
use flamingostand::fleet::EssentialTasks;
use futures_lite::future;

/// waits up to 200 ms for an essential task to end; returns its name.
async fn ended(essentials: &EssentialTasks) -> Option<&'static str> {
    let time_limit = async {
        Timer::after(Duration::from_millis(200)).await;
        None
    };
    future::or(async { Some(essentials.ended().await) }, time_limit).await
}

#[test]
fn panic_of_an_essential_task_is_noticed() {
    let spawner = Spawner::local();
    let essentials = EssentialTasks::new(spawner.clone());
    essentials.spawn("follow", future::pending());
    essentials.spawn("report", async { panic!("a lock was poisoned") });
    assert_eq!(spawner.run(ended(&essentials)), Some("report"));
}

#[test]
fn return_of_an_essential_task_is_noticed() {
    let spawner = Spawner::local();
    let essentials = EssentialTasks::new(spawner.clone());
    essentials.spawn("tick", async {});
    assert_eq!(spawner.run(ended(&essentials)), Some("tick"));
}

#[test]
fn panic_of_a_connection_ends_nothing() {
    let spawner = Spawner::local();
    let essentials = EssentialTasks::new(spawner.clone());
    essentials.spawn("report", future::pending());
    spawner.detach(async { panic!("a message that makes no sense") });
    assert_eq!(spawner.run(ended(&essentials)), None);
}
