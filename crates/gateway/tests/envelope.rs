//! The outermost layer of datagrams between hosts.

use std::net::SocketAddr;

use wasabi_gateway::share::{
    echo::{EchoTracker, HEADER_BYTES},
    envelope::{Content, FORWARDING_BYTES, Origin, open, seal},
};

fn header() -> [u8; HEADER_BYTES] {
    EchoTracker::new(7)
        .begin(std::time::Instant::now())
        .header(SocketAddr::from(([127, 0, 0, 1], 1)))
}

#[test]
fn a_datagram_opens_to_what_was_sealed() {
    // An announcement begins with the length of a host name.
    let announcement: &[u8] = &[3, b'a', b'b', b'c', 0xf0, 0xf1];
    let sender: SocketAddr = "[2001:db8::1]:65535".parse().expect("an address");
    let origin = Origin { sender, number: u64::MAX, age_ms: Some(u64::from(u32::MAX)) };
    for content in [
        Content::Nothing,
        Content::Direct(announcement, false),
        Content::Direct(announcement, true),
        Content::Forwarded(origin, announcement),
    ] {
        let datagram = seal(&header(), content).expect("it can be sealed");
        assert_eq!(open(&datagram), Some((&header()[..], content)));
    }
}

#[test]
fn forwarding_adds_no_more_than_is_kept_free_for_it() {
    let sender = SocketAddr::from(([255, 255, 255, 255], 65_535));
    let origin = Origin { sender, number: u64::MAX, age_ms: Some(u64::from(u32::MAX)) };
    let datagram = seal(&header(), Content::Forwarded(origin, &[])).expect("it can be sealed");
    assert!(datagram.len() - HEADER_BYTES <= FORWARDING_BYTES, "{} bytes", datagram.len());
}

#[test]
fn malformed_datagrams_are_no_announcements() {
    assert_eq!(open(&[0; HEADER_BYTES - 1]), None);
    let mut datagram = header().to_vec();
    datagram.extend([0xf1, 9]);
    assert_eq!(open(&datagram), None);
}
