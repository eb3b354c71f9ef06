use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::ReadLimit;

/// bytes read from the socket at a time.
const READ_BYTES: usize = 8 * 1024;

/// a socket of `async-io` as `hyper` wants it.
#[derive(Debug)]
pub struct HyperIo {
    stream: Async<TcpStream>,
    limit: ReadLimit,
}

impl HyperIo {
    /// wraps a connected socket.
    pub fn new(stream: Async<TcpStream>) -> Self {
        Self { stream, limit: ReadLimit::default() }
    }

    /// the limit of what is read; none at first.
    pub fn read_limit(&self) -> ReadLimit {
        self.limit.clone()
    }
}

impl Read for HyperIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.limit.check()?;
        // hyper's buffer may be uninitialised, which safe code cannot read into.
        let mut bytes = [0_u8; READ_BYTES];
        let room = buffer.remaining().min(READ_BYTES);
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut bytes[..room]))?;
        self.limit.count(read);
        buffer.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }
}

impl Write for HyperIo {
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

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
