use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// stands for no limit.
const UNLIMITED: u64 = u64::MAX;

/// bytes that may still be read from a socket.
///
/// Neither HTTP library bounds all of a head: hyper skips interim heads without counting them, and async-h1 collects a
/// line without an end. A peer that sends nothing else would keep them reading for ever.
#[derive(Clone, Debug)]
pub struct ReadLimit {
    left_bytes: Arc<AtomicU64>,
}

impl ReadLimit {
    /// lets this many bytes be read from now on.
    pub fn set(&self, bytes: u64) {
        self.left_bytes.store(bytes, Ordering::Relaxed);
    }

    /// lets any number of bytes be read.
    pub fn lift(&self) {
        self.set(UNLIMITED);
    }

    pub(crate) fn count(&self, bytes: usize) {
        let take = |left: u64| (left != UNLIMITED).then(|| left.saturating_sub(bytes as u64));
        // Without a limit there is nothing to count.
        let _ = self.left_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
    }

    pub(crate) fn check(&self) -> io::Result<()> {
        if self.left_bytes.load(Ordering::Relaxed) > 0 {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::InvalidData, "the head has no end"))
    }
}

impl Default for ReadLimit {
    fn default() -> Self {
        Self { left_bytes: Arc::new(AtomicU64::new(UNLIMITED)) }
    }
}
