//! The other hosts: where they are, when they were last heard and what they know.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use wasabi_core::units::{Domain, Epoch, HostId, Incarnation, Revision};

use crate::{beat::Beat, fleet::Host};

/// A peer that is silent for longer is not counted as live.
const LIVE: Duration = Duration::from_millis(2_500);
/// A peer that is silent for longer is forgotten; the store may bring it back.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// The other hosts.
#[derive(Debug)]
pub struct Peers {
    me: HostId,
    known: BTreeMap<HostId, Peer>,
}

/// One other host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands, once it has said so.
    pub domain: Option<Domain>,
    /// Which life of it was heard last.
    pub incarnation: Option<Incarnation>,
    /// When it was last heard; for one that was only read about, when that was.
    pub heard: Instant,
    /// Whether it ever sent anything itself.
    pub spoke: bool,
    /// Whether it was live when that was last looked at.
    seen_live: bool,
    /// Its configuration and until when that is known to have been the newest.
    pub catalog: Option<(Revision, Instant)>,
    /// The digest of its list of servers and until when that is known to have been complete.
    pub members: Option<(u64, Instant)>,
    /// The fencing number under which it holds the duties.
    pub fence: Option<Epoch>,
    /// Whether it is about to stop.
    pub leaving: bool,
}

impl Peers {
    /// Gets a table for the host `me` that knows nobody.
    pub fn new(me: HostId) -> Self {
        Self { me, known: BTreeMap::new() }
    }

    /// Takes in the records that the store lists.
    pub fn read(&mut self, now: Instant, hosts: impl IntoIterator<Item = Host>) {
        for host in hosts {
            if host.name == self.me {
                continue;
            }
            let peer = self.known.entry(host.name).or_insert_with(|| Peer::new(host.peer, now));
            if now.saturating_duration_since(peer.heard) >= LIVE {
                peer.address = host.peer;
            }
        }
    }

    /// Takes in what a peer says; returns whether this is a new life of it.
    pub fn heard(&mut self, now: Instant, from: SocketAddr, beat: &Beat) -> bool {
        if beat.host == self.me {
            return false;
        }
        let peer = self.known.entry(beat.host.clone()).or_insert_with(|| Peer::new(from, now));
        let fresh = peer.incarnation.as_ref() != Some(&beat.incarnation);
        let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
        peer.address = from;
        peer.domain = Some(beat.domain.clone());
        peer.incarnation = Some(beat.incarnation.clone());
        peer.heard = now;
        peer.spoke = true;
        peer.catalog = beat.catalog.map(|(version, age)| (version, ago(age)));
        peer.members = beat.members.map(|(digest, age)| (digest, ago(age)));
        peer.fence = beat.fence;
        peer.leaving = beat.leaving;
        fresh
    }

    /// Forgets peers that have been silent for long.
    pub fn forget(&mut self, now: Instant) {
        self.known.retain(|_, peer| now.saturating_duration_since(peer.heard) < FORGOTTEN);
    }

    /// Returns the peers that have fallen silent since this was last asked.
    pub fn fallen_silent(&mut self, now: Instant) -> Vec<HostId> {
        let mut silent = Vec::new();
        for (host, peer) in &mut self.known {
            let live = peer.is_live(now);
            if peer.seen_live && !live {
                silent.push(host.clone());
            }
            peer.seen_live = live;
        }
        silent
    }

    /// Returns all peers.
    pub fn all(&self) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.known.iter()
    }

    /// Returns the peers that were heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.known.iter().filter(move |(_, peer)| peer.is_live(now))
    }

    /// Returns how many hosts share the work, this one included.
    pub fn hosts(&self, now: Instant) -> usize {
        1 + self.live(now).count()
    }
}

impl Peer {
    fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            domain: None,
            incarnation: None,
            heard: now,
            spoke: false,
            seen_live: false,
            catalog: None,
            members: None,
            fence: None,
            leaving: false,
        }
    }

    /// Returns whether it was heard lately.
    pub fn is_live(&self, now: Instant) -> bool {
        self.spoke && now.saturating_duration_since(self.heard) < LIVE
    }
}
