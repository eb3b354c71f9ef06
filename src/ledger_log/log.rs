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
use crate::ledger_log::writer::Command;
use crate::ledger_log::writer::Writer;
use crate::schema::LedgerRecord;

/// the log of one ledger node; a thread of its own writes it.
#[derive(Debug)]
pub struct LedgerLog {
    commands: Sender<Command>,
}

/// an opened log and what was found on its disk.
#[derive(Debug)]
pub struct OpenedLog {
    /// the log, ready for new records.
    pub log: LedgerLog,
    /// progress and failures of the writer.
    pub events: Receiver<LogEvent>,
    /// disk id.
    pub disk: String,
    /// whether the disk had no id and got a new one.
    pub is_empty: bool,
    /// segments that end with an incomplete or damaged record.
    pub torn_count: usize,
}

impl LedgerLog {
    /// replays the log in `folder` and continues in a new segment.
    pub fn open(folder: &Path, mut on_record: impl FnMut(LedgerRecord)) -> io::Result<OpenedLog> {
        fs::create_dir_all(folder)?;
        let (disk, had_id) = disk_identity::read_or_create(folder)?;
        let numbers = segments::list(folder)?;
        let mut torn_count = 0;
        for number in &numbers {
            // Each process start opens a new segment, so any segment may end with a record that a power loss
            // cut off. Such a record was never acknowledged.
            torn_count += usize::from(segments::replay(&segments::path(folder, *number), &mut on_record)?);
        }
        let segment = numbers.last().map_or(1, |number| number + 1);
        let file = segments::create(folder, segment)?;
        let (commands, command_receiver) = mpsc::channel();
        let (event_sender, events) = async_channel::unbounded();
        let writer = Writer {
            folder: folder.to_owned(),
            segment,
            file,
            commands: command_receiver,
            events: event_sender,
        };
        thread::Builder::new().name("ledger-log".to_owned()).spawn(move || writer.run())?;
        Ok(OpenedLog { log: Self { commands }, events, disk, is_empty: !had_id, torn_count })
    }

    /// appends a record; `LogEvent::Synced` follows once it is on disk.
    pub fn append(&self, number: u64, record: LedgerRecord) {
        // The writer ends only after it has reported a disk failure.
        let _ = self.commands.send(Command::Append(number, record));
    }

    /// starts a new segment with the live records and removes the older segments.
    pub fn compact(&self, records: Vec<LedgerRecord>) {
        let _ = self.commands.send(Command::Compact(records));
    }
}
