//! Ends connections of callers that do not read, see [`wasabi_policy::slow_callers`].

use std::{
    collections::BTreeMap,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use log::info;
use tokio_util::sync::CancellationToken;
use wasabi_policy::slow_callers::{Callers, Limits};

use crate::state::State;

/// What a connection whose caller does not read holds at most beside what [`super::buffers`] counts: 64 KB of a
/// response that is not counted or of queued events, 64 KB in hand, and the buffers of the connections to the
/// caller and to the server.
const HELD_BYTES: usize = 384 * 1024;
/// How often waiting connections are examined.
const PERIOD: Duration = Duration::from_millis(250);

/// The connections of callers, as far as they wait for their callers.
#[derive(Debug, Default)]
pub struct View {
    callers: Callers,
    /// Ends a connection.
    ends: BTreeMap<u64, CancellationToken>,
}

/// A caller's connection that tells whether it waits for its caller.
pub struct Watched<S> {
    inner: S,
    state: Rc<State>,
    number: u64,
    is_blocked: bool,
}

impl<S> Watched<S> {
    /// Wraps a connection; the token is cancelled when the connection is to be closed.
    pub fn new(state: &Rc<State>, inner: S) -> (Self, CancellationToken) {
        let end = CancellationToken::new();
        let mut view = state.slow_callers.borrow_mut();
        let number = view.callers.add();
        view.ends.insert(number, end.clone());
        (Self { inner, state: state.clone(), number, is_blocked: false }, end)
    }

    /// Records the result of writing `length` bytes.
    fn record(&mut self, length: usize, written: &Poll<io::Result<usize>>) {
        let is_blocked = match written {
            Poll::Pending => true,
            // The rest does not fit; it is tried next.
            Poll::Ready(Ok(taken)) if *taken < length => self.is_blocked,
            Poll::Ready(_) => false,
        };
        if is_blocked != self.is_blocked {
            let mut view = self.state.slow_callers.borrow_mut();
            match is_blocked {
                true => view.callers.record_blocked(self.state.now(), self.number),
                false => view.callers.record_taken(self.number),
            }
        }
        self.is_blocked = is_blocked;
    }
}

impl<S> Drop for Watched<S> {
    fn drop(&mut self) {
        let mut view = self.state.slow_callers.borrow_mut();
        view.callers.record_taken(self.number);
        view.ends.remove(&self.number);
    }
}

impl<S: Read + Unpin> Read for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: Write + Unpin> Write for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.record(bytes.len(), &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, parts);
        self.record(parts.iter().map(|part| part.len()).sum(), &written);
        written
    }
}

/// Ends connections whose callers do not read, until the process ends.
pub async fn run(state: Rc<State>) {
    loop {
        tokio::time::sleep(PERIOD).await;
        let memory = state.settings.borrow().memory.unwrap_or_default();
        let idle = state.config().map(|(catalog, _)| catalog.limits).unwrap_or_default();
        let limits = Limits {
            connections: memory.slow_callers() / HELD_BYTES,
            time: idle.idle_timeout,
            lacks_memory: state.response_memory.is_short(),
        };
        let now = state.now();
        let view = state.slow_callers.borrow();
        metrics::gauge!("wasabi_gateway_waiting_connections").set(view.callers.waiting() as f64);
        let overdue = view.callers.overdue(now, limits);
        if overdue.is_empty() {
            continue;
        }
        info!(ended = overdue.len(), waiting = view.callers.waiting(), allowed = limits.connections,
            lacks_memory = limits.lacks_memory, idle_ms = limits.time.as_millis() as u64;
            "callers do not read");
        metrics::counter!("wasabi_gateway_unread_responses_total").increment(overdue.len() as u64);
        overdue
            .iter()
            .filter_map(|number| view.ends.get(number))
            .for_each(CancellationToken::cancel);
    }
}
