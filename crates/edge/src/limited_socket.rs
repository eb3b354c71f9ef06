use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_dup::Arc as SharedIo;
use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use crate::ReadLimit;

/// a peer's socket that stops reading at a limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitedSocket {
    stream: SharedIo<Async<TcpStream>>,
    limit: ReadLimit,
}

impl LimitedSocket {
    pub(crate) fn new(stream: SharedIo<Async<TcpStream>>, limit: ReadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.limit.check()?;
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, bytes))?;
        self.limit.count(read);
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for LimitedSocket {
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
