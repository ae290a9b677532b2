//! Bounds the age of datagrams by the numbers that their headers carry.
//!
//! A header holds the number of its datagram and the last number that its sender had from the
//! receiver. The datagram was sent after the echoed one, so ages inside it count from then at most.
//! Without that, a datagram that waited while its receiver was suspended would make an old proof
//! look fresh.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Instant,
};

/// Datagrams whose time of sending is remembered.
const REMEMBERED: usize = 128;
/// Two numbers of eight bytes, in network order.
pub const HEADER_BYTES: usize = 16;

/// The numbers of datagrams sent and received.
pub struct Echoes {
    /// The number of the next datagram.
    next: u64,
    /// When the last ones were begun.
    sent: VecDeque<(u64, Instant)>,
    /// The last number heard from each address.
    heard: HashMap<SocketAddr, u64>,
}

/// An announcement that goes to many peers: its number, and what had been heard when it was begun.
///
/// Ages are read after it is opened. They would look fresher than they are beside an echo that was
/// heard later.
#[derive(Clone, Debug)]
pub struct Opening {
    number: u64,
    heard: HashMap<SocketAddr, u64>,
}

impl Echoes {
    /// Begins to count at `first`, which is random so that an echo of a former life is not taken for
    /// one of this life.
    pub fn new(first: u64) -> Self {
        Self { next: first, sent: VecDeque::new(), heard: HashMap::new() }
    }

    /// Begins an announcement at `now`; ages in it are read after this call.
    pub fn open(&mut self, now: Instant) -> Opening {
        self.next += 1;
        self.sent.push_back((self.next, now));
        if self.sent.len() > REMEMBERED {
            self.sent.pop_front();
        }
        Opening { number: self.next, heard: self.heard.clone() }
    }

    /// Takes in a header; returns a time before which the datagram was not sent, if that is known.
    pub fn heard(&mut self, from: SocketAddr, header: &[u8]) -> Option<Instant> {
        let (number, echo) = header.split_at_checked(HEADER_BYTES / 2)?;
        let number = u64::from_be_bytes(number.try_into().ok()?);
        let echo = u64::from_be_bytes(echo.try_into().ok()?);
        self.heard.insert(from, number);
        self.sent.iter().find(|(sent, _)| *sent == echo).map(|(_, at)| *at)
    }
}

impl Opening {
    /// Returns the header of the datagram that goes to `peer`.
    pub fn header(&self, peer: SocketAddr) -> [u8; HEADER_BYTES] {
        let echo = self.heard.get(&peer).copied().unwrap_or(0);
        let mut header = [0; HEADER_BYTES];
        let (number, echoed) = header.split_at_mut(HEADER_BYTES / 2);
        number.copy_from_slice(&self.number.to_be_bytes());
        echoed.copy_from_slice(&echo.to_be_bytes());
        header
    }
}
