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
use hyper::{
    Method,
    header::{HeaderMap, HeaderName},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use wasabi_belief::announcement::CountReport;
use wasabi_core::{
    catalog::Catalog,
    errors::{self, Result},
    format::{self, Format},
    member::{Listing, Member, Restrictions},
    units::{Incarnation, Revision},
};
use wasabi_platform::http::Client;
use wasabi_policy::quarantine::Evidence;

use crate::state::State;

/// The path below which the configuration and the backend servers are served. What follows are the
/// revision of the configuration and the digest of the servers that the asking host has, or `-`;
/// content that it has is left out.
pub const SNAPSHOT_PATH: &str = "/knowledge/";
/// The path that serves the usage counts of this incarnation and of those that have ended.
pub const COUNTS_PATH: &str = "/counts";
/// The path below which the origin of a stream is served, see [`crate::send::origin`].
pub const ORIGIN_PATH: &str = "/origins/";
/// The header that states the format of what is fetched.
pub const FORMAT: HeaderName = HeaderName::from_static("wasabi-format");
/// Stands for a version in a path below [`SNAPSHOT_PATH`] of a host that has no copy.
const NOTHING_KNOWN: &str = "-";
/// Timeout of a request to a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);

/// A data set as a host has it.
#[derive(Serialize, Deserialize)]
struct Dataset<T> {
    /// The revision of the configuration or the digest of the servers.
    version: u64,
    /// The age of its proof.
    age_ms: u64,
    /// `None` if the asking host has this version.
    content: Option<T>,
}

/// Configuration and backend servers, and evidence.
#[derive(Serialize, Deserialize)]
struct StateSnapshot {
    catalog: Option<Dataset<Catalog>>,
    members: Option<Dataset<Vec<Member>>>,
    /// Belongs to `members`. Builds that do not know it leave it unread.
    #[serde(default)]
    restrictions: Restrictions,
    /// Evidence on requests that crash servers, for hosts without a configuration: they have just
    /// started.
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

/// Returns this host's configuration and servers as JSON; `known` is what follows [`SNAPSHOT_PATH`].
pub fn encode_snapshot(state: &State, known: &str) -> Option<Bytes> {
    let (known_catalog, known_members) = known.split_once('/')?;
    let now = state.now();
    let members = state.servers.borrow();
    let age_ms = |age: Duration| age.as_millis() as u64;
    let snapshot = StateSnapshot {
        catalog: state.config().map(|(catalog, age)| {
            let is_known = known_catalog == catalog.version.to_string();
            Dataset {
                version: catalog.version.0,
                age_ms: age_ms(age),
                content: (!is_known).then(|| (*catalog).clone()),
            }
        }),
        members: members.digest_age(now).map(|(digest, age)| {
            let is_known = known_members == digest.to_string();
            Dataset {
                version: digest,
                age_ms: age_ms(age),
                content: (!is_known).then(|| members.listed()),
            }
        }),
        restrictions: members.restrictions().clone(),
        evidence: match known_catalog {
            NOTHING_KNOWN => state.quarantine.borrow().all_evidence(now, usize::MAX),
            _ => Evidence::default(),
        },
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
    page_format(&response.headers).check(format::PAGE, path)?;
    serde_json::from_slice(&response.body)
        .map_err(|e| errors::unavailable(format!("peer's answer: {e}")))
}

fn page_format(headers: &HeaderMap) -> Format {
    let stated = headers.get(FORMAT).map(|value| value.to_str().ok()?.parse().ok());
    stated.map_or(Format::default(), |number| Format(number.unwrap_or(u8::MAX)))
}

/// Fetches and applies a peer's configuration and servers. Their ages count from when the request
/// was sent, so that no proof looks younger than it is.
pub async fn fetch_snapshot(state: &State, peer: SocketAddr) -> Result<()> {
    let requested_at = state.now();
    let catalog = state.config.borrow().revision().map(|revision| revision.0);
    let members = state.servers.borrow().digest_age(requested_at).map(|(digest, _)| digest);
    let known = |version: Option<u64>| version.map_or(NOTHING_KNOWN.to_string(), |v| v.to_string());
    let path = format!("{SNAPSHOT_PATH}{}/{}", known(catalog), known(members));
    let snapshot: StateSnapshot = fetch(peer, &path).await?;
    let ago = |ms: u64| -> Instant {
        requested_at.checked_sub(Duration::from_millis(ms)).unwrap_or(requested_at)
    };
    if let Some(Dataset { version, age_ms, content }) = snapshot.catalog {
        match content {
            Some(catalog) => state.offer_config(catalog, ago(age_ms), "peer"),
            None => state.config.borrow_mut().confirm(Revision(version), ago(age_ms)),
        }
    }
    if let Some(Dataset { version, age_ms, content }) = snapshot.members {
        match content {
            Some(members) => {
                let listing = Listing { members, restrictions: snapshot.restrictions };
                state.offer_servers(listing, ago(age_ms), "peer");
            }
            None => {
                let mut servers = state.servers.borrow_mut();
                servers.record_proof(state.now(), ago(age_ms));
                servers.confirm(version, ago(age_ms));
            }
        }
    }
    state.merge_evidence(snapshot.evidence, Some(requested_at));
    Ok(())
}
