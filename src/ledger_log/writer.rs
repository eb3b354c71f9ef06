use std::fs::File;
use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::TryRecvError;

use async_channel::Sender;

use crate::ledger_log::frame;
use crate::ledger_log::segments;
use crate::schema::LedgerRecord;

/// segment size above which the log is compacted into a new segment.
///
/// The live records of the largest deployment that one shard serves take about half of this, and two segments
/// fit several times into the smallest disk of the fleet.
const SEGMENT_BYTES: usize = 48 << 20;
/// batch size after which no further command is taken before the write.
const BATCH_BYTES: usize = 1 << 20;

/// event that the log reports to the node.
#[derive(Debug)]
pub enum LogEvent {
    /// all records up to this log number are on disk.
    Synced(u64),
    /// the segment is full; `LedgerLog::compact` should be called with the live records.
    SegmentFull,
    /// the disk failed; nothing more will be stored.
    Failed(io::Error),
}

/// command to the writer thread.
#[derive(Debug)]
pub(super) enum Command {
    /// append a record with this log number.
    Append(u64, LedgerRecord),
    /// start a new segment with these records, which cover everything appended before.
    Compact(Vec<LedgerRecord>),
}

/// the writer thread; records that arrive during a sync are synced together with the next one.
pub(super) struct Writer {
    pub folder: PathBuf,
    pub segment: u64,
    pub file: File,
    pub commands: Receiver<Command>,
    pub events: Sender<LogEvent>,
}

impl Writer {
    /// runs until the log is dropped or the disk fails.
    pub fn run(mut self) {
        if let Err(error) = self.write_all() {
            // Fails only if the node has dropped the receiver.
            let _ = self.events.send_blocking(LogEvent::Failed(error));
        }
    }

    fn write_all(&mut self) -> io::Result<()> {
        let mut buffer = Vec::new();
        let mut segment_bytes = 0;
        while let Ok(first) = self.commands.recv() {
            let mut next = Some(first);
            let mut last_number = 0;
            buffer.clear();
            while let Some(command) = next {
                match command {
                    Command::Append(number, record) => {
                        frame::encode(&record, &mut buffer)?;
                        last_number = number;
                    }
                    Command::Compact(records) => {
                        // The live records cover what is in the buffer.
                        buffer.clear();
                        segment_bytes = self.compact(&records)?;
                    }
                }
                next = if buffer.len() < BATCH_BYTES { self.try_next()? } else { None };
            }
            if !buffer.is_empty() {
                self.file.write_all(&buffer)?;
                self.file.sync_data()?;
            }
            let was_full = segment_bytes > SEGMENT_BYTES;
            segment_bytes += buffer.len();
            if last_number > 0 {
                self.report(LogEvent::Synced(last_number));
            }
            if segment_bytes > SEGMENT_BYTES && !was_full {
                self.report(LogEvent::SegmentFull);
            }
        }
        Ok(())
    }

    fn try_next(&self) -> io::Result<Option<Command>> {
        match self.commands.try_recv() {
            Ok(command) => Ok(Some(command)),
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => Ok(None),
        }
    }

    /// writes the live records to a new segment, removes the older ones once it is on disk, and returns its
    /// size.
    fn compact(&mut self, records: &[LedgerRecord]) -> io::Result<usize> {
        self.segment += 1;
        let mut file = segments::create(&self.folder, self.segment)?;
        let mut buffer = Vec::new();
        let mut bytes = 0;
        for record in records {
            frame::encode(record, &mut buffer)?;
            if buffer.len() < BATCH_BYTES {
                continue;
            }
            file.write_all(&buffer)?;
            bytes += buffer.len();
            buffer.clear();
        }
        file.write_all(&buffer)?;
        bytes += buffer.len();
        file.sync_all()?;
        segments::remove_before(&self.folder, self.segment)?;
        self.file = file;
        Ok(bytes)
    }

    fn report(&self, event: LogEvent) {
        // Fails only if the node has dropped the receiver.
        let _ = self.events.try_send(event);
    }
}
