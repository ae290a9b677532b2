//! State that hosts fetch from each other over HTTP.
//!
//! A host whose proofs are old fetches configuration and backend servers, with the ages of their
//! proofs, from a peer with younger ones. The holder of the duties fetches usage counts whose
//! announcements were lost.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, header::HeaderMap};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use wasabi_belief::announcement::CountReport;
use wasabi_core::{
    catalog::Catalog,
    errors::{self, Result},
    member::Member,
    units::Incarnation,
};
use wasabi_platform::http::Client;
use wasabi_policy::quarantine::Evidence;

use crate::state::State;

/// The path that serves the configuration and the backend servers.
pub const SNAPSHOT_PATH: &str = "/knowledge";
/// The path that serves the usage counts of this incarnation and of those that have ended.
pub const COUNTS_PATH: &str = "/counts";
/// The path below which the origin of a stream is served, see [`crate::origin`].
pub const ORIGIN_PATH: &str = "/origins/";
/// Timeout of a request to a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);

/// Configuration and backend servers, each with the age of its proof in milliseconds, and evidence.
#[derive(Serialize, Deserialize)]
struct StateSnapshot {
    catalog: Option<(Catalog, u64)>,
    members: Option<(Vec<Member>, u64)>,
    /// Evidence on requests that crash servers; hosts of older versions give none.
    #[serde(default)]
    evidence: Evidence,
}

/// The body of a response to [`COUNTS_PATH`].
#[derive(Deserialize)]
#[serde(untagged)]
enum CountsPage {
    /// The counts of all incarnations that the peer does not leave to others.
    All(Vec<(Incarnation, CountReport)>),
    /// Of hosts of older versions: their own counts.
    Own(Incarnation, CountReport),
}

/// Returns this host's configuration and servers as JSON, for [`SNAPSHOT_PATH`].
pub fn encode_snapshot(state: &State) -> Option<Bytes> {
    let now = state.now();
    let catalog = state.config();
    let members = state.servers.borrow();
    let snapshot = StateSnapshot {
        catalog: catalog.map(|(catalog, age)| ((*catalog).clone(), age.as_millis() as u64)),
        members: members.digest_age(now).map(|(_, age)| (members.listed(), age.as_millis() as u64)),
        evidence: state.quarantine.borrow().all_evidence(now, usize::MAX),
    };
    serde_json::to_vec(&snapshot).ok().map(Bytes::from)
}

/// Returns the usage counts of this incarnation, and of those that are not heard from any more, as
/// JSON, for [`COUNTS_PATH`].
pub fn encode_counts(state: &State) -> Option<Bytes> {
    let mut reports = vec![(state.incarnation.clone(), state.count_report())];
    reports.extend(state.count_reports_of_silent());
    serde_json::to_vec(&reports).ok().map(Bytes::from)
}

/// Fetches and merges the usage counts that a peer knows.
pub async fn fetch_counts(state: &State, peer: SocketAddr) -> Result<()> {
    let reports = match fetch(peer, COUNTS_PATH).await? {
        CountsPage::All(reports) => reports,
        CountsPage::Own(from, report) => vec![(from, report)],
    };
    for (from, report) in reports.iter().filter(|(from, _)| *from != state.incarnation) {
        state.merge_usage(from, report);
    }
    Ok(())
}

/// Fetches a JSON document from a peer.
pub async fn fetch<T: DeserializeOwned>(peer: SocketAddr, path: &str) -> Result<T> {
    let client = Client::new(peer);
    let call = client.call(Method::GET, path, HeaderMap::new(), None);
    let response = tokio::time::timeout(FETCH_TIMEOUT, call)
        .await
        .map_err(|_| errors::unavailable("peer timed out"))??;
    serde_json::from_slice(&response.body)
        .map_err(|e| errors::unavailable(format!("peer's answer: {e}")))
}

/// Fetches and applies a peer's configuration and servers. Their ages count from when the request
/// was sent, so that no proof looks younger than it is.
pub async fn fetch_snapshot(state: &State, peer: SocketAddr) -> Result<()> {
    let requested_at = state.now();
    let snapshot: StateSnapshot = fetch(peer, SNAPSHOT_PATH).await?;
    let ago = |ms: u64| -> Instant {
        requested_at.checked_sub(Duration::from_millis(ms)).unwrap_or(requested_at)
    };
    if let Some((catalog, age)) = snapshot.catalog {
        state.offer_config(catalog, ago(age), "peer");
    }
    if let Some((members, age)) = snapshot.members {
        state.offer_servers(members, ago(age), "peer");
    }
    state.merge_evidence(snapshot.evidence, Some(requested_at));
    Ok(())
}
