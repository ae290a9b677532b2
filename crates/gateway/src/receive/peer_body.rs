//! The body of a peer's answer.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;
use wasabi_platform::http::Connection;

/// The body of a peer's answer.
pub struct PeerBody {
    body: Incoming,
    /// Ends the body with an error.
    deadline: Pin<Box<Sleep>>,
    /// Closes when it is dropped, which tells the peer that the caller is gone.
    _connection: Connection,
}

impl PeerBody {
    /// Creates the body that is read from `connection` until `deadline`.
    pub fn new(body: Incoming, deadline: Pin<Box<Sleep>>, connection: Connection) -> Self {
        Self { body, deadline, _connection: connection }
    }
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(frame) => Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other))),
            Poll::Pending => match self.deadline.as_mut().poll(cx) {
                Poll::Ready(()) => Poll::Ready(Some(Err(io::Error::from(io::ErrorKind::TimedOut)))),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
