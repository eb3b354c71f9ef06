use std::fs;
use std::io;
use std::path::Path;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;

use async_channel::Receiver;

use crate::ledger_log::LogEvent;
use crate::ledger_log::disk_identity;
use crate::ledger_log::segments;
use crate::ledger_log::writer::Order;
use crate::ledger_log::writer::Writer;
use crate::schema::LedgerRecord;

/// the log of one ledger node.
#[derive(Debug)]
pub struct LedgerLog {
    orders: Sender<Order>,
}

/// a log that was just opened.
#[derive(Debug)]
pub struct OpenedLog {
    /// the log, ready for new records.
    pub log: LedgerLog,
    /// what it tells.
    pub events: Receiver<LogEvent>,
    /// identity of the disk.
    pub disk: String,
    /// whether the disk was empty, and has a new identity.
    pub is_empty: bool,
    /// segments that end with a record that was cut off.
    pub torn_count: usize,
}

impl LedgerLog {
    /// reads the log below `folder`, handing out its records, and goes on in a new segment.
    pub fn open(folder: &Path, mut take: impl FnMut(LedgerRecord)) -> io::Result<OpenedLog> {
        fs::create_dir_all(folder)?;
        let (disk, known) = disk_identity::read_or_make(folder)?;
        let numbers = segments::list(folder)?;
        let mut torn_count = 0;
        for number in &numbers {
            // Each start opens a new segment, so any one may end with what a power loss cut off; nobody was
            // told that such a record is stored.
            torn_count += usize::from(segments::replay(&segments::path(folder, *number), &mut take)?);
        }
        let segment = numbers.last().map_or(1, |number| number + 1);
        let file = segments::create(folder, segment)?;
        let (orders, received) = mpsc::channel();
        let (told, events) = async_channel::unbounded();
        let writer = Writer { folder: folder.to_owned(), segment, file, orders: received, events: told };
        thread::Builder::new().name("ledger-log".to_owned()).spawn(move || writer.run())?;
        Ok(OpenedLog { log: Self { orders }, events, disk, is_empty: !known, torn_count })
    }

    /// appends a record; an event tells once it is on disk.
    pub fn append(&self, number: u64, record: LedgerRecord) {
        // The writer ends only after it has told of a failed disk.
        let _ = self.orders.send(Order::Append(number, record));
    }

    /// starts a new segment with the live records; older segments are removed.
    pub fn compact(&self, records: Vec<LedgerRecord>) {
        let _ = self.orders.send(Order::Compact(records));
    }
}
