use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use async_dup::Arc as SharedIo;
use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// ends the head of a request.
const HEAD_END: [u8; 4] = *b"\r\n\r\n";
/// stands for a head that has not ended.
const NO_END: u64 = u64::MAX;

/// a caller's socket that counts the bytes of one request.
///
/// async-h1 reads ahead into a buffer that it drops after the request, and a second request that was
/// read ahead is lost with it. The count tells when that has happened.
#[derive(Clone, Debug)]
pub(crate) struct HeadReader {
    stream: SharedIo<Async<TcpStream>>,
    counts: Arc<Counts>,
    matched: usize,
}

#[derive(Debug)]
struct Counts {
    read_bytes: AtomicU64,
    head_bytes: AtomicU64,
}

impl HeadReader {
    pub(crate) fn new(stream: SharedIo<Async<TcpStream>>) -> Self {
        let counts = Counts { read_bytes: AtomicU64::new(0), head_bytes: AtomicU64::new(NO_END) };
        Self { stream, counts: Arc::new(counts), matched: 0 }
    }

    /// tells whether any byte of the request has arrived.
    pub(crate) fn has_begun(&self) -> bool {
        self.counts.read_bytes.load(Ordering::Relaxed) > 0
    }

    /// tells whether more was read than the head and a body of `body_bytes`.
    pub(crate) fn has_read_beyond(&self, body_bytes: u64) -> bool {
        let head_bytes = self.counts.head_bytes.load(Ordering::Relaxed);
        head_bytes != NO_END && self.counts.read_bytes.load(Ordering::Relaxed) > head_bytes + body_bytes
    }

    fn note(&mut self, piece: &[u8]) {
        let before = self.counts.read_bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        if self.counts.head_bytes.load(Ordering::Relaxed) != NO_END {
            return;
        }
        for (index, byte) in piece.iter().enumerate() {
            self.matched = match *byte {
                byte if byte == HEAD_END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if self.matched == HEAD_END.len() {
                let head_bytes = before + index as u64 + 1;
                self.counts.head_bytes.store(head_bytes, Ordering::Relaxed);
                return;
            }
        }
    }
}

impl AsyncRead for HeadReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(read_bytes)) = read {
            self.note(&buffer[..read_bytes]);
        }
        read
    }
}

impl AsyncWrite for HeadReader {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
