//! Ages of what peers announce, over two hosts that exchange headers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use wasabi_gateway::echo::Echoes;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// One host begins an announcement and reads its ages, then sends it slowly. What it hears from the
/// receiver meanwhile was sent after the ages were read, so it cannot bound them.
#[test]
fn an_announcement_that_is_sent_slowly_is_not_taken_for_a_later_one() {
    let (near, far) = (address(1), address(2));
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let (mut sender, mut receiver) = (Echoes::new(10), Echoes::new(500));

    let first = receiver.open(at(0));
    assert_eq!(sender.heard(far, &first.header(near)), None);
    let opening = sender.open(at(50));
    let second = receiver.open(at(200));
    sender.heard(far, &second.header(near));

    let asked = receiver.heard(near, &opening.header(far));
    assert_eq!(asked, Some(at(0)), "ages were read before the second announcement was heard");
}

#[test]
fn an_echo_of_nothing_heard_bounds_nothing() {
    let (near, far) = (address(1), address(2));
    let mut sender = Echoes::new(10);
    let mut receiver = Echoes::new(500);
    let opening = sender.open(Instant::now());
    assert_eq!(receiver.heard(near, &opening.header(far)), None);
    assert_eq!(receiver.heard(near, &[0; 3]), None, "a header that is cut");
}
