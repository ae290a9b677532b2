//! Keeps the beliefs about configuration and servers fresh.
//!
//! All hosts share proofs: a host reads the store when no proof is young enough, each host at a
//! threshold of its own draw, so that the fleet reads a few times a second whatever its size.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use log::{info, warn};
use rand::Rng as _;
use wasabi_belief::fleet::Host;
use wasabi_core::{
    errors::{self, Result},
    objects::Call,
};

use crate::{share, site::Site};

/// How often the age of the proofs is looked at.
const TICK: Duration = Duration::from_millis(40);
/// A proof is renewed at this age at the earliest.
const RENEW_AFTER: Duration = Duration::from_millis(500);
/// The spread of the hosts' thresholds, for each host of the fleet.
const SPREAD_PER_HOST: Duration = Duration::from_millis(60);
/// The greatest spread; with it a change still arrives well within its time.
const MAX_SPREAD: Duration = Duration::from_millis(600);
/// A host reads for itself when its own proof is this old, whatever its peers claim.
const MAX_REST: Duration = Duration::from_millis(1_600);
/// The spread of reads after a change, for each host of the fleet.
const CATCH_UP_PER_HOST: Duration = Duration::from_millis(12);
/// The greatest spread of reads after a change; far less than the time a change may take.
const MAX_CATCH_UP: Duration = Duration::from_millis(700);
/// How long a read of the store may take; a slow store answers within some hundred milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// After a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Peers are asked when the own proof is this old and theirs is younger.
const ASK_PEERS: Duration = Duration::from_millis(700);
/// Between two reads of the records of hosts; new hosts also make themselves known.
const HOSTS_PERIOD: Duration = Duration::from_secs(10);
/// The same while no peer has been heard.
const ALONE_PERIOD: Duration = Duration::from_secs(2);
/// The kind of the hosts' records.
const HOSTS_KIND: &str = "gateways";

/// A belief that is kept fresh.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Topic {
    Catalog,
    Members,
}

/// Follows configuration, servers and hosts until the process ends.
pub async fn run(state: Rc<Site>) {
    tokio::join!(
        follow(state.clone(), Topic::Catalog),
        follow(state.clone(), Topic::Members),
        ask_peers(state.clone()),
        announce(state),
    );
}

async fn follow(state: Rc<Site>, topic: Topic) {
    let mut reachable = true;
    let mut threshold = draw(&state);
    // When this host has to read since a peer has seen a change.
    let mut catch_up: Option<Instant> = None;
    loop {
        let now = state.now();
        catch_up = match (topic.is_behind(&state), catch_up) {
            (false, _) => None,
            (true, None) => Some(now + catch_up_delay(&state)),
            (true, at) => at,
        };
        let old = topic.rest(&state).is_none_or(|age| age >= threshold);
        let due = old || catch_up.is_some_and(|at| now >= at);
        if !due {
            if topic == Topic::Members {
                state.expire_members();
            }
            tokio::time::sleep(TICK).await;
            continue;
        }
        threshold = draw(&state);
        let read = topic.read(&state).await;
        if read.is_ok() != reachable {
            reachable = read.is_ok();
            log_store(topic, &read);
        }
        if read.is_ok() && topic.age(&state).is_none() {
            // The store has no configuration yet.
            tokio::time::sleep(RENEW_AFTER / 2).await;
        }
        if read.is_err() {
            metrics::counter!("wasabi_store_failures_total").increment(1);
            let draw: f64 = rand::rng().random();
            tokio::time::sleep(RETRY_PAUSE.mul_f64(1.0 + draw)).await;
        }
    }
}

impl Topic {
    fn age(self, state: &Site) -> Option<Duration> {
        match self {
            Self::Catalog => state.catalog.borrow().age(state.now()),
            Self::Members => state.members.borrow().proof(state.now()).map(|(_, age)| age),
        }
    }

    /// Returns the age of the youngest proof that this host or a peer claims for the same state.
    ///
    /// A peer's claim is good enough to rest on; what proves anything is the bound that the echo
    /// of announcements gives, which `age` counts from.
    fn rest(self, state: &Site) -> Option<Duration> {
        let own = self.age(state)?;
        let now = state.now();
        let peers = state.peers.borrow();
        let claims = peers.live(now).filter_map(|(_, peer)| match self {
            Self::Catalog => {
                let version = state.catalog.borrow().version();
                peer.catalog.filter(|(theirs, _)| Some(*theirs) == version).map(|(_, at)| at)
            }
            Self::Members => {
                let digest = state.members.borrow().proof(now).map(|(digest, _)| digest);
                peer.members.filter(|(theirs, _)| Some(*theirs) == digest).map(|(_, at)| at)
            }
        });
        let claimed = claims.map(|at| now.saturating_duration_since(at)).min();
        // Claims without a bound, such as from a peer that does not hear this host, are not enough.
        if own >= MAX_REST { Some(own) } else { Some(claimed.map_or(own, |age| age.min(own))) }
    }

    /// Returns whether a peer has seen a change that this host has not.
    fn is_behind(self, state: &Site) -> bool {
        let now = state.now();
        let peers = state.peers.borrow();
        match self {
            Self::Catalog => {
                let own = state.catalog.borrow().version();
                peers.live(now).any(|(_, peer)| peer.catalog.map(|(version, _)| version) > own)
            }
            Self::Members => {
                let Some((digest, age)) = state.members.borrow().proof(now) else { return true };
                let proof = now.checked_sub(age).unwrap_or(now);
                let differs = |theirs: (u64, Instant)| theirs.0 != digest && theirs.1 > proof;
                peers.live(now).any(|(_, peer)| peer.members.is_some_and(differs))
            }
        }
    }

    /// Reads the store. The proof counts from before the read was sent.
    async fn read(self, state: &Site) -> Result<()> {
        let sent = state.now();
        match self {
            Self::Catalog => {
                if let Some(catalog) = timely(state.objects.catalog(), READ_TIMEOUT).await? {
                    state.offer_catalog(catalog, sent, "store");
                }
            }
            Self::Members => {
                let members = timely(state.objects.members(), READ_TIMEOUT).await?;
                state.offer_members(members, sent, "store");
            }
        }
        state.proof_renewed.notify_one();
        let took = state.now().saturating_duration_since(sent);
        metrics::histogram!("wasabi_store_read_seconds").record(took.as_secs_f64());
        Ok(())
    }
}

/// Waits for a call, but not for ever.
pub async fn timely<T>(call: Call<'_, T>, limit: Duration) -> Result<T> {
    tokio::time::timeout(limit, call).await.map_err(|_| errors::unavailable("timed out"))?
}

fn draw(state: &Site) -> Duration {
    let spread = (SPREAD_PER_HOST * state.live_hosts() as u32).min(MAX_SPREAD);
    RENEW_AFTER + spread.mul_f64(rand::rng().random())
}

/// Returns how long to wait before reading a change that a peer has seen: in a large fleet one
/// read then covers several changes.
fn catch_up_delay(state: &Site) -> Duration {
    let most = (CATCH_UP_PER_HOST * state.live_hosts() as u32).min(MAX_CATCH_UP);
    most.mul_f64(rand::rng().random())
}

fn log_store(topic: Topic, read: &Result<()>) {
    match read {
        Ok(()) => info!(read:? = topic; "store regained"),
        Err(e) => {
            let cause = e.to_string();
            warn!(read:? = topic, cause = cause.as_str(); "store lost");
        }
    }
}

/// Takes beliefs from peers while the store does not answer this host.
async fn ask_peers(state: Rc<Site>) {
    loop {
        tokio::time::sleep(TICK * 3).await;
        let Some(peer) = better_peer(&state) else { continue };
        if share::pull(&state, peer).await.is_err() {
            metrics::counter!("wasabi_peer_failures_total").increment(1);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Finds the live peer with the freshest proof, if the own proofs are old and its are younger.
fn better_peer(state: &Site) -> Option<std::net::SocketAddr> {
    let now = state.now();
    let own = [Topic::Catalog, Topic::Members].map(|topic| topic.age(state));
    let old = own.iter().any(|age| age.is_none_or(|age| age > ASK_PEERS));
    if !old {
        return None;
    }
    let peers = state.peers.borrow();
    let age = |proof: Instant| now.saturating_duration_since(proof);
    let useful = peers.live(now).filter_map(|(_, peer)| {
        let catalog = peer.catalog.map(|(_, proof)| age(proof))?;
        let members = peer.members.map(|(_, proof)| age(proof))?;
        let better = |own: Option<Duration>, theirs: Duration| {
            own.is_none_or(|own| own > ASK_PEERS && theirs + TICK < own)
        };
        (better(own[0], catalog) || better(own[1], members))
            .then_some((catalog + members, peer.address))
    });
    useful.min_by_key(|(age, _)| *age).map(|(_, address)| address)
}

/// Writes this host's record and reads those of the others.
async fn announce(state: Rc<Site>) {
    let mut written = false;
    loop {
        if !written {
            written = write_record(&state).await.is_ok();
        }
        if let Ok(records) = timely(state.objects.list(HOSTS_KIND), READ_TIMEOUT).await {
            let hosts = records
                .into_iter()
                .filter_map(|record| serde_json::from_value::<Host>(record.value).ok());
            state.peers.borrow_mut().read(state.now(), hosts);
        }
        state.peers.borrow_mut().forget(state.now());
        let alone = state.live_hosts() < 2 || !written;
        tokio::time::sleep(if alone { ALONE_PERIOD } else { HOSTS_PERIOD }).await;
    }
}

async fn write_record(state: &Site) -> Result<()> {
    use wasabi_core::objects::Written;
    let settings = state.settings.borrow().clone();
    let host = Host {
        name: settings.host.clone(),
        incarnation: state.incarnation.clone(),
        domain: settings.domain,
        peer: settings.peers,
    };
    let name = settings.host.to_string();
    let value = serde_json::to_value(&host).map_err(|e| errors::internal(e.to_string()))?;
    let created =
        timely(state.objects.create(HOSTS_KIND, &name, value.clone()), READ_TIMEOUT).await?;
    if let Written::Conflict(Some(before)) = created {
        let replace = state.objects.replace(HOSTS_KIND, &name, before.version, value);
        timely(replace, READ_TIMEOUT).await?;
    }
    Ok(())
}
