//! The announcements that this host receives from its peers.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::net::UdpSocket;
use wasabi_belief::{
    announcement::{Addition, Announcement},
    era,
    forwarders::Received,
    link,
};
use wasabi_core::format;

use crate::{
    share::{
        echo::{self, EchoTracker},
        envelope::{self, Content, Origin},
        facts,
        gossip::{self, PERIOD},
    },
    state::State,
};

/// The time of day in an announcement is ignored if it may have been sent longer ago.
const MAX_TIME_OF_DAY_DELAY: Duration = Duration::from_millis(1_000);
/// The size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Receives and applies announcements until the process ends, and passes on those that ask for it.
pub async fn run(state: &State, socket: &UdpSocket, echoes: &RefCell<EchoTracker>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut received = Received::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(e) => {
                let cause = e.to_string();
                warn!(cause = cause.as_str(); "announcement not received");
                tokio::time::sleep(PERIOD).await;
                continue;
            }
        };
        let Some((header, content)) = envelope::open(&buffer[..length]) else {
            metrics::counter!("wasabi_gossip_failures_total").increment(1);
            continue;
        };
        let earliest_send = echoes.borrow_mut().receive(from, header);
        let number = echo::number(header).unwrap_or_default();
        match content {
            Content::Nothing => {}
            Content::Direct(bytes, false) => {
                apply_datagram(state, (from, number, earliest_send), bytes);
            }
            Content::Direct(bytes, true) => {
                if received.record(from, number) {
                    apply_datagram(state, (from, number, earliest_send), bytes);
                    forward(state, socket, echoes, (from, number, earliest_send), bytes).await;
                }
            }
            Content::Forwarded(origin, bytes) => {
                if received.record(origin.sender, origin.number) {
                    let begun = earliest_send
                        .zip(origin.age_ms)
                        .and_then(|(at, age_ms)| at.checked_sub(Duration::from_millis(age_ms)));
                    apply_datagram(state, (origin.sender, origin.number, begun), bytes);
                }
            }
        }
    }
}

/// Passes an announcement on to the peers of this host's failure domain, and answers its sender with a
/// header, whose echo bounds the age of the next one. `from` is its sender, number and earliest time.
async fn forward(
    state: &State,
    socket: &UdpSocket,
    echoes: &RefCell<EchoTracker>,
    (sender, number, earliest_send): (SocketAddr, u64, Option<Instant>),
    bytes: &[u8],
) {
    let template = echoes.borrow_mut().begin(state.now());
    let age = earliest_send.map(|at| state.now().saturating_duration_since(at));
    // A part of a millisecond must not make it younger.
    let age_ms = age.map(|age| age.as_millis() as u64 + 1);
    let content = Content::Forwarded(Origin { sender, number, age_ms }, bytes);
    for peer in gossip::near_peers(state) {
        gossip::send_datagram(socket, &template, content, peer).await;
    }
    gossip::send_datagram(socket, &template, Content::Nothing, sender).await;
}

/// Decodes and applies an announcement with its sender, number and earliest time. Of a newer format only what
/// this build knows is read, if that has not changed.
fn apply_datagram(
    state: &State,
    (from, number, earliest_send): (SocketAddr, u64, Option<Instant>),
    bytes: &[u8],
) {
    let format = echo::format(number);
    if !format.is_readable(format::ANNOUNCEMENT) {
        metrics::counter!("wasabi_unread_messages_total", "what" => "announcement").increment(1);
        if let Some(host) = state.peers.borrow_mut().record_unread(from, format) {
            warn!(peer = host.as_str(), format = format.0;
                "peer's announcements are of a format that this build cannot read");
        }
        return;
    }
    let Ok((announcement, rest)) = postcard::take_from_bytes(bytes) else {
        metrics::counter!("wasabi_gossip_failures_total").increment(1);
        return;
    };
    // Hosts of older versions send no addition.
    let (addition, rest): (Addition, &[u8]) = postcard::take_from_bytes(rest).unwrap_or_default();
    apply(state, from, &announcement, earliest_send);
    if state.peers.borrow_mut().record_format(&announcement.host, format) {
        info!(peer = announcement.host.as_str(), format = format.0, own = format::ANNOUNCEMENT.0;
            "peer runs another build");
    }
    apply_addition(state, addition);
    let (facts, link, demand) = facts::decode(rest);
    facts::apply(state, facts, earliest_send);
    facts::apply_demand(state, &announcement.host, demand, earliest_send);
    if let Some(report) = link {
        // Without a bound on its age, a delayed announcement must not look like a fresh answer.
        let report = match earliest_send {
            Some(_) => report,
            None => link::Report { answered_ms: None, ..report },
        };
        let sent = earliest_send.unwrap_or_else(|| state.now());
        state.peers.borrow_mut().record_link(&announcement.host, sent, report);
    }
}

/// Applies what a peer has added to its announcement.
fn apply_addition(state: &State, addition: Addition) {
    for instance in addition.leaving_servers {
        state.mark_leaving(instance, "peer");
    }
    state.lease.borrow_mut().note_fence(addition.highest_fence);
    if let Some((era, age_ms, restored)) = addition.era {
        let now = state.now();
        let since = now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
        state.merge_era(era::Known { era, since, restored });
    }
}

/// Applies an announcement that was begun no earlier than `earliest_send`. Without that bound its
/// ages only count as claims of the peer, and its agreed time of day is ignored.
fn apply(
    state: &State,
    from: SocketAddr,
    announcement: &Announcement,
    earliest_send: Option<Instant>,
) {
    let now = state.now();
    if state.peers.borrow_mut().record_announcement(now, from, announcement) {
        // Logged for each new incarnation.
        info!(
            peer = announcement.host.as_str(), incarnation = announcement.incarnation.as_str();
            "peer heard"
        );
    }
    state.record_clock_reading(&announcement.host, announcement.wall_ms);
    if let Some(earliest_send) = earliest_send {
        // The time of day in a delayed announcement is in the past.
        if now.saturating_duration_since(earliest_send) < MAX_TIME_OF_DAY_DELAY {
            let (truth_ms, held_ms) = announcement.truth_ms;
            state.record_peer_time(&announcement.host, truth_ms, Duration::from_millis(held_ms));
        }
        let ago =
            |ms: u64| earliest_send.checked_sub(Duration::from_millis(ms)).unwrap_or(earliest_send);
        if let Some((version, age)) = announcement.catalog {
            state.config.borrow_mut().confirm(version, ago(age));
        }
        if let Some((digest, age)) = announcement.members {
            let mut servers = state.servers.borrow_mut();
            servers.record_proof(now, ago(age));
            servers.confirm(digest, ago(age));
        }
    }
    if let Some(shares) = &announcement.shares {
        for (service, balancer) in state.balancers.borrow_mut().iter_mut() {
            let shares = shares.iter().find(|(name, _)| name == service);
            balancer.apply_announcement(
                now,
                &announcement.host,
                shares.map_or(&[], |(_, shares)| shares.as_slice()),
            );
        }
    }
    if let Some(report) = &announcement.counts {
        state.merge_usage(&announcement.incarnation, report);
    }
}
