//! Streamed response bodies, whose end is complete only if their producer says so.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use flume::{Sender, r#async::RecvStream};
use futures_core::Stream as _;
use hyper::body::{Body, Frame};
use tokio_util::sync::{CancellationToken, DropGuard};
use wasabi_core::units::Tokens;

/// Feeds a [`Streamed`] body. If it is dropped before [`Producer::finish`], whatever the reason, the
/// body ends with an error, so that the caller cannot take it for complete.
#[derive(Debug)]
pub struct Producer {
    parts: Sender<Part>,
    finished: Arc<AtomicBool>,
    caller_gone: CancellationToken,
}

/// The body of a response that is sent while it is produced; dropping it tells the producer that
/// the caller is gone.
pub struct Streamed {
    parts: RecvStream<'static, Part>,
    finished: Arc<AtomicBool>,
    /// Set when the parts have ended without `finished`. The error is returned by the next poll, so
    /// that the parts before it are flushed first.
    broken: bool,
    /// Called with the token count of each part that is handed to the connection.
    on_taken: Box<dyn Fn(Tokens) + Send>,
    _caller_gone: DropGuard,
}

/// Bytes for the caller, and the number of generated tokens in them.
type Part = (Bytes, Tokens);

/// Creates a body that buffers at most `max_parts` parts; `on_taken` gets the tokens of each part
/// when the connection takes it over.
pub fn channel(
    max_parts: usize,
    on_taken: impl Fn(Tokens) + Send + 'static,
) -> (Producer, Streamed) {
    let (sender, receiver) = flume::bounded(max_parts);
    let caller_gone = CancellationToken::new();
    let finished = Arc::new(AtomicBool::new(false));
    let body = Streamed {
        parts: receiver.into_stream(),
        finished: finished.clone(),
        broken: false,
        on_taken: Box::new(on_taken),
        _caller_gone: caller_gone.clone().drop_guard(),
    };
    (Producer { parts: sender, finished, caller_gone }, body)
}

impl Producer {
    /// Queues a part, waiting while the buffer is full; returns whether the caller is still there.
    pub async fn send(&self, bytes: Bytes, tokens: Tokens) -> bool {
        self.parts.send_async((bytes, tokens)).await.is_ok()
    }

    /// Marks the answer as complete: the body ends without an error once this is dropped.
    pub fn finish(&self) {
        self.finished.store(true, Ordering::Release);
    }

    /// Returns a token that is cancelled when the caller is gone.
    pub fn caller_gone(&self) -> &CancellationToken {
        &self.caller_gone
    }
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.broken {
            return Poll::Ready(Some(Err(io::Error::other("the answer broke off"))));
        }
        match Pin::new(&mut self.parts).poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some((bytes, tokens))) => {
                (self.on_taken)(tokens);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Poll::Ready(None) if self.finished.load(Ordering::Acquire) => Poll::Ready(None),
            Poll::Ready(None) => {
                self.broken = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}
