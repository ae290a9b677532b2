//! Keeps the configuration and the list of backend servers current.
//!
//! A proof is an instant at which this host's copy was known to be current. Hosts share proofs:
//! each reads the store when no proof is younger than a random threshold of its own, so the fleet
//! reads a few times a second whatever its size.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use log::{info, warn};
use rand::Rng as _;
use wasabi_belief::host_record::Host;
use wasabi_core::{
    errors::{self, Result},
    objects::CallFuture,
};

use crate::{peer_fetch, state::State};

/// How often the age of the proofs is checked.
const TICK: Duration = Duration::from_millis(40);
/// The least threshold: a younger proof is not renewed.
const RENEW_AFTER: Duration = Duration::from_millis(500);
/// The range of the random thresholds above [`RENEW_AFTER`], for each live host.
const RENEW_SPREAD_PER_HOST: Duration = Duration::from_millis(60);
/// The widest range of thresholds. With it a proof is renewed at an age of 1.1 s at the latest,
/// well within the time in which a change of the configuration has to arrive.
const MAX_RENEW_SPREAD: Duration = Duration::from_millis(600);
/// At this age of its own proof a host reads the store, whatever its peers claim.
const MAX_OWN_PROOF_AGE: Duration = Duration::from_millis(1_600);
/// The range of the random delay before reading a change that a peer has seen, for each live host.
const CATCH_UP_DELAY_PER_HOST: Duration = Duration::from_millis(12);
/// The widest range of that delay; far less than the time in which a change has to arrive.
const MAX_CATCH_UP_DELAY: Duration = Duration::from_millis(700);
/// Timeout of a call to the store; a slow store answers within some hundred milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// The least pause after a failed read, and the pause after a failed request to a peer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// A peer with younger proofs is asked for its copies when an own proof is older than this.
const ASK_PEERS_AGE: Duration = Duration::from_millis(700);
/// Period of reading the host records. Slow, since new hosts also announce themselves.
const HOSTS_PERIOD: Duration = Duration::from_secs(10);
/// Period of reading the host records while no peer is live or the own record is not written.
const HOSTS_PERIOD_ALONE: Duration = Duration::from_secs(2);
/// The range of the random delay, for each live host, before a host writes its record again after the
/// store was restored.
const RESTORE_SPREAD_PER_HOST: Duration = Duration::from_millis(10);
/// The widest range of that delay.
const MAX_RESTORE_SPREAD: Duration = Duration::from_millis(1_500);
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

/// Reads `dataset` from the store whenever its proof is too old or a peer has seen a change.
async fn keep_fresh(state: Rc<State>, dataset: Dataset) {
    let mut reachable = true;
    let mut threshold = random_threshold(&state);
    // When to read because a peer has seen a change.
    let mut catch_up: Option<Instant> = None;
    loop {
        let now = state.now();
        catch_up = match (dataset.is_behind(&state), catch_up) {
            (false, _) => None,
            (true, None) => Some(now + catch_up_delay(&state)),
            (true, at) => at,
        };
        let stale = dataset.effective_age(&state).is_none_or(|age| age >= threshold);
        let due = stale || catch_up.is_some_and(|at| now >= at);
        if !due {
            if dataset == Dataset::Members {
                state.expire_servers();
            }
            tokio::time::sleep(TICK).await;
            continue;
        }
        threshold = random_threshold(&state);
        let read = dataset.read(&state).await;
        state.check_era();
        if dataset == Dataset::Catalog
            && read.is_ok()
            && let Some(peer) = peer_with_newer_catalog(&state)
            && peer_fetch::fetch_snapshot(&state, peer).await.is_err()
        {
            metrics::counter!("wasabi_peer_failures_total").increment(1);
        }
        if read.is_ok() != reachable {
            reachable = read.is_ok();
            log_store_state(dataset, &read);
        }
        if read.is_ok() && dataset.age(&state).is_none() {
            // The store has no configuration yet.
            tokio::time::sleep(RENEW_AFTER / 2).await;
        }
        if read.is_err() {
            metrics::counter!("wasabi_store_failures_total").increment(1);
            let jitter: f64 = rand::rng().random();
            tokio::time::sleep(RETRY_PAUSE.mul_f64(1.0 + jitter)).await;
        }
    }
}

impl Dataset {
    /// Returns the age of this host's own proof.
    fn age(self, state: &State) -> Option<Duration> {
        match self {
            Self::Catalog => state.config.borrow().staleness(state.now()),
            Self::Members => state.servers.borrow().digest_age(state.now()).map(|(_, age)| age),
        }
    }

    /// Returns the age that decides on the next read: that of the own proof, or that of a younger
    /// one which a peer claims for the same data.
    ///
    /// A claim is not verified, so it counts only while the own proof is younger than
    /// [`MAX_OWN_PROOF_AGE`]. Announcements whose age is bounded by an echo renew the own proof
    /// itself.
    fn effective_age(self, state: &State) -> Option<Duration> {
        let own = self.age(state)?;
        let now = state.now();
        let peers = state.peers.borrow();
        let claims = peers.live(now).filter_map(|(_, peer)| match self {
            Self::Catalog => {
                let version = state.config.borrow().revision();
                peer.catalog.filter(|(theirs, _)| Some(*theirs) == version).map(|(_, at)| at)
            }
            Self::Members => {
                let digest = state.servers.borrow().digest_age(now).map(|(digest, _)| digest);
                peer.members.filter(|(theirs, _)| Some(*theirs) == digest).map(|(_, at)| at)
            }
        });
        let claimed = claims.map(|at| now.saturating_duration_since(at)).min();
        // Claims of a peer that does not hear this host have no bound on their age: they must not
        // postpone the read for ever.
        if own >= MAX_OWN_PROOF_AGE {
            Some(own)
        } else {
            Some(claimed.map_or(own, |age| age.min(own)))
        }
    }

    /// Returns whether a peer has seen a change that this host has not seen, or this host has no
    /// server list yet.
    fn is_behind(self, state: &State) -> bool {
        let now = state.now();
        let peers = state.peers.borrow();
        match self {
            Self::Catalog => {
                let own = state.config.borrow().revision();
                peers.live(now).any(|(_, peer)| peer.catalog.map(|(version, _)| version) > own)
            }
            Self::Members => {
                let Some((own, age)) = state.servers.borrow().digest_age(now) else { return true };
                let proof = now.checked_sub(age).unwrap_or(now);
                let differs = |theirs: (u64, Instant)| theirs.0 != own && theirs.1 > proof;
                peers.live(now).any(|(_, peer)| peer.members.is_some_and(differs))
            }
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
                let members = with_timeout(state.objects.members(), READ_TIMEOUT).await?;
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

/// Awaits a call; fails with `StoreUnavailable` after `limit`.
pub async fn with_timeout<T>(call: CallFuture<'_, T>, limit: Duration) -> Result<T> {
    tokio::time::timeout(limit, call).await.map_err(|_| errors::unavailable("timed out"))?
}

/// Returns the age at which this host renews a proof next.
fn random_threshold(state: &State) -> Duration {
    let spread = (RENEW_SPREAD_PER_HOST * state.live_hosts() as u32).min(MAX_RENEW_SPREAD);
    RENEW_AFTER + spread.mul_f64(rand::rng().random())
}

/// Returns a random delay before reading a change that a peer has seen. In a large fleet one read
/// then covers several changes.
fn catch_up_delay(state: &State) -> Duration {
    let max_delay = (CATCH_UP_DELAY_PER_HOST * state.live_hosts() as u32).min(MAX_CATCH_UP_DELAY);
    max_delay.mul_f64(rand::rng().random())
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

/// Returns the live peer with the youngest proofs, if an own proof is old and the peer's is
/// younger.
fn freshest_peer(state: &State) -> Option<std::net::SocketAddr> {
    let now = state.now();
    let own = [Dataset::Catalog, Dataset::Members].map(|dataset| dataset.age(state));
    let stale = own.iter().any(|age| age.is_none_or(|age| age > ASK_PEERS_AGE));
    if !stale {
        return None;
    }
    let peers = state.peers.borrow();
    let age = |proof: Instant| now.saturating_duration_since(proof);
    let useful = peers.live(now).filter_map(|(_, peer)| {
        let catalog = peer.catalog.map(|(_, proof)| age(proof))?;
        let members = peer.members.map(|(_, proof)| age(proof))?;
        let better = |own: Option<Duration>, theirs: Duration| {
            own.is_none_or(|own| own > ASK_PEERS_AGE && theirs + TICK < own)
        };
        (better(own[0], catalog) || better(own[1], members))
            .then_some((catalog + members, peer.address))
    });
    useful.min_by_key(|(age, _)| *age).map(|(_, address)| address)
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
            let hosts = records
                .into_iter()
                .filter_map(|record| serde_json::from_value::<Host>(record.value).ok());
            state.peers.borrow_mut().merge_records(state.now(), hosts);
            state.host_records_read.set(true);
        }
        state.peers.borrow_mut().remove_silent(state.now());
        let alone = state.live_hosts() < 2 || !written;
        let pause = if alone { HOSTS_PERIOD_ALONE } else { HOSTS_PERIOD };
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

/// Writes this host's record with its address for peers; replaces an existing one of this name.
async fn write_host_record(state: &State) -> Result<()> {
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
        with_timeout(state.objects.create(HOSTS_KIND, &name, value.clone()), READ_TIMEOUT).await?;
    if let Written::Conflict(Some(before)) = created {
        let replace = state.objects.replace(HOSTS_KIND, &name, before.version, value);
        with_timeout(replace, READ_TIMEOUT).await?;
    }
    Ok(())
}
