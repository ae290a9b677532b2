//! Bounds the bytes that a server may send before the head of its response is complete.
//!
//! `hyper` bounds the size of a single head, but reads interim responses (RFC 9110, section 15.2)
//! without end.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes read until the head of a response is complete. The last read may bring a part of the body, and
/// `hyper` may read on before the caller has taken the head, each time at most 400 KiB.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// The value of a limit that is not in force.
const UNLIMITED: usize = usize::MAX;

/// Switches the limit of one connection on and off.
#[derive(Clone, Debug)]
pub struct HeadLimit(Arc<AtomicUsize>);

/// A connection whose reads fail once the limit is used up.
#[derive(Debug)]
pub struct Limited<S> {
    inner: S,
    limit: HeadLimit,
}

impl HeadLimit {
    /// Limits the bytes of a connection until [`Self::end_head`]; call it before each request.
    pub fn begin_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit: the head is complete.
    pub fn end_head(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }
}

impl<S> Limited<S> {
    /// Wraps a connection, without a limit at first.
    pub fn new(inner: S) -> (Self, HeadLimit) {
        let limit = HeadLimit(Arc::new(AtomicUsize::new(UNLIMITED)));
        (Self { inner, limit: limit.clone() }, limit)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.limit.0.load(Ordering::Relaxed);
        if left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "head without end");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if left != UNLIMITED {
            let left = left.saturating_sub(buffer.filled().len() - before);
            self.limit.0.store(left, Ordering::Relaxed);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
