//! streams while replicas of several software versions serve: one stream holds events of one version only.

mod fleet;

use std::collections::BTreeSet;

use flamingo_standins::replica::ReplicaFault;
use fleet::Answer;
use fleet::ClientRequest;
use fleet::Fleet;
use serde_json::json;
use test_case::test_case;

/// streams of a test; each begins at a replica of either version.
const STREAMS: usize = 12;
/// event after which replicas break streams off.
const BREAK_AFTER: usize = 2;
/// the version that all replicas of a fleet run at first.
const OLD: &str = "v1";
const NEW: &str = "v2";

/// whether the streams of a test are turns of programs or belong to none.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Program,
    Nobody,
}

/// a stream as the caller sees it, over all its attempts.
struct Stream {
    owner: Owner,
    name: String,
    attempts: usize,
    events: usize,
    ids: Vec<String>,
}

impl Stream {
    fn new(owner: Owner, number: usize) -> Self {
        Self { owner, name: format!("stream-{number}"), attempts: 0, events: 0, ids: Vec::new() }
    }

    /// the next attempt: the beginning, or the take-up of what has arrived.
    fn next(&mut self) -> ClientRequest {
        self.attempts += 1;
        let id = format!("{}-{}", self.name, self.attempts);
        self.ids.push(id.clone());
        let request = match self.owner {
            Owner::Program => ClientRequest::turn("/chat/t", &id, &self.name, &self.name, 10_000, 100),
            Owner::Nobody => ClientRequest::post("/chat/t", &id, &self.name),
        };
        if self.events == 0 {
            return request;
        }
        request.with("Last-Event-Id", &self.events.to_string()).with("Resumes", &self.ids[0])
    }

    fn send(&mut self, fleet: &Fleet, door: usize) -> Answer {
        let request = self.next();
        let answer = fleet.doors[door].send(&request);
        if answer.status == 200 {
            self.events += answer.events().len();
        }
        answer
    }

    /// versions of the replicas whose events the stream holds.
    fn versions(&self, fleet: &Fleet) -> BTreeSet<String> {
        let runs = fleet.models.iter().flat_map(|replica| replica.runs());
        let own = runs.filter(|run| run.events > 0 && self.ids.contains(&run.request));
        own.map(|run| run.version).collect()
    }
}

/// two replicas of each version, and a route that may be resumed.
fn start(name: &str, max_attempts: u32) -> Fleet {
    let mut fleet = Fleet::start(&format!("versions-{name}"), 2);
    fleet.add_version("new-1", "models", fleet::EVENTS, NEW);
    fleet.add_version("new-2", "models", fleet::EVENTS, NEW);
    let more = json!({ "resumable": true, "max_attempts": max_attempts });
    fleet.put_config(&json!([fleet::route("chat", "/chat/", "streaming", "models", more)]));
    for door in &fleet.doors {
        fleet.wait("the new route is in force", || door.lines_with("configuration activated").len() > 1);
    }
    fleet
}

/// sends turns until replicas of both versions have run some.
fn wait_for_both_versions(fleet: &Fleet) {
    let mut number = 0;
    fleet.wait("replicas of both versions run turns", || {
        for door in &fleet.doors {
            number += 1;
            let id = format!("first-{number}");
            door.send(&ClientRequest::turn("/chat/t", &id, "x", &id, 10_000, 100));
        }
        let runs = fleet.models.iter().flat_map(|replica| replica.runs());
        runs.map(|run| run.version).collect::<BTreeSet<_>>().len() == 2
    });
}

/// waits until both doors know that replicas leave.
fn wait_until_leaving(fleet: &Fleet, replicas: &[&str]) {
    fleet.wait(&format!("{replicas:?} are known to leave"), || {
        let lines = fleet.doors.iter().map(|door| door.lines_with("replica entry marks it as leaving"));
        let mut lines = lines.map(|lines| lines.concat());
        lines.all(|lines| replicas.iter().all(|replica| lines.contains(replica)))
    });
}

/// begins streams that break off after some events.
fn begin_streams(fleet: &Fleet, owner: Owner) -> Vec<Stream> {
    fleet.set_faults(ReplicaFault::BreakAfter(BREAK_AFTER));
    let streams = (0..STREAMS).map(|number| {
        let mut stream = Stream::new(owner, number);
        let answer = stream.send(fleet, number % 2);
        assert!(!answer.is_whole && stream.events == BREAK_AFTER, "{answer:?}");
        stream
    });
    let streams = streams.collect();
    fleet.set_faults(ReplicaFault::None);
    streams
}

/// Guards against a door that joins what replicas of two versions write into one answer.
#[test_case(Owner::Program; "turns")]
#[test_case(Owner::Nobody; "streams without a program")]
fn resumed_stream_stays_at_its_version(owner: Owner) {
    let fleet = start(&format!("resumed-{owner:?}"), 3);
    wait_for_both_versions(&fleet);
    for replica in [&fleet.models[0], &fleet.models[2]] {
        replica.set_fault(ReplicaFault::BreakAfter(BREAK_AFTER));
    }
    for number in 0..STREAMS {
        let mut stream = Stream::new(owner, number);
        let answer = stream.send(&fleet, number % 2);
        assert!(stream.versions(&fleet).len() < 2, "{answer:?}");
        assert!(answer.is_whole && answer.events().len() == fleet::EVENTS, "{answer:?}");
    }
}

/// Guards against a stream that a caller takes up at any door and that goes on at another version.
#[test_case(Owner::Program, false; "turns")]
#[test_case(Owner::Program, true; "turns after a restart of all processes")]
#[test_case(Owner::Nobody, false; "streams without a program")]
#[test_case(Owner::Nobody, true; "streams without a program after a restart")]
fn stream_taken_up_stays_at_its_version(owner: Owner, restarts: bool) {
    let mut fleet = start(&format!("taken-up-{owner:?}-{restarts}"), 1);
    wait_for_both_versions(&fleet);
    let streams = begin_streams(&fleet, owner);
    if restarts {
        fleet.restart_all();
        wait_for_both_versions(&fleet);
    }
    for (number, mut stream) in streams.into_iter().enumerate() {
        let answer = stream.send(&fleet, (number + 1) % 2);
        assert!(stream.versions(&fleet).len() < 2, "{answer:?}");
        assert!(answer.is_whole && stream.events == fleet::EVENTS, "{answer:?}");
    }
}

/// Guards against a stream that goes on at the only version that is listed, though another one began it.
#[test_case(false; "seen to leave")]
#[test_case(true; "gone before the doors started")]
fn stream_of_a_version_that_is_gone_is_refused(restarts: bool) {
    let mut fleet = start(&format!("gone-{restarts}"), 1);
    for replica in &fleet.models[2..] {
        fleet.register_replica(replica, "draining");
    }
    wait_until_leaving(&fleet, &["new-1", "new-2"]);
    let streams = begin_streams(&fleet, Owner::Program);
    for replica in &fleet.models[..2] {
        fleet.register_replica(replica, "draining");
    }
    for replica in &fleet.models[2..] {
        fleet.register_replica(replica, "ready");
    }
    wait_until_leaving(&fleet, &["model-1", "model-2"]);
    if restarts {
        fleet.restart_all();
    }
    wait_for_both_versions(&fleet);
    for (number, mut stream) in streams.into_iter().enumerate() {
        let answer = stream.send(&fleet, number % 2);
        assert_eq!(stream.versions(&fleet), BTreeSet::from([OLD.to_owned()]), "{answer:?}");
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
}

/// Guards against a take-up that names no stream and goes on at any replica.
#[test_case(&[]; "no attempt")]
#[test_case(&[("Resumes", "")]; "an empty attempt")]
#[test_case(&[("Resumes", "unheard-of")]; "an attempt that never was")]
fn take_up_without_a_known_stream_is_refused(headers: &[(&str, &str)]) {
    let fleet = Fleet::start(
        &format!("unknown-{}-{}", headers.len(), headers.iter().map(|h| h.1.len()).sum::<usize>()),
        1,
    );
    for (number, owner) in [Owner::Program, Owner::Nobody].into_iter().enumerate() {
        let mut request = Stream::new(owner, number).next().with("Last-Event-Id", "2");
        for (name, value) in headers {
            request = request.with(name, value);
        }
        let answer = fleet.doors[0].send(&request);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert_eq!(fleet.run_count(&request.id), 0, "{answer:?}");
    }
}

/// Guards against a stream of a process that has come back under its id with another version, which the list
/// does not tell yet.
#[test]
fn version_of_an_unlisted_process_is_not_taken_for_the_listed_one() {
    let mut fleet = Fleet::start("versions-unlisted", 1);
    let more = json!({ "resumable": true, "max_attempts": 3 });
    fleet.put_config(&json!([fleet::route("chat", "/chat/", "streaming", "models", more)]));
    fleet
        .wait("the new route is in force", || fleet.doors[0].lines_with("configuration activated").len() > 1);
    fleet.models[0].upgrade(NEW);
    for number in 0..STREAMS {
        let mut stream = Stream::new(Owner::Program, number);
        let answer = stream.send(&fleet, 0);
        assert_eq!(stream.versions(&fleet), BTreeSet::from([OLD.to_owned()]), "{answer:?}");
        assert!(answer.is_whole, "{answer:?}");
    }
    fleet.register_replicas();
    wait_for_both_versions(&fleet);
}
