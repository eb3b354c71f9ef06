//! the journal of one incarnation: commits, lost replies, seals, holes and the sweep.

use flamingostand::clock::Now;
use flamingostand::ids::Incarnation;
use flamingostand::journal::JournalReader;
use flamingostand::journal::JournalStep;
use flamingostand::journal::JournalWriter;
use flamingostand::journal::ReadStep;
use flamingostand::journal::Sweeper;
use flamingostand::journal::encode;
use flamingostand::journal::journal_key;
use flamingostand::member::Member;
use flamingostand::member::MemberView;
use flamingostand::platform::PlatformError;
use flamingostand::platform::PlatformReply;
use flamingostand::platform::PlatformRequest;
use flamingostand::schema::Batch;
use flamingostand::schema::EntryBody;
use flamingostand::schema::ForgottenRecord;
use flamingostand::schema::JournalEntry;
use flamingostand::schema::MemberHealth;
use flamingostand::schema::Record;
use flamingostand::schema::SlotObject;
use test_case::test_case;

#[path = "support/owner_world/platform.rs"]
#[allow(dead_code, reason = "a part is used")]
mod platform;

use platform::FakePlatform;

fn at(ms: u64) -> Now {
    Now { ms, unix_ms: ms }
}

fn record(program: &str) -> Record {
    Record::Forgotten(ForgottenRecord { program: program.to_owned() })
}

fn writer() -> JournalWriter {
    JournalWriter::new(Incarnation::from("a"), 5, 4096)
}

fn call(step: Option<JournalStep>) -> PlatformRequest {
    match step {
        Some(JournalStep::Call(request)) => request,
        other => panic!("no call but {other:?}"),
    }
}

/// puts a batch of one record, or a seal, into the journal of `a`.
fn put(platform: &mut FakePlatform, number: u64, sealed_by: Option<&str>) {
    let body = match sealed_by {
        Some(by) => EntryBody::Seal(flamingostand::schema::Seal { by: by.to_owned() }),
        None => EntryBody::Batch(Batch { records: vec![record(&format!("p{number}"))] }),
    };
    let entry = JournalEntry { incarnation: "a".to_owned(), mark: format!("m{number}"), body };
    let key = journal_key(&Incarnation::from("a"), number);
    platform.call(&PlatformRequest::Create { key, value: encode(&entry) }).expect("the number is free");
}

fn read(platform: &mut FakePlatform, through: Option<u64>) -> Vec<String> {
    let mut reader = JournalReader::new(Incarnation::from("b"), Incarnation::from("a"), through);
    let mut now = 0;
    while !reader.is_finished() {
        now += 200;
        if let Some(ReadStep::Call(request)) = reader.poll(at(now)) {
            let result = platform.call(&request);
            let _ = reader.reply(at(now), result);
        }
    }
    let records = reader.records().map(|record| match record {
        Record::Forgotten(record) => record.program.clone(),
        other => panic!("{other:?}"),
    });
    records.collect()
}

#[test]
fn one_commit() {
    let mut journal = writer();
    let mut platform = FakePlatform::default();
    journal.append(record("p1"));
    let first = call(journal.poll(at(0)));
    journal.append(record("p2"));
    journal.append(record("p3"));
    assert!(journal.poll(at(100)).is_none(), "a second commit while one is in flight");
    let result = platform.call(&first);
    assert!(
        matches!(journal.reply(at(100), &result), Some(JournalStep::Committed(records)) if records.len() == 1)
    );
    assert!(journal.poll(at(104)).is_none(), "a commit before the gathering time");
    let second = call(journal.poll(at(105)));
    let result = platform.call(&second);
    assert!(
        matches!(journal.reply(at(105), &result), Some(JournalStep::Committed(records)) if records.len() == 2)
    );
}

#[test_case(true; "took effect")]
#[test_case(false; "had no effect")]
fn lost_reply(effect: bool) {
    let mut journal = writer();
    let mut platform = FakePlatform::default();
    journal.append(record("p1"));
    let first = call(journal.poll(at(0)));
    if effect {
        platform.call(&first).expect("the write takes effect");
    }
    assert!(journal.reply(at(1), &Err(PlatformError::Unknown)).is_none());
    let mut now = 1;
    while journal.last_number() == 0 {
        now += 50;
        let Some(JournalStep::Call(request)) = journal.poll(at(now)) else { continue };
        let result = platform.call(&request);
        let _ = journal.reply(at(now), &result);
    }
    assert_eq!(platform.objects.len(), 1);
}

#[test]
fn seal_wins() {
    let mut journal = writer();
    let mut platform = FakePlatform::default();
    put(&mut platform, 1, Some("b"));
    journal.append(record("p1"));
    let request = call(journal.poll(at(0)));
    let result = platform.call(&request);
    assert!(journal.reply(at(0), &result).is_none());
    let request = call(journal.poll(at(0)));
    let result = platform.call(&request);
    assert!(matches!(journal.reply(at(0), &result), Some(JournalStep::Sealed)));
    assert!(journal.poll(at(1000)).is_none(), "a sealed journal writes nothing");
}

#[test_case(&[1, 2, 3], None, &["p1", "p2", "p3"]; "whole")]
#[test_case(&[1, 4, 5], None, &["p4", "p5"]; "late write before a hole")]
#[test_case(&[3, 4, 5], Some(4), &["p3", "p4"]; "only through")]
#[test_case(&[], None, &[]; "empty")]
fn entries_that_count(numbers: &[u64], through: Option<u64>, counting: &[&str]) {
    let mut platform = FakePlatform::default();
    for number in numbers {
        put(&mut platform, *number, None);
    }
    assert_eq!(read(&mut platform, through), counting);
    let sealed = numbers.last().copied().unwrap_or(0) + 1;
    let seal = platform.objects.contains_key(&journal_key(&Incarnation::from("a"), sealed));
    assert_eq!(seal, through.is_none(), "a seal stands behind a journal that is taken over");
}

#[test]
fn seal_on_deleted_number() {
    // A reader is paused before it seals; meanwhile the owner goes on and deletes old entries.
    let mut platform = FakePlatform::default();
    for number in 1..=3 {
        put(&mut platform, number, None);
    }
    let mut reader = JournalReader::new(Incarnation::from("b"), Incarnation::from("a"), None);
    let Some(ReadStep::Call(list)) = reader.poll(at(0)) else { panic!("no list") };
    let result = platform.call(&list);
    let _ = reader.reply(at(0), result);
    for number in 4..=6 {
        put(&mut platform, number, None);
    }
    for number in 1..=4 {
        let key = journal_key(&Incarnation::from("a"), number);
        platform.call(&PlatformRequest::Delete { key }).expect("the entry is there");
    }
    let mut now = 0;
    while !reader.is_finished() {
        now += 200;
        if let Some(ReadStep::Call(request)) = reader.poll(at(now)) {
            let result = platform.call(&request);
            let _ = reader.reply(at(now), result);
        }
    }
    let programs = reader.records().map(|record| match record {
        Record::Forgotten(record) => record.program.clone(),
        other => panic!("{other:?}"),
    });
    assert_eq!(programs.collect::<Vec<String>>(), ["p5", "p6"]);
    assert!(platform.objects.contains_key("journal/a/000000000007"), "the owner is not sealed");
    assert_eq!(read(&mut platform, None), ["p5", "p6"], "a later reader is misled by the useless seal");
}

#[test]
fn entry_size() {
    let mut journal = writer();
    for number in 0..300 {
        journal.append(record(&format!("a program with a rather long name {number}")));
    }
    let mut platform = FakePlatform::default();
    let mut now = 0;
    while !journal.is_idle() {
        now += 5;
        let request = call(journal.poll(at(now)));
        let PlatformRequest::Create { value, .. } = &request else { panic!("{request:?}") };
        assert!(value.len() <= 4096, "an entry of {} bytes", value.len());
        let result = platform.call(&request);
        let _ = journal.reply(at(now), &result);
    }
    assert_eq!(journal.committed(), 300);
}

#[test]
fn commit_rate() {
    let mut journal = writer();
    journal.set_pause(100);
    let mut platform = FakePlatform::default();
    for now in 0..10_000 {
        journal.append(record("p"));
        if let Some(JournalStep::Call(request)) = journal.poll(at(now)) {
            let result = platform.call(&request);
            let _ = journal.reply(at(now), &result);
        }
    }
    // Ten seconds at ten a second, and the burst at the start.
    assert!((100..=111).contains(&platform.calls["create"]), "{:?}", platform.calls);
}

#[test]
fn fence_reads() {
    let mut journal = writer();
    let fence = journal.fence();
    let request = call(journal.poll(at(0)));
    assert!(matches!(request, PlatformRequest::Get { .. }), "a fence alone writes nothing: {request:?}");
    assert!(!journal.is_fenced(fence));
    assert!(matches!(journal.reply(at(3), &Err(PlatformError::NotFound)), Some(JournalStep::Fenced)));
    assert!(journal.is_fenced(fence));
}

/// sweeps once and returns the numbers that are left of the journal of `a`.
fn sweep(platform: &mut FakePlatform, listed_as: MemberHealth) -> Vec<u64> {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7000));
    let member = |name: &str, health| Member {
        name: name.to_owned(),
        incarnation: Incarnation::from(name),
        health,
        leaving: false,
        region: "r".to_owned(),
        zone: "z".to_owned(),
        mesh: address,
        callers: address,
        release_version: 1,
    };
    let members = vec![member("a", listed_as), member("b", MemberHealth::Alive)];
    let view = MemberView { own_incarnation: Incarnation::from("b"), members, changed_ms: 0 };
    let chosen = view.preferred("journal/sweep").expect("some member").incarnation.clone();
    let mut sweeper = Sweeper::new(chosen, 100, at(0));
    for now in (0..5000).step_by(10) {
        if let Some(request) = sweeper.poll(at(now), &view) {
            let result = platform.call(&request);
            sweeper.reply(at(now), result);
        }
    }
    let left = platform.objects.keys().filter_map(|key| key.strip_prefix("journal/a/"));
    left.map(|number| number.parse().expect("a number")).collect()
}

#[test_case(Some("b"), MemberHealth::Dead, false, &[4]; "successor's seal stays")]
#[test_case(Some("a"), MemberHealth::Dead, false, &[]; "own seal goes")]
#[test_case(None, MemberHealth::Dead, false, &[4]; "sealed first")]
#[test_case(None, MemberHealth::Alive, false, &[1, 2, 3]; "present member")]
#[test_case(Some("b"), MemberHealth::Dead, true, &[1, 2, 3, 4]; "named by a slot")]
fn sweep_leaves(sealed_by: Option<&str>, health: MemberHealth, named: bool, left: &[u64]) {
    let mut platform = FakePlatform::default();
    for number in 1..=3 {
        put(&mut platform, number, None);
    }
    if sealed_by.is_some() {
        put(&mut platform, 4, sealed_by);
    }
    if named {
        let object =
            SlotObject { owner: Some("a".to_owned()), owner_name: None, epoch: 1, sources: Vec::new() };
        let request = PlatformRequest::Create { key: "slot/000000".to_owned(), value: encode(&object) };
        platform.call(&request).expect("the slot is free");
    }
    assert_eq!(sweep(&mut platform, health), left);
}

#[test]
fn named_while_sealed() {
    // The slot names the journal only after the first look: the second look must find it.
    let mut platform = FakePlatform::default();
    put(&mut platform, 1, None);
    let view = {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7000));
        let member = Member {
            name: "b".to_owned(),
            incarnation: Incarnation::from("b"),
            health: MemberHealth::Alive,
            leaving: false,
            region: "r".to_owned(),
            zone: "z".to_owned(),
            mesh: address,
            callers: address,
            release_version: 1,
        };
        MemberView { own_incarnation: Incarnation::from("b"), members: vec![member], changed_ms: 0 }
    };
    let mut sweeper = Sweeper::new(Incarnation::from("b"), 100, at(0));
    let mut looks = 0;
    for now in (0..400).step_by(10) {
        let Some(request) = sweeper.poll(at(now), &view) else { continue };
        let result = platform.call(&request);
        let slots = matches!(&request, PlatformRequest::List { prefix, .. } if prefix == "slot/");
        looks += u32::from(slots);
        if slots && looks == 1 {
            let object =
                SlotObject { owner: Some("a".to_owned()), owner_name: None, epoch: 1, sources: Vec::new() };
            let request = PlatformRequest::Create { key: "slot/000000".to_owned(), value: encode(&object) };
            assert!(matches!(platform.call(&request), Ok(PlatformReply::Written { .. })));
            put(&mut platform, 2, None);
        }
        sweeper.reply(at(now), result);
    }
    assert!(platform.objects.contains_key("journal/a/000000000002"), "an entry that a slot needs is gone");
}
