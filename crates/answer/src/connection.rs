//! A caller's connection, which is reset rather than closed if a response breaks off whose end only
//! the end of the connection marks.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use hyper::{
    Version,
    rt::{Read, ReadBufCursor, Write},
};
use hyper_util::rt::TokioIo;
use log::warn;
use socket2::SockRef;
use tokio::net::TcpStream;

/// A caller's connection. Once its [`Resetter`] has seen an HTTP/1.0 request, only a shutdown after
/// a complete response closes it in an orderly way; any other end resets it, also that of the
/// process.
pub struct Connection {
    stream: TokioIo<TcpStream>,
    /// Whether the caller takes the end of the connection for the end of a response.
    close_marks_end: Arc<AtomicBool>,
    /// Whether the socket is set to be reset when it closes.
    resets: bool,
}

/// Tells a [`Connection`] which versions of HTTP its caller speaks.
#[derive(Clone, Debug)]
pub struct Resetter(Arc<AtomicBool>);

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> (Self, Resetter) {
        let close_marks_end = Arc::new(AtomicBool::new(false));
        let resetter = Resetter(close_marks_end.clone());
        (Self { stream: TokioIo::new(stream), close_marks_end, resets: false }, resetter)
    }

    /// Sets whether the socket is reset when it closes. A failure is logged: the socket then closes
    /// as usual.
    fn set_resets(&mut self, resets: bool) {
        let linger = resets.then_some(Duration::ZERO);
        match SockRef::from(self.stream.inner()).set_linger(linger) {
            Ok(()) => self.resets = resets,
            Err(e) => warn!(cause = e.to_string().as_str(); "reset of a connection not set"),
        }
    }

    fn before_write(&mut self) {
        if !self.resets && self.close_marks_end.load(Ordering::Relaxed) {
            self.set_resets(true);
        }
    }
}

impl Resetter {
    /// Must be called with the version of each request before its response is written.
    pub fn observe(&self, version: Version) {
        if version < Version::HTTP_11 {
            self.0.store(true, Ordering::Relaxed);
        }
    }
}

impl Read for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write();
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// `hyper` shuts the connection down only after a complete response.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets {
            self.set_resets(false);
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write();
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }
}
