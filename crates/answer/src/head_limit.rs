//! Bounds the interim responses (RFC 9110, section 15.2) that a server may send before its final one.
//!
//! `hyper` bounds the size of a single head, but reads interim responses without end.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The most interim responses to one request.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// The position of the first digit of the status in a head: after `HTTP/1.1 `.
const STATUS_POSITION: usize = 9;

/// Tells a connection that a request follows.
#[derive(Clone, Debug)]
pub struct HeadLimit(Arc<AtomicBool>);

/// A connection whose reads fail after too many interim responses to one request.
#[derive(Debug)]
pub struct Limited<S> {
    inner: S,
    limit: HeadLimit,
    scanner: Scanner,
}

/// Follows the heads of the responses to one request.
#[derive(Debug)]
struct Scanner {
    /// Whether the final head is complete; what follows is not scanned.
    done: bool,
    interim_responses: u32,
    /// The number of bytes of the present head.
    position: usize,
    /// Whether the status of the present head has a 1 as its first digit.
    is_interim: bool,
    /// Whether the present line has no bytes but its end.
    line_is_empty: bool,
}

impl HeadLimit {
    /// Begins the responses to the next request; call it before the request is sent.
    pub fn begin_request(&self) {
        self.0.store(true, Ordering::Release);
    }
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            done: false,
            interim_responses: 0,
            position: 0,
            is_interim: false,
            line_is_empty: true,
        }
    }
}

impl Scanner {
    fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.done {
                return;
            }
            if self.position == STATUS_POSITION {
                self.is_interim = *byte == b'1';
            }
            self.position += 1;
            match byte {
                b'\n' if self.line_is_empty && self.position > STATUS_POSITION => self.end_head(),
                b'\n' => self.line_is_empty = true,
                b'\r' => {}
                _ => self.line_is_empty = false,
            }
        }
    }

    fn end_head(&mut self) {
        if !self.is_interim {
            self.done = true;
            return;
        }
        let interim_responses = self.interim_responses + 1;
        *self = Self { interim_responses, ..Self::default() };
    }
}

impl<S> Limited<S> {
    /// Wraps a connection.
    pub fn new(inner: S) -> (Self, HeadLimit) {
        let limit = HeadLimit(Arc::default());
        (Self { inner, limit: limit.clone(), scanner: Scanner::default() }, limit)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if self.limit.0.swap(false, Ordering::Acquire) {
            self.scanner = Scanner::default();
        }
        self.scanner.scan(&buffer.filled()[before..]);
        if self.scanner.interim_responses > MAX_INTERIM_RESPONSES {
            let error = io::Error::new(io::ErrorKind::InvalidData, "interim responses without end");
            return Poll::Ready(Err(error));
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
