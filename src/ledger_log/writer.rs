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

/// size of a segment after which a new one is started with the live records.
///
/// Live records of the largest deployment that one shard serves take about half of this, and two segments
/// fit several times into the smallest disk of the fleet.
const SEGMENT_BYTES: usize = 48 << 20;
/// bytes written between two looks at the queue.
const BATCH_BYTES: usize = 1 << 20;

/// what the log tells the node.
#[derive(Debug)]
pub enum LogEvent {
    /// all records up to this number are on disk.
    Synced(u64),
    /// the segment is full; the live records should be handed over for a new one.
    SegmentFull,
    /// the disk failed; nothing more is stored.
    Failed(io::Error),
}

/// what the writer is asked for.
#[derive(Debug)]
pub(super) enum Order {
    /// append a record.
    Append(u64, LedgerRecord),
    /// start a new segment with these records; everything appended before is among them.
    Compact(Vec<LedgerRecord>),
}

/// the thread that writes: records that arrive during a sync share the next one.
pub(super) struct Writer {
    pub folder: PathBuf,
    pub segment: u64,
    pub file: File,
    pub orders: Receiver<Order>,
    pub events: Sender<LogEvent>,
}

impl Writer {
    /// writes until the node is gone or the disk fails.
    pub fn run(mut self) {
        if let Err(error) = self.write_all() {
            // Nobody reads the events of a node that is gone.
            let _ = self.events.send_blocking(LogEvent::Failed(error));
        }
    }

    fn write_all(&mut self) -> io::Result<()> {
        let mut buffer = Vec::new();
        let mut segment_bytes = 0;
        while let Ok(first) = self.orders.recv() {
            let mut next = Some(first);
            let mut last_number = 0;
            buffer.clear();
            while let Some(order) = next {
                match order {
                    Order::Append(number, record) => {
                        frame::encode(&record, &mut buffer)?;
                        last_number = number;
                    }
                    Order::Compact(records) => {
                        // What waits in the buffer is among the records.
                        buffer.clear();
                        segment_bytes = self.compact(&records)?;
                    }
                }
                next = if buffer.len() < BATCH_BYTES { self.poll()? } else { None };
            }
            if !buffer.is_empty() {
                self.file.write_all(&buffer)?;
                self.file.sync_data()?;
            }
            let was_full = segment_bytes > SEGMENT_BYTES;
            segment_bytes += buffer.len();
            if last_number > 0 {
                self.tell(LogEvent::Synced(last_number));
            }
            if segment_bytes > SEGMENT_BYTES && !was_full {
                self.tell(LogEvent::SegmentFull);
            }
        }
        Ok(())
    }

    fn poll(&self) -> io::Result<Option<Order>> {
        match self.orders.try_recv() {
            Ok(order) => Ok(Some(order)),
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => Ok(None),
        }
    }

    /// starts a segment with the live records and removes the older ones once it is on disk.
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

    fn tell(&self, event: LogEvent) {
        // Nobody reads the events of a node that is gone.
        let _ = self.events.try_send(event);
    }
}
