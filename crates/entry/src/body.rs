//! Request bodies, received within size and time limits, and streamed response bodies, which report
//! the tokens of each part that is handed to the connection.

use std::{
    io,
    pin::Pin,
    task::{Context as Task, Poll},
};

use bytes::{Bytes, BytesMut};
use flume::r#async::RecvStream;
use http_body_util::{BodyExt as _, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, Incoming};
use tokio_util::sync::DropGuard;
use wasabi_core::{
    errors::{Code, Error, Result},
    units::{Bytes as Size, Tokens},
};

use crate::context::Options;

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// A part of a streamed answer.
#[derive(Debug)]
pub enum Part {
    /// Bytes for the caller, and the number of generated tokens in them.
    Data(Bytes, Tokens),
    /// The answer ends early: the body ends with an error, so that the caller cannot take it for
    /// complete.
    Broken,
}

/// Receives a body of at most `limit` bytes within `options.body_timeout`.
///
/// Errors: `BodyTooLarge`, `ReceiveTimeout`, or `BodyInvalid` if the connection fails.
pub async fn receive(options: &Options, body: Incoming, limit: Size) -> Result<Bytes> {
    let receiving = collect(body, limit);
    match tokio::time::timeout(options.body_timeout, receiving).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(Code::ReceiveTimeout, "")),
    }
}

async fn collect(mut body: Incoming, limit: Size) -> Result<Bytes> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::new(Code::BodyInvalid, "the body broke off"))?;
        let Ok(data) = frame.into_data() else { continue };
        if (buffer.len() + data.len()) as u64 > limit.0 {
            return Err(Error::new(Code::BodyTooLarge, format!("the limit is {limit} bytes")));
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

/// A streamed response body; dropping it cancels the task that produces it.
pub struct Streamed {
    parts: RecvStream<'static, Part>,
    /// Called with the token count of each part that is handed to the connection.
    on_taken: Box<dyn Fn(Tokens) + Send>,
    /// Set by [`Part::Broken`]. The error is returned by the next poll, so that the parts before it
    /// are flushed first.
    broken: bool,
    _cancel: DropGuard,
}

impl Streamed {
    /// Returns a body of the data from `parts`; `on_taken` gets the tokens of each part when the
    /// connection takes it over. Dropping the body triggers `cancel`.
    pub fn body(
        parts: flume::Receiver<Part>,
        cancel: DropGuard,
        on_taken: impl Fn(Tokens) + Send + 'static,
    ) -> ResponseBody {
        let parts = parts.into_stream();
        Self { parts, on_taken: Box::new(on_taken), broken: false, _cancel: cancel }.boxed_unsync()
    }
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Task<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        use futures_core::Stream as _;
        if self.broken {
            return Poll::Ready(Some(Err(io::Error::other("the answer broke off"))));
        }
        match Pin::new(&mut self.parts).poll_next(task) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(Part::Broken)) => {
                self.broken = true;
                task.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(Some(Part::Data(data, tokens))) => {
                (self.on_taken)(tokens);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }
}
