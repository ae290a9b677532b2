//! The events of one stream, which may come from several servers in turn.

use bytes::{Bytes, BytesMut};
use wasabi_answer::{broken::Broken, events::Splitter};
use wasabi_core::call::Framing;

/// Passes on complete events only, and each of them once.
#[derive(Debug, Default)]
pub struct Sequence {
    splitter: Splitter,
    /// The last id among the events that the caller has.
    last_id: Option<u64>,
    /// Whether events without an id were passed on after the one with `last_id`.
    beyond_last_id: bool,
    /// Number of events passed on.
    count: u64,
    /// Whether the current server has sent an event.
    part_has_event: bool,
    /// Whether an event of the current server was passed on.
    part_has_new_event: bool,
    /// What is wrong with the event after those that were last returned.
    broken: Option<Broken>,
}

impl Sequence {
    /// Creates the sequence of a stream whose caller has the events up to `last_id`, if it takes one up.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns the last id among the events that the caller has; events without an id do not change it.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether `last_id` tells where the stream stands, so that it can go on after it.
    pub fn is_placed(&self) -> bool {
        !self.beyond_last_id
    }

    /// Returns the number of events passed on.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns how many bytes follow the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.splitter.partial_bytes()
    }

    /// Starts the part of another server; the bytes of an incomplete event are discarded.
    pub fn start_part(&mut self) {
        self.splitter.discard_partial();
        (self.part_has_event, self.part_has_new_event) = (false, false);
        self.broken = None;
    }

    /// Adds bytes and returns the events that they complete, if any; [`Self::broken`] tells whether the
    /// part can go on after them.
    ///
    /// Ids rise by one, from 1. Events whose id is not greater than the last one are dropped: a server
    /// that resumes a stream may repeat them.
    ///
    /// Errors: `EventTooLarge`, `EventsMissing` if the next event is not the one after the last, or
    /// `EventUnplaced` if the stream goes on with an event without an id.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Broken> {
        self.splitter.push(bytes)?;
        let mut out = BytesMut::new();
        while self.broken.is_none()
            && let Some(event) = self.splitter.next_event()
        {
            self.broken = self.accept(&event, &mut out).err();
        }
        match self.broken {
            Some(broken) if out.is_empty() => Err(broken),
            _ => Ok((!out.is_empty()).then(|| out.freeze())),
        }
    }

    /// Why the current server's part cannot go on.
    pub fn broken(&self) -> Option<Broken> {
        self.broken
    }

    /// Ends the current server's part, whose end was marked by `framing`; returns the rest to pass
    /// on, if any.
    ///
    /// A part that begins a stream, or answers its caller's last id, may be empty if its framing says so. One
    /// that goes on within an answer must bring an event: that a server sends none does not show that the
    /// run of the server before had ended.
    ///
    /// Errors: as [`Self::push`], `InsideEvent`, `NoEvent` if only the end of the connection says that there
    /// is none, or `NothingNew`.
    pub fn finish(&mut self, framing: Framing) -> Result<Option<Bytes>, Broken> {
        let rest = self.splitter.finish()?;
        let mut out = BytesMut::new();
        if let Some(event) = rest {
            self.accept(&event, &mut out)?;
        }
        match framing {
            Framing::Close if !self.part_has_event => return Err(Broken::NoEvent),
            _ if self.part_has_new_event => {}
            _ if self.count > 0 || self.part_has_event => return Err(Broken::NothingNew),
            _ => {}
        }
        Ok((!out.is_empty()).then(|| out.freeze()))
    }

    fn accept(&mut self, event: &[u8], out: &mut BytesMut) -> Result<(), Broken> {
        if !has_content(event) {
            out.extend_from_slice(event);
            return Ok(());
        }
        self.part_has_event = true;
        let id = event_id(event);
        match (id, self.last_id) {
            (Some(id), Some(last)) if id <= last => return Ok(()),
            (Some(id), last)
                if !self.beyond_last_id && id > last.unwrap_or(0).saturating_add(1) =>
            {
                return Err(Broken::EventsMissing);
            }
            (None, last) if !self.part_has_new_event && (self.count > 0 || last > Some(0)) => {
                return Err(Broken::EventUnplaced);
            }
            _ => {}
        }
        self.part_has_new_event = true;
        self.last_id = id.or(self.last_id);
        self.beyond_last_id = id.is_none();
        self.count += 1;
        out.extend_from_slice(event);
        Ok(())
    }
}

/// Whether an event has more than comments and the time after which to connect again.
fn has_content(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":") && !line.starts_with(b"retry:"))
}

/// Returns the number in the event's first `id` field, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
