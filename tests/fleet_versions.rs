//! streams while replicas of several software versions serve: one stream holds events of one version only.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

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

/// what happens to the replicas while a door stands still.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    /// replicas of a new version join, and those of the old one leave for a while.
    NewOnesJoin,
    /// all replicas come back under their ids with a new version.
    AllAreUpgraded,
}

impl Meanwhile {
    fn happen(self, fleet: &mut Fleet) {
        match self {
            Self::NewOnesJoin => {
                fleet.add_version("new-1", "models", fleet::EVENTS, NEW);
                fleet.add_version("new-2", "models", fleet::EVENTS, NEW);
                for replica in &fleet.models[..2] {
                    fleet.register_replica(replica, "draining");
                }
            }
            Self::AllAreUpgraded => {
                for replica in &fleet.models {
                    replica.upgrade(NEW);
                }
                fleet.register_replicas();
            }
        }
    }
}

/// two replicas of the old version behind two doors that have not sent them anything.
fn start_old(name: &str) -> Fleet {
    let mut fleet = Fleet::start(&format!("versions-{name}"), 2);
    let more = json!({ "resumable": true, "max_attempts": 1 });
    fleet.put_config(&json!([fleet::route("chat", "/chat/", "streaming", "models", more)]));
    for door in &fleet.doors {
        fleet.wait("the new route is in force", || door.lines_with("configuration activated").len() > 1);
    }
    fleet
}

/// begins a stream through a door until it begins at a version; earlier ones stay as they are.
fn begin_at(fleet: &Fleet, door: usize, owner: Owner, version: &str, number: &mut usize) -> Stream {
    fleet.set_faults(ReplicaFault::BreakAfter(BREAK_AFTER));
    let mut begun = None;
    fleet.wait(&format!("a stream begins at {version}"), || {
        *number += 1;
        let mut stream = Stream::new(owner, *number);
        stream.send(fleet, door);
        if stream.versions(fleet) == BTreeSet::from([version.to_owned()]) {
            begun = Some(stream);
        }
        begun.is_some()
    });
    fleet.set_faults(ReplicaFault::None);
    begun.expect("the wait is over")
}

/// wakes a door that stands still while each stream waits to be taken up there.
fn take_up_while_it_wakes(fleet: &Fleet, door: usize, streams: &mut [Stream]) -> Vec<Answer> {
    std::thread::scope(|scope| {
        let waiting: Vec<_> =
            streams.iter_mut().map(|stream| scope.spawn(move || stream.send(fleet, door))).collect();
        // The requests are in the door's sockets before it runs again.
        std::thread::sleep(Duration::from_millis(300));
        fleet.doors[door].signal("CONT");
        waiting.into_iter().map(|caller| caller.join().expect("a caller finishes")).collect()
    })
}

/// Guards against a door that stood still while a new version joined, and goes on with streams of other doors at the
/// version that its old list names.
#[test_case(Meanwhile::NewOnesJoin, Owner::Program, NEW; "turns of replicas that joined")]
#[test_case(Meanwhile::NewOnesJoin, Owner::Nobody, NEW; "streams of replicas that joined")]
#[test_case(Meanwhile::AllAreUpgraded, Owner::Program, NEW; "turns of upgraded replicas")]
#[test_case(Meanwhile::AllAreUpgraded, Owner::Nobody, NEW; "streams of upgraded replicas")]
#[test_case(Meanwhile::AllAreUpgraded, Owner::Program, OLD; "turns of replicas before an upgrade")]
#[test_case(Meanwhile::AllAreUpgraded, Owner::Nobody, OLD; "streams of replicas before an upgrade")]
fn frozen_door_goes_on_at_the_version_of_a_stream(meanwhile: Meanwhile, owner: Owner, begun_at: &str) {
    let mut fleet = start_old(&format!("frozen-{meanwhile:?}-{owner:?}-{begun_at}"));
    let mut number = 0;
    let mut streams = Vec::new();
    if begun_at == OLD {
        streams.extend((0..STREAMS).map(|_| begin_at(&fleet, 0, owner, OLD, &mut number)));
    }
    fleet.doors[1].signal("STOP");
    meanwhile.happen(&mut fleet);
    if begun_at == NEW {
        streams.extend((0..STREAMS).map(|_| begin_at(&fleet, 0, owner, NEW, &mut number)));
    }
    for replica in &fleet.models {
        fleet.register_replica(replica, "ready");
    }
    let answers = take_up_while_it_wakes(&fleet, 1, &mut streams);
    for (stream, answer) in streams.iter().zip(&answers) {
        assert_eq!(stream.versions(&fleet), BTreeSet::from([begun_at.to_owned()]), "{answer:?}");
        assert!(answer.is_whole || answer.status == 503, "{answer:?}");
    }
}

/// Guards against a stream that is recorded under the version that an old list names, and taken up at that version.
#[test_case(Owner::Program; "turns")]
#[test_case(Owner::Nobody; "streams without a program")]
fn stream_begun_by_a_frozen_door_stays_at_its_version(owner: Owner) {
    let mut fleet = start_old(&format!("frozen-begins-{owner:?}"));
    fleet.doors[1].signal("STOP");
    Meanwhile::AllAreUpgraded.happen(&mut fleet);
    fleet.set_faults(ReplicaFault::BreakAfter(BREAK_AFTER));
    let mut streams: Vec<Stream> = (0..STREAMS).map(|number| Stream::new(owner, number)).collect();
    take_up_while_it_wakes(&fleet, 1, &mut streams);
    fleet.set_faults(ReplicaFault::None);
    fleet.add_version("old-1", "models", fleet::EVENTS, OLD);
    wait_for_both_versions(&fleet);
    for stream in &mut streams {
        let answer = stream.send(&fleet, 0);
        assert!(stream.versions(&fleet).len() < 2, "{answer:?}");
    }
}

/// Guards against a door that is cut off from the ledger and goes on with a stream at any version.
#[test_case(Owner::Program; "turns")]
#[test_case(Owner::Nobody; "streams without a program")]
fn door_without_the_ledger_takes_no_stream_up(owner: Owner) {
    let fleet = start(&format!("no-ledger-{owner:?}"), 1);
    wait_for_both_versions(&fleet);
    let mut streams = begin_streams(&fleet, owner);
    for ledger in &fleet.ledgers {
        ledger.signal("STOP");
    }
    for stream in &mut streams {
        let request = stream.next().with("X-Deadline-Ms", "600");
        let answer = fleet.doors[1].send(&request);
        assert!(answer.status >= 500, "{answer:?}");
        assert_eq!(stream.versions(&fleet).len(), 1, "{answer:?}");
    }
}
