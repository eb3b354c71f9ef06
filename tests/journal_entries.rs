//! journals: commits, lost replies, seals, fences, gaps in the entry numbers, and the sweep.

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
#[allow(dead_code, reason = "each test uses a part of it")]
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

fn expect_call(step: Option<JournalStep>) -> PlatformRequest {
    match step {
        Some(JournalStep::Call(request)) => request,
        other => panic!("expected a platform call, got {other:?}"),
    }
}

/// creates an entry in the journal of `a`: a batch of one record, or a seal.
fn create_entry(platform: &mut FakePlatform, number: u64, sealed_by: Option<&str>) {
    let body = match sealed_by {
        Some(by) => EntryBody::Seal(flamingostand::schema::Seal { by: by.to_owned() }),
        None => EntryBody::Batch(Batch { records: vec![record(&format!("p{number}"))] }),
    };
    let entry = JournalEntry { incarnation: "a".to_owned(), mark: format!("m{number}"), body };
    let key = journal_key(&Incarnation::from("a"), number);
    platform.call(&PlatformRequest::Create { key, value: encode(&entry) }).expect("no entry has the number");
}

/// reads the journal of `a` and returns the programs of its records.
fn read_programs(platform: &mut FakePlatform, through: Option<u64>) -> Vec<String> {
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
    let first = expect_call(journal.poll(at(0)));
    journal.append(record("p2"));
    journal.append(record("p3"));
    assert!(journal.poll(at(100)).is_none(), "a second commit started while one was in flight");
    let result = platform.call(&first);
    assert!(
        matches!(journal.reply(at(100), &result), Some(JournalStep::Committed(records)) if records.len() == 1)
    );
    assert!(journal.poll(at(104)).is_none(), "a commit started before the gather time was over");
    let second = expect_call(journal.poll(at(105)));
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
    let first = expect_call(journal.poll(at(0)));
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
    create_entry(&mut platform, 1, Some("b"));
    journal.append(record("p1"));
    let request = expect_call(journal.poll(at(0)));
    let result = platform.call(&request);
    assert!(journal.reply(at(0), &result).is_none());
    let request = expect_call(journal.poll(at(0)));
    let result = platform.call(&request);
    assert!(matches!(journal.reply(at(0), &result), Some(JournalStep::Sealed)));
    assert!(journal.poll(at(1000)).is_none(), "a sealed journal was written to");
}

#[test_case(&[1, 2, 3], None, &["p1", "p2", "p3"]; "whole")]
#[test_case(&[1, 4, 5], None, &["p4", "p5"]; "delayed write before a gap")]
#[test_case(&[3, 4, 5], Some(4), &["p3", "p4"]; "up to a number")]
#[test_case(&[], None, &[]; "empty")]
fn entries_that_count(numbers: &[u64], through: Option<u64>, valid: &[&str]) {
    let mut platform = FakePlatform::default();
    for number in numbers {
        create_entry(&mut platform, *number, None);
    }
    assert_eq!(read_programs(&mut platform, through), valid);
    let sealed = numbers.last().copied().unwrap_or(0) + 1;
    let seal = platform.objects.contains_key(&journal_key(&Incarnation::from("a"), sealed));
    assert_eq!(seal, through.is_none(), "a journal is sealed if, and only if, all of it is read");
}

#[test]
fn seal_on_deleted_number() {
    // A reader pauses before it seals, while the owner commits more entries and deletes old ones. The seal
    // then takes the number of a deleted entry, so its write succeeds without stopping the owner.
    let mut platform = FakePlatform::default();
    for number in 1..=3 {
        create_entry(&mut platform, number, None);
    }
    let mut reader = JournalReader::new(Incarnation::from("b"), Incarnation::from("a"), None);
    let Some(ReadStep::Call(list)) = reader.poll(at(0)) else { panic!("expected a listing") };
    let result = platform.call(&list);
    let _ = reader.reply(at(0), result);
    for number in 4..=6 {
        create_entry(&mut platform, number, None);
    }
    for number in 1..=4 {
        let key = journal_key(&Incarnation::from("a"), number);
        platform.call(&PlatformRequest::Delete { key }).expect("the entry exists");
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
    assert!(
        platform.objects.contains_key("journal/a/000000000007"),
        "no seal follows the last entry of the owner"
    );
    assert_eq!(
        read_programs(&mut platform, None),
        ["p5", "p6"],
        "the seal without effect misled a later reader"
    );
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
        let request = expect_call(journal.poll(at(now)));
        let PlatformRequest::Create { value, .. } = &request else { panic!("{request:?}") };
        assert!(value.len() <= 4096, "an entry of {} bytes exceeds the maximum", value.len());
        let result = platform.call(&request);
        let _ = journal.reply(at(now), &result);
    }
    assert_eq!(journal.committed(), 300);
}

#[test]
fn commit_rate() {
    let mut journal = writer();
    journal.set_commit_interval(100);
    let mut platform = FakePlatform::default();
    for now in 0..10_000 {
        journal.append(record("p"));
        if let Some(JournalStep::Call(request)) = journal.poll(at(now)) {
            let result = platform.call(&request);
            let _ = journal.reply(at(now), &result);
        }
    }
    // 10 s at 10 commits/s, plus the burst at the start.
    assert!((100..=111).contains(&platform.calls["create"]), "{:?}", platform.calls);
}

#[test]
fn fence_reads() {
    let mut journal = writer();
    let fence = journal.request_fence();
    let request = expect_call(journal.poll(at(0)));
    assert!(
        matches!(request, PlatformRequest::Get { .. }),
        "a fence without records must only read: {request:?}"
    );
    assert!(!journal.fence_passed(fence));
    assert!(matches!(journal.reply(at(3), &Err(PlatformError::NotFound)), Some(JournalStep::FencePassed)));
    assert!(journal.fence_passed(fence));
}

/// runs the sweeper of the chosen member and returns the entry numbers left in the journal of `a`.
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
    let chosen = view.preferred("journal/sweep").expect("a member is chosen").incarnation.clone();
    let mut sweeper = Sweeper::new(chosen, 100, at(0));
    for now in (0..5000).step_by(10) {
        if let Some(request) = sweeper.poll(at(now), &view) {
            let result = platform.call(&request);
            sweeper.reply(at(now), result);
        }
    }
    let left = platform.objects.keys().filter_map(|key| key.strip_prefix("journal/a/"));
    left.map(|number| number.parse().expect("an entry number")).collect()
}

#[test_case(Some("b"), MemberHealth::Dead, false, &[4]; "successor's seal stays")]
#[test_case(Some("a"), MemberHealth::Dead, false, &[]; "own seal is deleted")]
#[test_case(None, MemberHealth::Dead, false, &[4]; "sealed before its deletion")]
#[test_case(None, MemberHealth::Alive, false, &[1, 2, 3]; "journal of a live member")]
#[test_case(Some("b"), MemberHealth::Dead, true, &[1, 2, 3, 4]; "referred to by a slot")]
fn sweep_leaves(sealed_by: Option<&str>, health: MemberHealth, named: bool, left: &[u64]) {
    let mut platform = FakePlatform::default();
    for number in 1..=3 {
        create_entry(&mut platform, number, None);
    }
    if sealed_by.is_some() {
        create_entry(&mut platform, 4, sealed_by);
    }
    if named {
        let object =
            SlotObject { owner: Some("a".to_owned()), owner_name: None, epoch: 1, sources: Vec::new() };
        let request = PlatformRequest::Create { key: "slot/000000".to_owned(), value: encode(&object) };
        platform.call(&request).expect("the slot object does not exist yet");
    }
    assert_eq!(sweep(&mut platform, health), left);
}

#[test]
fn named_while_sealed() {
    // The slot object refers to the journal only after the first listing of the slots, so that only the final
    // listing, after the seal, can keep the journal from being deleted.
    let mut platform = FakePlatform::default();
    create_entry(&mut platform, 1, None);
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
    let mut slot_listings = 0;
    for now in (0..400).step_by(10) {
        let Some(request) = sweeper.poll(at(now), &view) else { continue };
        let result = platform.call(&request);
        let lists_slots = matches!(&request, PlatformRequest::List { prefix, .. } if prefix == "slot/");
        slot_listings += u32::from(lists_slots);
        if lists_slots && slot_listings == 1 {
            let object =
                SlotObject { owner: Some("a".to_owned()), owner_name: None, epoch: 1, sources: Vec::new() };
            let request = PlatformRequest::Create { key: "slot/000000".to_owned(), value: encode(&object) };
            assert!(matches!(platform.call(&request), Ok(PlatformReply::Written { .. })));
            create_entry(&mut platform, 2, None);
        }
        sweeper.reply(at(now), result);
    }
    assert!(
        platform.objects.contains_key("journal/a/000000000002"),
        "an entry that a slot needs was deleted"
    );
}
