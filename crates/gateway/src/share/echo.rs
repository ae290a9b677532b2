//! Bounds the age of announcements by sequence numbers in their headers.
//!
//! A header holds the number of its announcement and, as an echo, the last number that its sender
//! had received from the receiver. An announcement that echoes number n was begun after n was sent,
//! so its age is at most the time since then. Without that bound, a datagram that was queued while
//! its receiver was suspended would make an old proof look fresh.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Instant,
};

use wasabi_core::format::{self, Format};

/// Announcements whose start time is remembered.
const MAX_REMEMBERED: usize = 128;
/// Two numbers of eight bytes in network byte order: the announcement's own and the echoed one. The first
/// byte of each number is the format of the announcement that has it.
pub const HEADER_BYTES: usize = 16;
/// The bits of a number below its format.
const COUNTED_BITS: u32 = 56;

/// The numbers of the announcements sent and received by one host.
pub struct EchoTracker {
    /// The number of the last announcement begun.
    last_number: u64,
    /// The number and start time of the last announcements, oldest first.
    begun: VecDeque<(u64, Instant)>,
    /// The last number received from each address.
    last_received: HashMap<SocketAddr, u64>,
}

/// The header data of an announcement to many peers: its number, and the last numbers received when
/// it was begun.
///
/// Ages in the announcement must be read after this is made. If it echoed a number that was
/// received after they were read, the receiver would count them from too late a time.
#[derive(Clone, Debug)]
pub struct HeaderTemplate {
    number: u64,
    last_received: HashMap<SocketAddr, u64>,
}

impl EchoTracker {
    /// Numbers announcements from `first` + 1. `first` must be random, so that the echo of a number
    /// from a former run of the process is not taken for one of this run, and less than 2^56.
    pub fn new(first: u64) -> Self {
        let format = u64::from(format::ANNOUNCEMENT.0) << COUNTED_BITS;
        Self { last_number: format | first, begun: VecDeque::new(), last_received: HashMap::new() }
    }

    /// Begins an announcement at `now`; ages in it must be read after this call.
    pub fn begin(&mut self, now: Instant) -> HeaderTemplate {
        self.last_number += 1;
        self.begun.push_back((self.last_number, now));
        if self.begun.len() > MAX_REMEMBERED {
            self.begun.pop_front();
        }
        HeaderTemplate { number: self.last_number, last_received: self.last_received.clone() }
    }

    /// Records a received header. Returns the earliest time at which the announcement can have been
    /// begun; `None` if the header is too short or its echo is unknown.
    pub fn receive(&mut self, from: SocketAddr, header: &[u8]) -> Option<Instant> {
        let echo = u64::from_be_bytes(*header.last_chunk()?);
        self.last_received.insert(from, number(header)?);
        self.begun.iter().find(|(sent, _)| *sent == echo).map(|(_, at)| *at)
    }
}

/// Returns the number in a header; `None` if it is too short.
pub fn number(header: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(*header.first_chunk()?))
}

/// Returns the format of the announcement with this number.
pub fn format(number: u64) -> Format {
    Format((number >> COUNTED_BITS) as u8)
}

impl HeaderTemplate {
    /// Returns the header of the datagram to `peer`; it echoes 0 if nothing was received from
    /// there.
    pub fn header(&self, peer: SocketAddr) -> [u8; HEADER_BYTES] {
        let echo = self.last_received.get(&peer).copied().unwrap_or(0);
        let mut header = [0; HEADER_BYTES];
        let (number, echoed) = header.split_at_mut(HEADER_BYTES / 2);
        number.copy_from_slice(&self.number.to_be_bytes());
        echoed.copy_from_slice(&echo.to_be_bytes());
        header
    }
}
