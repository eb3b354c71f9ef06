use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// size limit of what a door buffers of all incomplete answers together: a fifth of the memory of a small front
/// machine.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// further memory that only small answers may take.
const SMALL_ANSWERS_BYTES: usize = 8 << 20;
/// size of a small answer: larger than nearly all that sound replicas send.
const MAX_SMALL_BYTES: usize = 64 << 10;

/// memory that the answers that a door is still reading take.
///
/// Small ones have room of their own, so that they do not fail because of replicas that send without end.
#[derive(Clone, Debug, Default)]
pub struct BufferBudget {
    used_bytes: Arc<AtomicUsize>,
}

/// what one answer holds of the budget, until it is dropped.
#[derive(Debug)]
pub struct BufferShare {
    used_bytes: Arc<AtomicUsize>,
    bytes: usize,
}

impl BufferBudget {
    /// a share of no bytes.
    pub fn share(&self) -> BufferShare {
        BufferShare { used_bytes: Arc::clone(&self.used_bytes), bytes: 0 }
    }
}

impl BufferShare {
    /// counts further bytes; `false` if there is no room for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.resize(self.bytes + bytes)
    }

    /// counts this many bytes in place of those before; `false` if there is no room for them.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let holds_more = bytes > self.bytes;
        let added = self.used_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let used_bytes = added - self.bytes;
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
        let small_bytes = if bytes <= MAX_SMALL_BYTES { SMALL_ANSWERS_BYTES } else { 0 };
        !holds_more || used_bytes <= MAX_BUFFERED_BYTES + small_bytes
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
