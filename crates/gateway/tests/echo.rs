//! The bound on the age of announcements, with two hosts that exchange headers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use wasabi_core::format::{self, Format};
use wasabi_gateway::share::echo::{self, EchoTracker};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Guards against ages that look too young: a host reads the ages for an announcement, then
/// receives a header, then sends. The header must not be echoed, since it was sent after the ages
/// were read.
#[test]
fn a_header_echoes_only_what_was_received_before_the_announcement_began() {
    let (near, far) = (address(1), address(2));
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let (mut sender, mut receiver) = (EchoTracker::new(10), EchoTracker::new(500));

    let first = receiver.begin(at(0));
    assert_eq!(sender.receive(far, &first.header(near)), None);
    let template = sender.begin(at(50));
    let second = receiver.begin(at(200));
    sender.receive(far, &second.header(near));

    let earliest_send = receiver.receive(near, &template.header(far));
    assert_eq!(
        earliest_send,
        Some(at(0)),
        "ages were read before the second announcement was heard"
    );
}

#[test]
fn without_a_known_echo_there_is_no_bound_on_the_age() {
    let (near, far) = (address(1), address(2));
    let mut sender = EchoTracker::new(10);
    let mut receiver = EchoTracker::new(500);
    let template = sender.begin(Instant::now());
    assert_eq!(receiver.receive(near, &template.header(far)), None);
    assert_eq!(receiver.receive(near, &[0; 3]), None, "a header that is cut");
}

#[test]
fn a_number_states_the_format_of_its_announcement() {
    let template = EchoTracker::new(u64::from(u32::MAX) << 24).begin(Instant::now());
    let number = echo::number(&template.header(address(1))).expect("a whole header");
    assert_eq!(echo::format(number), format::ANNOUNCEMENT);
    // Builds without formats begin with four random bytes below the first one.
    assert_eq!(echo::format((u64::from(u32::MAX) << 24) + 1), Format(0));
}
