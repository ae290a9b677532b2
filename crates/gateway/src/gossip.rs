//! Announcements between hosts, over UDP.
//!
//! They are encoded in binary: in a large fleet under load the same in JSON fills a link of
//! 10 Mbit/s. Each datagram begins with a header that bounds its age, see [`crate::echo`].

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::net::UdpSocket;
use wasabi_belief::beat::Beat;
use wasabi_core::{time, units::PoolId};
use wasabi_policy::share::Untold;

use crate::{
    echo::{Echoes, HEADER_BYTES, Opening},
    site::Site,
};

/// Between two announcements of a small fleet, while requests are placed.
const PERIOD: Duration = Duration::from_millis(100);
/// The fleet up to which that holds; beyond it the period grows with the fleet, so that a host
/// sends and receives the same number of announcements a second.
const SMALL_FLEET: usize = 10;
/// From this many hosts on, peers of other failure domains hear less often, sends to them are paced
/// and counts go only to who needs them: datagrams to all peers at once overflow a link of
/// 10 Mbit/s, and bytes between domains cost.
const LARGE_FLEET: usize = 30;
/// Other failure domains hear once in this many announcements.
const FAR_ROUNDS: u32 = 4;
/// Datagrams that are sent without a pause.
const BATCH: usize = 8;
/// The part of the period over which the sends are spread.
const PACED_SHARE: f64 = 0.7;
/// Hosts besides the holder of the duties that get counts of usage.
const SUCCESSORS: usize = 3;
/// Between two announcements if there is nothing to say.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Between two announcements of usage counts.
const COUNTS_PERIOD: Duration = Duration::from_millis(700);
/// The time of day in an announcement counts if it was sent within this time before.
const PROMPT: Duration = Duration::from_millis(1_000);
/// The largest datagram that is received.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// An announcement and the opening that its ages belong to.
struct Announcement {
    opening: Opening,
    beat: Beat,
}

/// Sends and receives announcements until the process ends.
pub async fn run(state: Rc<Site>, socket: UdpSocket) {
    let first = u64::from(rand::random::<u32>()) << 24;
    let echoes = RefCell::new(Echoes::new(first));
    tokio::join!(send(&state, &socket, &echoes), receive(&state, &socket, &echoes));
}

async fn send(state: &Site, socket: &UdpSocket, echoes: &RefCell<Echoes>) {
    let mut counted: Option<Instant> = None;
    let mut quiet_since: Option<Instant> = None;
    let mut due: Option<Instant> = None;
    let mut far = Far::default();
    let mut rounds: u32 = 0;
    loop {
        let hosts = state.live_hosts().max(1);
        let large = hosts >= LARGE_FLEET;
        let heard = if large { near_hosts(state) } else { hosts };
        let period = PERIOD.mul_f64((heard as f64 / SMALL_FLEET as f64).max(1.0));
        let next = *due.get_or_insert(state.now() + period);
        tokio::select! {
            () = tokio::time::sleep(next.saturating_duration_since(state.now())) => {}
            // Peers rest on a fresh proof, so they hear of it at once.
            () = state.proof_renewed.notified() => {
                let bare = announcement(state, echoes, false, false);
                spread(state, socket, &bare, Duration::ZERO, |_| true).await;
                continue;
            }
        }
        due = Some(next.max(state.now()) + period);
        let now = state.now();
        for peer in state.peers.borrow_mut().fallen_silent(now) {
            warn!(peer = peer.as_str(); "peer lost");
        }
        let with_counts =
            counted.is_none_or(|at| now.saturating_duration_since(at) >= COUNTS_PERIOD);
        let full = announcement(state, echoes, true, with_counts && !large);
        let empty = full.beat.shares.as_ref().is_none_or(Vec::is_empty) && !with_counts;
        let rested = quiet_since.is_none_or(|at| now.saturating_duration_since(at) >= QUIET_PERIOD);
        if empty && !rested {
            continue;
        }
        quiet_since = Some(now);
        if with_counts {
            counted = Some(now);
        }
        if !large {
            spread(state, socket, &full, Duration::ZERO, |_| true).await;
            continue;
        }
        if with_counts {
            let counts = announcement(state, echoes, false, true);
            let holders = holders(state);
            spread(state, socket, &counts, Duration::ZERO, |peer| holders.contains(peer)).await;
        }
        let near = near_peers(state);
        spread(state, socket, &full, Duration::ZERO, |peer| near.contains(peer)).await;
        far.absorb(&full.beat);
        rounds += 1;
        if rounds.is_multiple_of(FAR_ROUNDS) {
            let full = Announcement { beat: far.take(full.beat), ..full };
            let pace = period.mul_f64(PACED_SHARE);
            spread(state, socket, &full, pace, |peer| !near.contains(peer)).await;
        }
    }
}

/// What the peers of other failure domains have not been told yet.
#[derive(Default)]
struct Far(BTreeMap<PoolId, Untold>);

impl Far {
    fn absorb(&mut self, beat: &Beat) {
        for (service, shares) in beat.shares.iter().flatten() {
            self.0.entry(service.clone()).or_default().absorb(shares);
        }
    }

    /// Returns the announcement with all that was absorbed.
    fn take(&mut self, beat: Beat) -> Beat {
        let shares = std::mem::take(&mut self.0).into_iter();
        let shares = shares.map(|(service, mut untold)| (service, untold.take()));
        Beat { shares: Some(shares.collect()), ..beat }
    }
}

/// Returns the live peers in this host's failure domain.
fn near_peers(state: &Site) -> BTreeSet<SocketAddr> {
    let domain = state.settings.borrow().domain.clone();
    let peers = state.peers.borrow();
    let live = peers.live(state.now()).filter(|(_, peer)| peer.domain.as_ref() == Some(&domain));
    live.map(|(_, peer)| peer.address).collect()
}

/// Returns how many hosts there are in this host's failure domain.
fn near_hosts(state: &Site) -> usize {
    1 + near_peers(state).len()
}

/// Returns who needs the counts of usage in a large fleet: the holder of the duties, and those that
/// all hosts would name first as its successors.
fn holders(state: &Site) -> BTreeSet<SocketAddr> {
    let now = state.now();
    let peers = state.peers.borrow();
    let holding = peers.live(now).filter(|(_, peer)| peer.fence.is_some());
    let next = peers.live(now).take(SUCCESSORS);
    holding.chain(next).map(|(_, peer)| peer.address).collect()
}

/// Sends an announcement to the known peers that `wanted` names, spread over the time `pace`.
async fn spread(
    state: &Site,
    socket: &UdpSocket,
    announcement: &Announcement,
    pace: Duration,
    wanted: impl Fn(&SocketAddr) -> bool,
) {
    let bytes = match postcard::to_allocvec(&announcement.beat) {
        Ok(bytes) => bytes,
        Err(e) => {
            let cause = e.to_string();
            warn!(cause = cause.as_str(); "announcement cannot be encoded");
            return;
        }
    };
    let peers = state.peers.borrow().all().map(|(_, peer)| peer.address).collect::<Vec<_>>();
    let peers: Vec<SocketAddr> = peers.into_iter().filter(wanted).collect();
    let pause = pace.div_f64((peers.len() as f64 / BATCH as f64).max(1.0));
    for (sent, peer) in peers.into_iter().enumerate() {
        if sent > 0 && sent % BATCH == 0 && !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let mut datagram = Vec::with_capacity(HEADER_BYTES + bytes.len());
        datagram.extend_from_slice(&announcement.opening.header(peer));
        datagram.extend_from_slice(&bytes);
        if socket.send_to(&datagram, peer).await.is_err() {
            metrics::counter!("wasabi_gossip_failures_total").increment(1);
        }
    }
}

/// Opens an announcement, then reads what it tells.
fn announcement(
    state: &Site,
    echoes: &RefCell<Echoes>,
    with_shares: bool,
    with_counts: bool,
) -> Announcement {
    let opening = echoes.borrow_mut().open(state.now());
    Announcement { opening, beat: beat(state, with_shares, with_counts) }
}

fn beat(state: &Site, with_shares: bool, with_counts: bool) -> Beat {
    let now = state.now();
    let settings = state.settings.borrow();
    let catalog = state.catalog.borrow();
    let catalog = catalog.version().zip(catalog.age(now));
    let members = state.members.borrow().proof(now);
    let truth = state.time_of_day.borrow();
    let mut boards = state.boards.borrow_mut();
    let hosts = state.live_hosts();
    boards.values_mut().for_each(|board| board.set_hosts(hosts));
    let shares = with_shares.then(|| {
        let shares = boards.iter_mut().map(|(service, board)| (service.clone(), board.announce()));
        shares.filter(|(_, shares)| !shares.is_empty()).collect()
    });
    let counts = with_counts.then(|| state.usage_tally());
    Beat {
        host: settings.host.clone(),
        incarnation: state.incarnation.clone(),
        domain: settings.domain.clone(),
        leaving: state.stopping_since.get().is_some(),
        wall_ms: time::unix_ms(state.clock.wall()),
        truth_ms: (truth.now_ms(now), truth.held(now).as_millis() as u64),
        catalog: catalog.map(|(version, age)| (version, age.as_millis() as u64)),
        members: members.map(|(digest, age)| (digest, age.as_millis() as u64)),
        fence: state.lease.borrow().fence(now),
        shares,
        counts,
    }
}

async fn receive(state: &Site, socket: &UdpSocket, echoes: &RefCell<Echoes>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let beat = buffer[..length].split_at_checked(HEADER_BYTES);
                let beat = beat.and_then(|(header, body)| {
                    Some((header, postcard::from_bytes::<Beat>(body).ok()?))
                });
                match beat {
                    Some((header, beat)) => {
                        let asked = echoes.borrow_mut().heard(from, header);
                        take(state, from, &beat, asked);
                    }
                    None => metrics::counter!("wasabi_gossip_failures_total").increment(1),
                }
            }
            Err(e) => {
                let cause = e.to_string();
                warn!(cause = cause.as_str(); "announcement not received");
                tokio::time::sleep(PERIOD).await;
            }
        }
    }
}

/// Takes in an announcement that was not sent before `asked`.
fn take(state: &Site, from: SocketAddr, beat: &Beat, asked: Option<Instant>) {
    let now = state.now();
    if state.peers.borrow_mut().heard(now, from, beat) {
        info!(peer = beat.host.as_str(), incarnation = beat.incarnation.as_str(); "peer heard");
    }
    state.record_clock_reading(&beat.host, beat.wall_ms);
    if let Some(asked) = asked {
        // An announcement that waited tells a time that has passed.
        if now.saturating_duration_since(asked) < PROMPT {
            let (truth_ms, held_ms) = beat.truth_ms;
            state.record_peer_time(&beat.host, truth_ms, Duration::from_millis(held_ms));
        }
        let ago = |ms: u64| asked.checked_sub(Duration::from_millis(ms)).unwrap_or(asked);
        if let Some((version, age)) = beat.catalog {
            state.catalog.borrow_mut().confirm(version, ago(age));
        }
        if let Some((digest, age)) = beat.members {
            state.members.borrow_mut().confirm(digest, ago(age));
        }
    }
    if let Some(shares) = &beat.shares {
        for (service, board) in state.boards.borrow_mut().iter_mut() {
            let shares = shares.iter().find(|(name, _)| name == service);
            board.merge(now, &beat.host, shares.map_or(&[], |(_, shares)| shares.as_slice()));
        }
    }
    if let Some(tally) = &beat.counts {
        state.merge_usage(&beat.incarnation, tally);
    }
}
