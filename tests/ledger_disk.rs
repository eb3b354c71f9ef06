//! the log of a ledger node: what was synced is read again, and nothing after a cut is.

use std::fs;
use std::path::PathBuf;

use flamingostand::ledger_log::LedgerLog;
use flamingostand::ledger_log::LogEvent;
use flamingostand::schema::LedgerRecord;
use flamingostand::schema::ReservedTokens;

fn folder(name: &str) -> PathBuf {
    let root = option_env!("CARGO_TARGET_TMPDIR").map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = root.join(format!("disk-{name}-{}", std::process::id()));
    // It is not there, or from a test that failed.
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn record(number: u64) -> LedgerRecord {
    LedgerRecord::Reserved(ReservedTokens {
        program: "p".to_owned(),
        request: format!("r{number}"),
        tokens: number,
        away: false,
    })
}

/// appends records and waits until they are on disk.
fn append(
    log: &LedgerLog,
    events: &async_channel::Receiver<LogEvent>,
    numbers: std::ops::RangeInclusive<u64>,
) {
    let last = *numbers.end();
    for number in numbers {
        log.append(number, record(number));
    }
    loop {
        match events.recv_blocking().expect("the log tells of syncs") {
            LogEvent::Synced(number) if number >= last => return,
            LogEvent::Synced(_) | LogEvent::SegmentFull => {}
            LogEvent::Failed(error) => panic!("{error}"),
        }
    }
}

fn read(folder: &std::path::Path) -> (Vec<LedgerRecord>, String, usize) {
    let mut records = Vec::new();
    let opened = LedgerLog::open(folder, |record| records.push(record)).expect("the log opens");
    (records, opened.disk, opened.torn_count)
}

#[test]
fn records_come_back() {
    let folder = folder("back");
    let mut none = Vec::new();
    let opened = LedgerLog::open(&folder, |record| none.push(record)).expect("the log opens");
    assert!(opened.is_empty && none.is_empty());
    append(&opened.log, &opened.events, 1..=50);
    drop(opened.log);
    let (records, disk, torn) = read(&folder);
    assert_eq!(records, (1..=50).map(record).collect::<Vec<_>>());
    assert_eq!((disk, torn), (opened.disk, 0), "the disk keeps its identity");
}

#[test]
fn cut_record_ends_its_segment() {
    let folder = folder("cut");
    let opened = LedgerLog::open(&folder, |_| {}).expect("the log opens");
    append(&opened.log, &opened.events, 1..=10);
    drop(opened.log);
    let segment = fs::read_dir(&folder)
        .expect("the folder")
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .find(|path| path.to_string_lossy().contains("log-"))
        .expect("a segment");
    let bytes = fs::read(&segment).expect("the segment");
    for cut in [1, 7, 13, 40] {
        fs::write(&segment, &bytes[..bytes.len() - cut]).expect("the cut segment");
        let (records, _, torn) = read(&folder);
        assert!(records.len() < 10 && torn == 1, "cut {cut}");
        assert_eq!(records, (1..=records.len() as u64).map(record).collect::<Vec<_>>());
    }
    let mut damaged = bytes.clone();
    let middle = bytes.len() / 2;
    damaged[middle] ^= 0x20;
    fs::write(&segment, &damaged).expect("the damaged segment");
    assert!(read(&folder).0.len() < 10, "a damaged record is not read");
}

#[test]
fn restart_keeps_what_is_live() {
    let folder = folder("restart");
    let opened = LedgerLog::open(&folder, |_| {}).expect("the log opens");
    append(&opened.log, &opened.events, 1..=20);
    opened.log.compact(vec![record(19), record(20)]);
    append(&opened.log, &opened.events, 21..=22);
    drop(opened.log);
    assert_eq!(read(&folder).0, [record(19), record(20), record(21), record(22)]);
}
