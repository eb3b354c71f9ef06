//! replicas that name in their answers how many requests a second they take from all doors together.

mod fleet;

use std::time::Duration;
use std::time::Instant;

use flamingo_standins::replica::ReplicaStandin;
use fleet::Answer;
use fleet::ClientRequest;
use fleet::Fleet;

/// limit that a replica names, in requests a second.
const LIMIT_PER_S: f64 = 5.0;
/// time after which doors respect a limit.
const CONTACT: Duration = Duration::from_secs(3);
/// span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// time in which requests are sent.
const DURATION: Duration = Duration::from_secs(10);
/// pause between the requests of one caller.
const PAUSE: Duration = Duration::from_millis(40);
const CALLERS: usize = 4;

/// sends letters through both doors for a while; returns the statuses.
fn send_letters(fleet: &Fleet) -> Vec<u16> {
    let started = Instant::now();
    std::thread::scope(|scope| {
        let send = |caller: usize| {
            let mut statuses = Vec::new();
            while started.elapsed() < DURATION {
                let id = format!("letter-{caller}-{}", statuses.len());
                let request = ClientRequest::post("/send/letter", &id, &id);
                statuses.push(fleet.doors[caller % 2].send(&request).status);
                std::thread::sleep(PAUSE);
            }
            statuses
        };
        let callers: Vec<_> = (0..CALLERS).map(|caller| scope.spawn(move || send(caller))).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller ends")).collect()
    })
}

/// sends this many letters at the same moment.
fn send_at_once(fleet: &Fleet, count: usize) -> Vec<Answer> {
    let send = |number: usize| {
        let id = format!("at-once-{number}");
        fleet.doors[number % 2].send(&ClientRequest::post("/send/letter", &id, &id))
    };
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..count).map(|number| scope.spawn(move || send(number))).collect();
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect()
    })
}

/// the most requests that reached a replica in one window, later than the contact time after the first.
fn most_in_a_window(replica: &ReplicaStandin) -> usize {
    let times = replica.asked_at();
    let counted_from = times[0] + CONTACT;
    let counted: Vec<Instant> = times.into_iter().filter(|time| *time >= counted_from).collect();
    let in_window =
        |from: &Instant| counted.iter().filter(|time| **time >= *from && **time < *from + WINDOW).count();
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// what a replica may get in a window: half as much again as its limit allows, and five requests.
fn allowance() -> usize {
    (1.5 * LIMIT_PER_S * WINDOW.as_secs_f64()) as usize + 5
}

/// Guards against sending a replica far more than the limit that it names, while others have room.
#[test]
fn limited_replica_gets_what_it_takes() {
    let fleet = Fleet::start("limits-one", 2);
    fleet.tools[0].set_limit(Some("5.0"));
    let statuses = send_letters(&fleet);
    let most = most_in_a_window(&fleet.tools[0]);
    assert!(most <= allowance(), "{most} requests in 4 s, {} are allowed", allowance());
    assert!(most >= LIMIT_PER_S as usize, "the limit is used: {most}");
    assert!(statuses.iter().all(|status| *status == 200), "the other replica serves the rest: {statuses:?}");
}

/// Guards against requests that wait or are refused without a time to return when all replicas are limited.
#[test]
fn requests_beyond_all_limits_are_refused_at_once() {
    let fleet = Fleet::start("limits-all", 2);
    for tool in &fleet.tools {
        tool.set_limit(Some("5.0"));
    }
    let statuses = send_letters(&fleet);
    for tool in &fleet.tools {
        assert!(most_in_a_window(tool) <= allowance());
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served >= DURATION.as_secs() as usize * LIMIT_PER_S as usize, "{served} served: {statuses:?}");
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    let answers = send_at_once(&fleet, 30);
    let refused = answers.into_iter().find(|answer| answer.status == 503).expect("one is refused");
    assert_eq!(refused.body, "limited");
    assert!(refused.header("retry-after").is_some_and(|text| text.parse::<f64>().is_ok()));
}

/// Guards against a limit that outlasts the answers that name it.
#[test]
fn limit_is_over_when_answers_no_longer_name_it() {
    let fleet = Fleet::start("limits-over", 2);
    fleet.tools[0].set_limit(Some("1.0"));
    fleet.tools[1].set_limit(Some("1.0"));
    send_letters(&fleet);
    for tool in &fleet.tools {
        tool.set_limit(None);
    }
    let mut number = 0;
    fleet.wait("both doors serve all requests", || {
        (0..20).all(|_| {
            number += 1;
            let id = format!("after-{number}");
            fleet.doors[number % 2].send(&ClientRequest::post("/send/letter", &id, &id)).status == 200
        })
    });
}
