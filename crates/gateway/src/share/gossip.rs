//! Announcements between hosts over UDP.
//!
//! The encoding is binary: in a large fleet under load, JSON would fill a link of 10 Mbit/s. Each
//! datagram begins with a header that bounds its age, see [`crate::share::echo`].

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use log::warn;
use tokio::net::UdpSocket;
use wasabi_belief::{
    announcement::{Addition, Announcement, DemandByService},
    facts::Facts,
    forwarders::{self, Candidate},
    link,
    renewal::LARGE_FLEET_HOSTS,
};
use wasabi_core::{time, units::PoolId};
use wasabi_policy::{load_report::PendingReport, overload};

use crate::{
    share::{
        echo::{EchoTracker, HEADER_BYTES, HeaderTemplate},
        envelope::{self, Content, FORWARDING_BYTES},
        facts,
    },
    state::State,
};

/// Announcement period in a small fleet while requests are placed.
pub const PERIOD: Duration = Duration::from_millis(100);
/// Up to this many receivers the period is [`PERIOD`]. Beyond, it grows in proportion, so that the
/// number of announcements that a host sends and receives each second stays the same. In a large
/// fleet only the hosts of the same failure domain count as receivers.
const SMALL_FLEET_HOSTS: usize = 10;
/// Peers in other failure domains get one in this many announcements.
const REMOTE_DOMAIN_ROUNDS: u32 = 4;
/// Hosts besides the holder of the duties lease that get usage counts.
const SUCCESSOR_HOSTS: usize = 3;
/// The least time from one announcement to the next if that would carry neither load reports nor
/// usage counts.
const IDLE_PERIOD: Duration = Duration::from_millis(300);
/// Period of announcing usage counts.
const COUNTS_PERIOD: Duration = Duration::from_millis(700);
/// How long it is announced that a server leaves; by then the store lists it as draining or gone.
const LEAVING_ANNOUNCED_FOR: Duration = Duration::from_secs(5);
/// The most such servers in one announcement, the latest ones.
pub const MAX_ANNOUNCED_LEAVING: usize = 8;
/// The largest datagram that fits one Ethernet frame.
const PACKET_BYTES: usize = 1_472;

/// An announcement and the header data of its datagrams; its ages were read after `template`.
struct Outgoing {
    template: HeaderTemplate,
    announcement: Announcement,
    addition: Addition,
    facts: Facts,
    link: link::Report,
    demand: DemandByService,
}

/// Sends announcements periodically, and at once when a read of the store has renewed a proof.
pub async fn announce(state: &State, socket: &UdpSocket, echoes: &RefCell<EchoTracker>) {
    let mut counts_sent: Option<Instant> = None;
    let mut last_sent: Option<Instant> = None;
    let mut due: Option<Instant> = None;
    let mut remote = RemoteBacklog::default();
    let mut rounds: u32 = 0;
    loop {
        let hosts = state.live_hosts().max(1);
        let large = hosts >= LARGE_FLEET_HOSTS;
        let receivers = if large { same_domain_hosts(state) } else { hosts };
        let period = PERIOD.mul_f64((receivers as f64 / SMALL_FLEET_HOSTS as f64).max(1.0));
        let next = *due.get_or_insert(state.now() + period);
        tokio::select! {
            () = tokio::time::sleep(next.saturating_duration_since(state.now())) => {}
            // Peers can skip their own read if they learn of a fresh proof at once.
            () = state.proof_renewed.notified() => {
                let proofs = begin_announcement(state, echoes, false, false);
                let near = near_peers(state);
                let is_recipient = |peer: &SocketAddr| !large || near.contains(peer);
                send_to_peers(state, socket, &proofs, is_recipient).await;
                continue;
            }
        }
        due = Some(next.max(state.now()) + period);
        let now = state.now();
        for peer in state.peers.borrow_mut().take_fallen_silent(now) {
            warn!(peer = peer.as_str(); "peer lost");
        }
        let with_counts =
            counts_sent.is_none_or(|at| now.saturating_duration_since(at) >= COUNTS_PERIOD);
        let mut full = begin_announcement(state, echoes, true, with_counts && !large);
        full.facts = facts::collect(state);
        full.demand = facts::collect_demand(state);
        let empty = full.announcement.shares.as_ref().is_none_or(Vec::is_empty)
            && !with_counts
            && full.facts == Facts::default()
            && full.demand.is_empty();
        let idle_elapsed =
            last_sent.is_none_or(|at| now.saturating_duration_since(at) >= IDLE_PERIOD);
        if empty && !idle_elapsed {
            continue;
        }
        last_sent = Some(now);
        if with_counts {
            counts_sent = Some(now);
        }
        if !large {
            for part in full.into_packets(state, echoes) {
                send_to_peers(state, socket, &part, |_| true).await;
            }
            continue;
        }
        if with_counts {
            let counts = begin_announcement(state, echoes, false, true);
            let recipients = usage_recipients(state);
            send_to_peers(state, socket, &counts, |peer| recipients.contains(peer)).await;
        }
        let near = near_peers(state);
        remote.absorb(now, &full);
        let parts = full.into_packets(state, echoes);
        for part in &parts {
            send_to_peers(state, socket, part, |peer| near.contains(peer)).await;
        }
        rounds += 1;
        if rounds.is_multiple_of(REMOTE_DOMAIN_ROUNDS) {
            let mut full = begin_announcement(state, echoes, false, false);
            remote.move_into(state.now(), &mut full);
            let forwarders = far_forwarders(state, rounds);
            for part in &full.into_packets(state, echoes) {
                send(socket, part, true, &forwarders).await;
            }
        }
    }
}

impl Outgoing {
    /// Splits the facts and the demand of each service off into announcements of their own if they do
    /// not fit the packet of this one: the load reports of a busy host fill it.
    fn into_packets(mut self, state: &State, echoes: &RefCell<EchoTracker>) -> Vec<Self> {
        let fits = postcard::to_allocvec(&(
            &self.announcement,
            &self.addition,
            &self.facts,
            &self.link,
            &self.demand,
        ))
        .is_ok_and(|bytes| HEADER_BYTES + FORWARDING_BYTES + bytes.len() <= PACKET_BYTES);
        if fits || (self.facts == Facts::default() && self.demand.is_empty()) {
            return vec![self];
        }
        let facts = facts::split(std::mem::take(&mut self.facts));
        let facts = facts.into_iter().map(|facts| (facts, Vec::new()));
        let demand = std::mem::take(&mut self.demand);
        let demand = demand.into_iter().map(|service| (Facts::default(), vec![service]));
        let separate = facts.chain(demand).map(|(facts, demand)| {
            let proofs = begin_announcement(state, echoes, false, false);
            Self { facts, demand, ..proofs }
        });
        std::iter::once(self).chain(separate).collect()
    }
}

/// What peers in other failure domains have not been sent yet.
#[derive(Default)]
struct RemoteBacklog {
    shares: BTreeMap<PoolId, PendingReport>,
    facts: Facts,
    /// By service, with the time at which it was last added to.
    demand: BTreeMap<PoolId, (Instant, overload::Report)>,
}

impl RemoteBacklog {
    fn absorb(&mut self, now: Instant, outgoing: &Outgoing) {
        for (service, later) in &outgoing.demand {
            let (at, pending) =
                self.demand.entry(service.clone()).or_insert((now, Default::default()));
            pending.absorb(now.saturating_duration_since(*at), later);
            *at = now;
        }
        for (service, shares) in outgoing.announcement.shares.iter().flatten() {
            self.shares.entry(service.clone()).or_default().absorb(shares);
        }
        facts::accumulate(&mut self.facts, &outgoing.facts);
    }

    /// Moves all that has accumulated into an announcement.
    fn move_into(&mut self, now: Instant, outgoing: &mut Outgoing) {
        let Self { shares, facts, demand } = std::mem::take(self);
        let demand = demand.into_iter().map(|(service, (at, mut report))| {
            report.age(now.saturating_duration_since(at));
            (service, report)
        });
        outgoing.demand = demand.collect();
        let shares = shares.into_iter().map(|(service, mut pending)| (service, pending.take()));
        outgoing.announcement.shares = Some(shares.collect());
        outgoing.facts = facts;
    }
}

/// Returns the addresses of the peers in this host's failure domain, also of those that have not been
/// heard yet.
pub fn near_peers(state: &State) -> BTreeSet<SocketAddr> {
    let domain = state.settings.borrow().domain.clone();
    let peers = state.peers.borrow();
    let near = peers.all().filter(|(_, peer)| peer.domain.as_ref() == Some(&domain));
    near.map(|(_, peer)| peer.address).collect()
}

/// Returns the hosts of other failure domains that pass on this host's announcement of `round`.
fn far_forwarders(state: &State, round: u32) -> Vec<SocketAddr> {
    let settings = state.settings.borrow();
    let peers = state.peers.borrow();
    let candidates = peers.live(state.now()).filter_map(|(host, peer)| {
        let domain = peer.domain.clone().filter(|domain| *domain != settings.domain)?;
        Some(Candidate { domain, host: host.clone(), address: peer.address })
    });
    forwarders::choose(&settings.host, round, &candidates.collect::<Vec<_>>())
}

/// Returns the number of live hosts in this host's failure domain, this one included.
fn same_domain_hosts(state: &State) -> usize {
    let domain = state.settings.borrow().domain.clone();
    let peers = state.peers.borrow();
    let live = peers.live(state.now());
    1 + live.filter(|(_, peer)| peer.domain.as_ref() == Some(&domain)).count()
}

/// Returns the peers that get usage counts in a large fleet: the holder of the duties lease, and
/// the first live peers by name, in case one of them acquires the lease. All hosts choose much the
/// same.
fn usage_recipients(state: &State) -> BTreeSet<SocketAddr> {
    let now = state.now();
    let peers = state.peers.borrow();
    let holder = peers.live(now).filter(|(_, peer)| peer.fence.is_some());
    let successors = peers.live(now).take(SUCCESSOR_HOSTS);
    holder.chain(successors).map(|(_, peer)| peer.address).collect()
}

/// Sends an announcement to the known peers that `is_recipient` selects.
async fn send_to_peers(
    state: &State,
    socket: &UdpSocket,
    outgoing: &Outgoing,
    is_recipient: impl Fn(&SocketAddr) -> bool,
) {
    let peers = state.peers.borrow().all().map(|(_, peer)| peer.address).collect::<Vec<_>>();
    let peers: Vec<SocketAddr> = peers.into_iter().filter(is_recipient).collect();
    send(socket, outgoing, false, &peers).await;
}

/// Sends an announcement to `peers`, who pass it on if `to_forward`.
async fn send(socket: &UdpSocket, outgoing: &Outgoing, to_forward: bool, peers: &[SocketAddr]) {
    let Outgoing { announcement, addition, facts, link, demand, .. } = outgoing;
    let bytes = match postcard::to_allocvec(&(announcement, addition, facts, link, demand)) {
        Ok(bytes) => bytes,
        Err(e) => {
            let cause = e.to_string();
            warn!(cause = cause.as_str(); "announcement cannot be encoded");
            return;
        }
    };
    for peer in peers {
        send_datagram(socket, &outgoing.template, Content::Direct(&bytes, to_forward), *peer).await;
    }
}

/// Sends one datagram; a failure is only counted, since the next announcement makes up for it.
pub async fn send_datagram(
    socket: &UdpSocket,
    template: &HeaderTemplate,
    content: Content<'_>,
    peer: SocketAddr,
) {
    let sealed = envelope::seal(&template.header(peer), content).ok();
    let sent = match &sealed {
        Some(datagram) => socket.send_to(datagram, peer).await.is_ok(),
        None => false,
    };
    if !sent {
        metrics::counter!("wasabi_gossip_failures_total").increment(1);
    }
}

/// Begins an announcement and then reads its content, in the order that [`HeaderTemplate`]
/// requires.
fn begin_announcement(
    state: &State,
    echoes: &RefCell<EchoTracker>,
    with_shares: bool,
    with_counts: bool,
) -> Outgoing {
    let template = echoes.borrow_mut().begin(state.now());
    state.share_limits();
    Outgoing {
        template,
        announcement: collect_announcement(state, with_shares, with_counts),
        addition: collect_addition(state),
        facts: Facts::default(),
        link: state.link.borrow().report(state.now()),
        demand: Vec::new(),
    }
}

/// Collects the servers of which this host learned lately that they leave.
fn collect_addition(state: &State) -> Addition {
    let now = state.now();
    let since = now.checked_sub(LEAVING_ANNOUNCED_FOR).unwrap_or(now);
    let mut leaving_servers = state.servers.borrow().left_since(since);
    leaving_servers.truncate(MAX_ANNOUNCED_LEAVING);
    let era = state.era.borrow().known().map(|known| {
        let age = now.saturating_duration_since(known.since);
        (known.era, age.as_millis() as u64, known.restored)
    });
    let highest_fence = state.lease.borrow().highest_fence();
    Addition { leaving_servers, era, highest_fence }
}

/// Collects what this host announces. With load reports it takes what the balancers have placed
/// since the last ones; it also tells the balancers the number of hosts.
fn collect_announcement(state: &State, with_shares: bool, with_counts: bool) -> Announcement {
    let now = state.now();
    let settings = state.settings.borrow();
    let catalog = state.config.borrow();
    let catalog = catalog.revision().zip(catalog.staleness(now));
    let members = state.servers.borrow().digest_age(now);
    let time_of_day = state.time_of_day.borrow();
    let mut balancers = state.balancers.borrow_mut();
    let hosts = state.live_hosts();
    balancers.values_mut().for_each(|balancer| balancer.set_host_count(hosts));
    let shares = with_shares.then(|| {
        let shares =
            balancers.iter_mut().map(|(service, balancer)| (service.clone(), balancer.announce()));
        shares.filter(|(_, shares)| !shares.is_empty()).collect()
    });
    let counts = with_counts.then(|| state.count_report());
    Announcement {
        host: settings.host.clone(),
        incarnation: state.incarnation.clone(),
        domain: settings.domain.clone(),
        leaving: state.stopping_since.get().is_some(),
        wall_ms: time::unix_ms(state.clock.wall()),
        truth_ms: (time_of_day.now_ms(now), time_of_day.held_for(now).as_millis() as u64),
        catalog: catalog.map(|(version, age)| (version, age.as_millis() as u64)),
        members: members.map(|(digest, age)| (digest, age.as_millis() as u64)),
        fence: state.lease.borrow().fence(now),
        shares,
        counts,
    }
}
