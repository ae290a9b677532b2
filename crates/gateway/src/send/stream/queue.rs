//! The queue of events for a caller, who may not read.

use std::time::Duration;

use bytes::Bytes;
use wasabi_core::units::Tokens;

use super::{PartEnd, StreamRelay};
use crate::guard::PlacementGuard;

/// The largest part; 64 KB are queued at most.
const MAX_PART_BYTES: usize = 16 * 1024;
/// A server may cut a stream that has not been read for this time; it has not failed then. Servers do so after some
/// seconds, so one that breaks off sooner has.
pub const UNREAD_TIME: Duration = Duration::from_millis(1_000);

impl StreamRelay {
    /// Passes events on to the caller; returns the end of the part if they cannot be.
    pub(super) async fn pass_on(
        &mut self,
        guard: &PlacementGuard,
        events: Bytes,
    ) -> Option<PartEnd> {
        self.record_first_event(guard);
        self.gaps.record(self.state.now(), self.events.count(), &self.inbound, guard);
        self.record_sound_part();
        let end = self.queue(events).await;
        self.gaps.record_sent(self.state.now());
        end
    }

    /// Counts the memory of events of `length` bytes that have been received, beside those that may still be
    /// queued and the incomplete event after them; returns whether there is room.
    pub(super) fn reserve(&mut self, length: usize) -> bool {
        self.reservation.resize(self.queued_bytes + length + self.events.partial_bytes())
    }

    /// Queues events, and waits while the caller does not take those before. The server's stream is not read
    /// meanwhile. Returns the end of the part if the caller has left or the time of the request is up.
    pub(super) async fn queue(&mut self, mut events: Bytes) -> Option<PartEnd> {
        self.queued_bytes = events.len();
        let since = self.state.now();
        let remaining = self.inbound.deadline.saturating_duration_since(since);
        let queueing = async {
            while !events.is_empty() {
                let part = events.split_to(events.len().min(MAX_PART_BYTES));
                if !self.producer.send(part, Tokens(0)).await {
                    return false;
                }
            }
            true
        };
        let queued = tokio::time::timeout(remaining, queueing).await;
        if self.state.now().saturating_duration_since(since) >= UNREAD_TIME {
            self.part_is_unread = true;
        }
        match queued {
            Ok(true) => None,
            Ok(false) => Some(PartEnd::CallerLeft),
            Err(_) => Some(PartEnd::OutOfTime),
        }
    }
}
