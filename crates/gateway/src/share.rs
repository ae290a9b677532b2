//! What hosts take from each other on request: configuration and servers, each with the age of its
//! proof, if the store cannot be reached; counts of usage, if announcements of them got lost.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, header::HeaderMap};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use wasabi_belief::beat::Tally;
use wasabi_core::{
    catalog::Catalog,
    errors::{self, Result},
    member::Member,
    units::Incarnation,
};
use wasabi_platform::http::Client;

use crate::site::Site;

/// Where peers serve what they believe.
pub const PATH: &str = "/knowledge";
/// Where peers serve what they counted.
pub const COUNTS_PATH: &str = "/counts";
/// How long a peer may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(700);

/// What a host believes, with ages in milliseconds.
#[derive(Serialize, Deserialize)]
struct Knowledge {
    catalog: Option<(Catalog, u64)>,
    members: Option<(Vec<Member>, u64)>,
}

/// Returns what this host believes.
pub fn render(state: &Site) -> Option<Bytes> {
    let now = state.now();
    let catalog = state.config();
    let members = state.members.borrow();
    let knowledge = Knowledge {
        catalog: catalog.map(|(catalog, age)| ((*catalog).clone(), age.as_millis() as u64)),
        members: members.proof(now).map(|(_, age)| (members.listed(), age.as_millis() as u64)),
    };
    serde_json::to_vec(&knowledge).ok().map(Bytes::from)
}

/// Returns what this life of the host counted lately.
pub fn render_counts(state: &Site) -> Option<Bytes> {
    serde_json::to_vec(&(&state.incarnation, state.usage_tally())).ok().map(Bytes::from)
}

/// Takes what a peer counted.
pub async fn pull_counts(state: &Site, peer: SocketAddr) -> Result<()> {
    let (from, tally): (Incarnation, Tally) = ask(peer, COUNTS_PATH).await?;
    state.merge_usage(&from, &tally);
    Ok(())
}

async fn ask<T: DeserializeOwned>(peer: SocketAddr, path: &str) -> Result<T> {
    let client = Client::new(peer);
    let call = client.call(Method::GET, path, HeaderMap::new(), None);
    let answer = tokio::time::timeout(PULL_TIMEOUT, call)
        .await
        .map_err(|_| errors::unavailable("peer timed out"))??;
    serde_json::from_slice(&answer.body)
        .map_err(|e| errors::unavailable(format!("peer's answer: {e}")))
}

/// Takes what a peer believes. Ages count from before the peer was asked.
pub async fn pull(state: &Site, peer: SocketAddr) -> Result<()> {
    let asked = state.now();
    let knowledge: Knowledge = ask(peer, PATH).await?;
    let ago =
        |ms: u64| -> Instant { asked.checked_sub(Duration::from_millis(ms)).unwrap_or(asked) };
    if let Some((catalog, age)) = knowledge.catalog {
        state.offer_catalog(catalog, ago(age), "peer");
    }
    if let Some((members, age)) = knowledge.members {
        state.offer_members(members, ago(age), "peer");
    }
    Ok(())
}
