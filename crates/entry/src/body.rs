//! Bodies: received within limits, and streamed with a count of what was taken.

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

/// A body on its way to a caller.
pub type Outgoing = UnsyncBoxBody<Bytes, io::Error>;

/// A part of a streamed answer.
#[derive(Debug)]
pub enum Part {
    /// Bytes for the caller, and how many tokens they carry.
    Data(Bytes, Tokens),
    /// The answer breaks off here; the caller must not take it for complete.
    Broken,
}

/// Receives a whole body within the route's size and the border's time.
pub async fn receive(options: &Options, body: Incoming, limit: Size) -> Result<Bytes> {
    let receiving = collect(body, limit);
    match tokio::time::timeout(options.body_time, receiving).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(Code::ReceiveTimeout, "")),
    }
}

async fn collect(mut body: Incoming, limit: Size) -> Result<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::new(Code::BodyInvalid, "the body broke off"))?;
        let Ok(data) = frame.into_data() else { continue };
        if (whole.len() + data.len()) as u64 > limit.0 {
            return Err(Error::new(Code::BodyTooLarge, format!("the limit is {limit} bytes")));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// A streamed body; dropping it cancels the work behind it.
pub struct Streamed {
    parts: RecvStream<'static, Part>,
    taken: Box<dyn Fn(Tokens) + Send>,
    /// Set once the answer has broken off; what was handed on before is flushed first.
    broken: bool,
    _cancel: DropGuard,
}

impl Streamed {
    /// Gets a body that hands on what comes from `parts` and tells `taken` the tokens.
    pub fn body(
        parts: flume::Receiver<Part>,
        cancel: DropGuard,
        taken: impl Fn(Tokens) + Send + 'static,
    ) -> Outgoing {
        let parts = parts.into_stream();
        Self { parts, taken: Box::new(taken), broken: false, _cancel: cancel }.boxed_unsync()
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
                (self.taken)(tokens);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }
}
