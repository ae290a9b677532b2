//! The outermost layer of the datagrams between hosts: their header, and whether the announcement in
//! them is to be passed on or was.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::share::echo::HEADER_BYTES;

/// Precedes an announcement that its receiver passes on. An announcement itself begins with the length of
/// a host name, which is less.
const TO_FORWARD: u8 = 0xf0;
/// Precedes an announcement that was passed on, and its [`Origin`].
const FORWARDED: u8 = 0xf1;
/// The most bytes that forwarding adds to a datagram.
pub const FORWARDING_BYTES: usize = 32;

/// Where an announcement that was passed on comes from.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// The address of the host that made it.
    pub sender: SocketAddr,
    /// Its number, see [`crate::share::echo`].
    pub number: u64,
    /// At most how long ago it was begun; `None` without a bound.
    pub age_ms: Option<u64>,
}

/// What follows the header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Content<'a> {
    /// Nothing: the header answers another datagram.
    Nothing,
    /// The announcement of the sender, and whether the receiver passes it on.
    Direct(&'a [u8], bool),
    /// The announcement of another host.
    Forwarded(Origin, &'a [u8]),
}

/// Splits a datagram into its header and content; `None` if it is malformed.
pub fn open(datagram: &[u8]) -> Option<(&[u8], Content<'_>)> {
    let (header, rest) = datagram.split_at_checked(HEADER_BYTES)?;
    let content = match rest {
        [] => Content::Nothing,
        [TO_FORWARD, announcement @ ..] => Content::Direct(announcement, true),
        [FORWARDED, rest @ ..] => {
            let (origin, announcement) = postcard::take_from_bytes(rest).ok()?;
            Content::Forwarded(origin, announcement)
        }
        announcement => Content::Direct(announcement, false),
    };
    Some((header, content))
}

/// Returns the datagram with this header and content.
pub fn seal(header: &[u8; HEADER_BYTES], content: Content<'_>) -> postcard::Result<Vec<u8>> {
    let mut datagram = header.to_vec();
    match content {
        Content::Nothing => {}
        Content::Direct(announcement, to_forward) => {
            datagram.extend(to_forward.then_some(TO_FORWARD));
            datagram.extend_from_slice(announcement);
        }
        Content::Forwarded(origin, announcement) => {
            datagram.push(FORWARDED);
            datagram.extend(postcard::to_allocvec(&origin)?);
            datagram.extend_from_slice(announcement);
        }
    }
    Ok(datagram)
}
