//! Keeps the configuration and the list of backend servers current.
//!
//! A proof is an instant at which this host's copy was known to be current. Hosts share proofs and
//! content, see [`wasabi_belief::renewal`].

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use log::{info, warn};
use rand::Rng as _;
use wasabi_belief::{
    host_record::Host,
    peers::Peer,
    renewal::{Claim, LARGE_FLEET_HOSTS, Renewal, Situation, Source, Versions},
};
use wasabi_core::{
    errors::{self, Result},
    member::Listing,
    objects::CallFuture,
};

use crate::{share::peer_fetch, state::State};

/// How often the age of the proofs is checked.
const TICK: Duration = Duration::from_millis(40);
/// Timeout of a call to the store; a slow store answers within some hundred milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a failed request to a peer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// A peer with younger proofs is asked for its copies when an own proof is older than this.
const ASK_PEERS_AGE: Duration = Duration::from_millis(700);
/// The same in a large fleet, where announcements bound the ages of proofs less closely.
const LARGE_ASK_PEERS_AGE: Duration = Duration::from_millis(2_200);
/// Period of reading the host records in a fleet of up to [`HOSTS_OF_PERIOD`]. Slow, since new hosts
/// also announce themselves.
const HOSTS_PERIOD: Duration = Duration::from_secs(10);
/// In larger fleets the period grows in proportion, so that the fleet reads equally often.
const HOSTS_OF_PERIOD: usize = 10;
/// The longest period. A silent peer is forgotten after a minute, until its record is read again.
const MAX_HOSTS_PERIOD: Duration = Duration::from_secs(60);
/// Period of reading the host records while no peer is live or the own record is not written.
const HOSTS_PERIOD_ALONE: Duration = Duration::from_secs(2);
/// The range of the random delay, for each live host, before a host writes its record again after the
/// store was restored.
const RESTORE_SPREAD_PER_HOST: Duration = Duration::from_millis(10);
/// The widest range of that delay.
const MAX_RESTORE_SPREAD: Duration = Duration::from_millis(1_500);
/// A reader of the servers reads the evacuations this often within the time in which they take effect. What is
/// left is for hosts that learn of them from peers.
const EVACUATION_READS: u32 = 5;
/// The object kind of the host records.
const HOSTS_KIND: &str = "gateways";

/// A set of data that is kept current. The log shows the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Dataset {
    Catalog,
    Members,
}

/// Keeps configuration, backend servers and host records current until the process ends.
pub async fn run(state: Rc<State>) {
    tokio::join!(
        keep_fresh(state.clone(), Dataset::Catalog),
        keep_fresh(state.clone(), Dataset::Members),
        ask_peers(state.clone()),
        maintain_host_records(state),
    );
}

/// Renews `dataset` from the store or from a peer whenever that is due.
async fn keep_fresh(state: Rc<State>, dataset: Dataset) {
    let mut reachable = true;
    let mut renewal = Renewal::new(rand::rng().random());
    loop {
        let Some(source) = renewal.due(state.now(), &dataset.situation(&state)) else {
            if dataset == Dataset::Members {
                state.expire_servers();
            }
            tokio::time::sleep(TICK).await;
            continue;
        };
        let proof = |state: &State| dataset.own(state).map(|(_, proof)| proof);
        let before = proof(&state);
        let renewed = match source {
            Source::Store => dataset.read(&state).await,
            Source::Peer(peer) => peer_fetch::fetch_snapshot(&state, peer).await,
        };
        let succeeded = renewed.is_ok() && dataset.own(&state).is_some();
        renewal.ended(state.now(), source, succeeded, rand::rng().random());
        if source == Source::Store && proof(&state) <= before {
            renewal.record_unproven(state.now());
        }
        if matches!(source, Source::Peer(_)) {
            if renewed.is_err() {
                metrics::counter!("wasabi_peer_failures_total").increment(1);
            }
            continue;
        }
        state.check_era();
        if dataset == Dataset::Catalog
            && renewed.is_ok()
            && let Some(peer) = peer_with_newer_catalog(&state)
            && peer_fetch::fetch_snapshot(&state, peer).await.is_err()
        {
            metrics::counter!("wasabi_peer_failures_total").increment(1);
        }
        if renewed.is_ok() != reachable {
            reachable = renewed.is_ok();
            log_store_state(dataset, &renewed);
        }
        if renewed.is_err() {
            metrics::counter!("wasabi_store_failures_total").increment(1);
        }
    }
}

impl Dataset {
    /// Returns the version of this host's copy and its proof.
    fn own(self, state: &State) -> Option<(u64, Instant)> {
        let now = state.now();
        let (version, age) = match self {
            Self::Catalog => {
                let config = state.config.borrow();
                config.revision().map(|revision| revision.0).zip(config.staleness(now))
            }
            Self::Members => state.servers.borrow().digest_age(now),
        }?;
        Some((version, now.checked_sub(age).unwrap_or(now)))
    }

    /// Returns what decides on the next renewal.
    fn situation(self, state: &State) -> Situation {
        let domain = state.settings.borrow().domain.clone();
        let peers = state.peers.borrow();
        let now = state.now();
        let is_near = |peer: &Peer| peer.domain.as_ref() == Some(&domain);
        let claims = peers.live(now).filter_map(|(_, peer)| {
            let (version, proof) = match self {
                Self::Catalog => peer.catalog.map(|(revision, proof)| (revision.0, proof)),
                Self::Members => peer.members,
            }?;
            Some(Claim { address: peer.address, is_near: is_near(peer), version, proof })
        });
        Situation {
            versions: match self {
                Self::Catalog => Versions::Grow,
                Self::Members => Versions::Differ,
            },
            own: self.own(state),
            claims: claims.collect(),
            live_hosts: peers.live_host_count(now),
            near_hosts: 1 + peers.live(now).filter(|(_, peer)| is_near(peer)).count(),
        }
    }

    /// Reads the store. The proof counts from the time when the read was sent.
    async fn read(self, state: &State) -> Result<()> {
        let sent = state.now();
        match self {
            Self::Catalog => {
                let catalog = with_timeout(state.objects.catalog(), READ_TIMEOUT).await?;
                state.check_era();
                if let Some(catalog) = catalog {
                    state.offer_stored_config(catalog, sent);
                }
            }
            Self::Members => {
                let members = read_servers(state, READ_TIMEOUT).await?;
                // A list of a new era may lack entries; it must not count as an ordinary one.
                state.check_era();
                state.offer_servers(members, sent, "store");
            }
        }
        state.proof_renewed.notify_one();
        let took = state.now().saturating_duration_since(sent);
        metrics::histogram!("wasabi_store_read_seconds").record(took.as_secs_f64());
        Ok(())
    }
}

/// Reads the servers and, where the platform has evacuations and they were last read a while ago, those too.
/// A list without current evacuations proves nothing, so if one of the reads fails, both do.
pub async fn read_servers(state: &State, limit: Duration) -> Result<Listing> {
    let within = state.settings.borrow().evacuate_within;
    let due = within.filter(|within| {
        let confirmed_at = state.servers.borrow().evacuations_confirmed_at();
        let age = confirmed_at.map(|at| state.now().saturating_duration_since(at));
        age.is_none_or(|age| age >= *within / EVACUATION_READS)
    });
    let members = with_timeout(state.objects.members(), limit);
    if due.is_none() {
        let mut listing = members.await?;
        listing.restrictions.evacuated = state.servers.borrow().evacuated().clone();
        return Ok(listing);
    }
    let sent = state.now();
    let evacuations = with_timeout(state.objects.evacuations(), limit);
    let (listing, evacuated) = tokio::join!(members, evacuations);
    let (mut listing, evacuated) = (listing?, evacuated?);
    listing.restrictions.evacuated = evacuated;
    state.servers.borrow_mut().confirm_evacuations(sent);
    Ok(listing)
}

/// Awaits a call; fails with `StoreUnavailable` after `limit`.
pub async fn with_timeout<T>(call: CallFuture<'_, T>, limit: Duration) -> Result<T> {
    tokio::time::timeout(limit, call).await.map_err(|_| errors::unavailable("timed out"))?
}

/// Logs that reads of `dataset` fail ("store lost") or succeed again ("store regained").
fn log_store_state(dataset: Dataset, read: &Result<()>) {
    match read {
        Ok(()) => info!(read:? = dataset; "store regained"),
        Err(e) => {
            let cause = e.to_string();
            warn!(read:? = dataset, cause = cause.as_str(); "store lost");
        }
    }
}

/// Fetches configuration and servers from a peer while an own proof is old and the peer's is
/// younger, as it is when the store does not answer this host.
async fn ask_peers(state: Rc<State>) {
    loop {
        tokio::time::sleep(TICK * 3).await;
        let Some(peer) = freshest_peer(&state) else { continue };
        if peer_fetch::fetch_snapshot(&state, peer).await.is_err() {
            metrics::counter!("wasabi_peer_failures_total").increment(1);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns a live peer that has a newer configuration than this host. After a read of the store that
/// means that the peer has just learned of a change, or that the store was restored from an older
/// copy.
fn peer_with_newer_catalog(state: &State) -> Option<std::net::SocketAddr> {
    let own = state.config.borrow().revision();
    let peers = state.peers.borrow();
    let newer = peers.live(state.now()).filter_map(|(_, peer)| {
        let (version, _) = peer.catalog?;
        (Some(version) > own).then_some((version, peer.address))
    });
    newer.max_by_key(|(version, _)| *version).map(|(_, address)| address)
}

/// Returns the live peer with the youngest proofs, one of the own failure domain if there is any, if an
/// own proof is old and the peer's is younger.
fn freshest_peer(state: &State) -> Option<std::net::SocketAddr> {
    let now = state.now();
    let ask_age = match state.live_hosts() >= LARGE_FLEET_HOSTS {
        true => LARGE_ASK_PEERS_AGE,
        false => ASK_PEERS_AGE,
    };
    let age = |proof: Instant| now.saturating_duration_since(proof);
    let own = [Dataset::Catalog, Dataset::Members]
        .map(|dataset| dataset.own(state).map(|(_, proof)| age(proof)));
    let is_old = |own: Option<Duration>| own.is_none_or(|own| own > ask_age);
    if !own.into_iter().any(is_old) {
        return None;
    }
    let domain = state.settings.borrow().domain.clone();
    let peers = state.peers.borrow();
    let useful = peers.live(now).filter_map(|(_, peer)| {
        let catalog = peer.catalog.map(|(_, proof)| age(proof))?;
        let members = peer.members.map(|(_, proof)| age(proof))?;
        let better = |own: Option<Duration>, theirs: Duration| {
            is_old(own) && own.is_none_or(|own| theirs + TICK < own)
        };
        let is_far = peer.domain.as_ref() != Some(&domain);
        (better(own[0], catalog) || better(own[1], members))
            .then_some(((is_far, catalog + members), peer.address))
    });
    useful.min_by_key(|(rank, _)| *rank).map(|(_, address)| address)
}

/// Writes this host's record until that succeeds, and reads those of the others periodically.
async fn maintain_host_records(state: Rc<State>) {
    let mut written = false;
    loop {
        let restored = state.store_restored.notified();
        if !written {
            written = write_host_record(&state).await.is_ok();
        }
        if let Ok(records) = with_timeout(state.objects.list(HOSTS_KIND), READ_TIMEOUT).await {
            let recorded = records.len();
            let hosts: Vec<Host> = records
                .into_iter()
                .filter_map(|record| serde_json::from_value(record.value).ok())
                .collect();
            let keeping = hosts.iter().filter(|host| host.keeps_to_established).count();
            state.all_keep_to_established.set(keeping == recorded);
            state.peers.borrow_mut().merge_records(state.now(), hosts);
            state.host_records_read.set(true);
        }
        state.peers.borrow_mut().remove_silent(state.now());
        let alone = state.live_hosts() < 2 || !written;
        let pause = match alone {
            true => HOSTS_PERIOD_ALONE,
            false => hosts_period(state.live_hosts()),
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = restored => {
                written = false;
                let spread = RESTORE_SPREAD_PER_HOST * state.live_hosts() as u32;
                let spread = spread.min(MAX_RESTORE_SPREAD);
                tokio::time::sleep(spread.mul_f64(rand::rng().random())).await;
            }
        }
    }
}

/// Returns the period of reading the host records in a fleet of `hosts`.
fn hosts_period(hosts: usize) -> Duration {
    let growth = (hosts as f64 / HOSTS_OF_PERIOD as f64).max(1.0);
    HOSTS_PERIOD.mul_f64(growth).min(MAX_HOSTS_PERIOD)
}

/// Writes this host's record with its address for peers; replaces an existing one of this name.
async fn write_host_record(state: &State) -> Result<()> {
    use wasabi_core::objects::Written;
    let settings = state.settings.borrow().clone();
    let host = Host {
        name: settings.host.clone(),
        incarnation: state.incarnation.clone(),
        domain: settings.domain,
        peer: settings.peers,
        keeps_to_established: true,
    };
    let name = settings.host.to_string();
    let value = serde_json::to_value(&host).map_err(|e| errors::internal(e.to_string()))?;
    let created =
        with_timeout(state.objects.create(HOSTS_KIND, &name, value.clone()), READ_TIMEOUT).await?;
    if let Written::Conflict(Some(before)) = created {
        let replace = state.objects.replace(HOSTS_KIND, &name, before.version, value);
        with_timeout(replace, READ_TIMEOUT).await?;
    }
    Ok(())
}
