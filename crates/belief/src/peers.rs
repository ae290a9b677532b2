//! The other hosts: their addresses, when they were last heard from, and what they announced.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use wasabi_core::{
    format::{self, Format},
    units::{Domain, Epoch, HostId, Incarnation, Revision},
};

use crate::{announcement::Announcement, host_record::Host, link};

/// A peer that has been silent for this long does not count as live.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A peer that has been silent for this long counts as one that sends nothing to servers. Until then
/// its part of their limits stays its own.
const SENDING_TIMEOUT: Duration = Duration::from_secs(10);
/// A peer that has been silent for this long is removed; a record in the store may add it again.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(60);

/// The table of the other hosts.
#[derive(Debug)]
pub struct Peers {
    me: HostId,
    known: BTreeMap<HostId, Peer>,
}

/// One other host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its failure domain, as it announced or recorded it.
    pub domain: Option<Domain>,
    /// The incarnation that was last heard from.
    pub incarnation: Option<Incarnation>,
    /// When it was last heard from; for a peer known only from the store, when its record was first
    /// read.
    pub last_seen: Instant,
    /// Whether it has ever sent an announcement.
    pub has_announced: bool,
    /// Whether it was live at the last call of `take_fallen_silent`.
    was_live: bool,
    /// The revision of its configuration, and when that was last known to be the newest.
    pub catalog: Option<(Revision, Instant)>,
    /// The digest of its list of backend servers, and when that was last known to be complete.
    pub members: Option<(u64, Instant)>,
    /// The fencing token under which it holds the duties, if it does.
    pub fence: Option<Epoch>,
    /// The format of its last announcement; `None` before the first one.
    pub format: Option<Format>,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// When a server last answered it, no later than it was; `None` if none has or it did not say.
    pub answered_at: Option<Instant>,
    /// Whether it is cut off from all servers.
    pub cut: bool,
}

impl Peers {
    /// Creates an empty table for the host `me`, which is never a peer of itself.
    pub fn new(me: HostId) -> Self {
        Self { me, known: BTreeMap::new() }
    }

    /// Merges the host records that the store lists. A record replaces the address of a known peer
    /// only if the peer is silent.
    pub fn merge_records(&mut self, now: Instant, hosts: impl IntoIterator<Item = Host>) {
        for host in hosts {
            if host.name == self.me {
                continue;
            }
            let peer = self.known.entry(host.name).or_insert_with(|| Peer::new(host.peer, now));
            peer.domain.get_or_insert(host.domain);
            if now.saturating_duration_since(peer.last_seen) >= LIVENESS_TIMEOUT {
                peer.address = host.peer;
            }
        }
    }

    /// Records a peer's announcement; returns whether the peer's incarnation is a new one.
    pub fn record_announcement(
        &mut self,
        now: Instant,
        from: SocketAddr,
        announcement: &Announcement,
    ) -> bool {
        if announcement.host == self.me {
            return false;
        }
        let peer =
            self.known.entry(announcement.host.clone()).or_insert_with(|| Peer::new(from, now));
        let is_new = peer.incarnation.as_ref() != Some(&announcement.incarnation);
        let before_now = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
        peer.address = from;
        peer.domain = Some(announcement.domain.clone());
        peer.incarnation = Some(announcement.incarnation.clone());
        peer.last_seen = now;
        peer.has_announced = true;
        peer.catalog = announcement.catalog.map(|(version, age)| (version, before_now(age)));
        peer.members = announcement.members.map(|(digest, age)| (digest, before_now(age)));
        peer.fence = announcement.fence;
        peer.leaving = announcement.leaving;
        is_new
    }

    /// Records the format of a peer's announcements; returns whether it has changed to one that is not this
    /// build's.
    pub fn record_format(&mut self, host: &HostId, format: Format) -> bool {
        let Some(peer) = self.known.get_mut(host) else { return false };
        let before = peer.format.replace(format).unwrap_or(format::ANNOUNCEMENT);
        before != format && format != format::ANNOUNCEMENT
    }

    /// Records that the announcements of the peer at `address` cannot be read; returns the peer if they could
    /// before.
    pub fn record_unread(&mut self, address: SocketAddr, format: Format) -> Option<HostId> {
        let (host, peer) = self.known.iter_mut().find(|(_, peer)| peer.address == address)?;
        (peer.format.replace(format) != Some(format)).then(|| host.clone())
    }

    /// Records what a peer has announced of its link to the servers; `sent` is no later than when it was
    /// sent.
    pub fn record_link(&mut self, host: &HostId, sent: Instant, report: link::Report) {
        let Some(peer) = self.known.get_mut(host) else { return };
        let answered_at = report.answered_ms.map(Duration::from_millis);
        peer.answered_at = peer.answered_at.max(answered_at.and_then(|age| sent.checked_sub(age)));
        peer.cut = report.cut;
    }

    /// The live peers that are neither stopping nor cut off from the servers.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.live(now).filter(|(_, peer)| !peer.leaving && !peer.cut)
    }

    /// Removes peers that have been silent for `REMOVAL_TIMEOUT`.
    pub fn remove_silent(&mut self, now: Instant) {
        self.known
            .retain(|_, peer| now.saturating_duration_since(peer.last_seen) < REMOVAL_TIMEOUT);
    }

    /// The peers that were live at the previous call and are not any more.
    pub fn take_fallen_silent(&mut self, now: Instant) -> Vec<HostId> {
        let mut silent = Vec::new();
        for (host, peer) in &mut self.known {
            let live = peer.is_live(now);
            if peer.was_live && !live {
                silent.push(host.clone());
            }
            peer.was_live = live;
        }
        silent
    }

    /// All known peers, live or not.
    pub fn all(&self) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.known.iter()
    }

    /// The peers that were heard from recently.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.known.iter().filter(move |(_, peer)| peer.is_live(now))
    }

    /// The peers that may be sending to servers: those heard from or recorded lately, and all known ones
    /// while none is live, since then it is this host that is cut off.
    pub fn may_send(&self, now: Instant) -> impl Iterator<Item = &HostId> {
        let alone = self.live(now).next().is_none();
        let lately =
            move |peer: &Peer| now.saturating_duration_since(peer.last_seen) < SENDING_TIMEOUT;
        self.known.iter().filter(move |(_, peer)| alone || lately(peer)).map(|(host, _)| host)
    }

    /// The number of live peers whose announcements are not of this build's format.
    pub fn live_of_other_formats(&self, now: Instant) -> usize {
        self.live(now).filter(|(_, peer)| peer.format != Some(format::ANNOUNCEMENT)).count()
    }

    /// The number of live hosts, including this one.
    pub fn live_host_count(&self, now: Instant) -> usize {
        1 + self.live(now).count()
    }
}

impl Peer {
    fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            domain: None,
            incarnation: None,
            last_seen: now,
            has_announced: false,
            was_live: false,
            catalog: None,
            members: None,
            fence: None,
            format: None,
            leaving: false,
            answered_at: None,
            cut: false,
        }
    }

    /// Whether it was heard from recently.
    pub fn is_live(&self, now: Instant) -> bool {
        self.has_announced && now.saturating_duration_since(self.last_seen) < LIVENESS_TIMEOUT
    }
}
