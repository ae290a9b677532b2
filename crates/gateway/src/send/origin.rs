//! Where a stream that a caller takes up has begun: found among what this host remembers, or asked of
//! its peers.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use log::info;
use serde::{Deserialize, Serialize};
use wasabi_belief::origins::{self, Origin, StreamId};
use wasabi_core::{
    errors::{Code, Result},
    units::{Build, PoolId},
};

use crate::{
    receive::{request::AdmittedRequest, response},
    share::{origin_store, peer_fetch, survey},
    state::State,
};

/// The most peers that are asked for one stream, those of the own failure domain first.
const MAX_ASKED_PEERS: usize = 8;
/// How long their answers are awaited; the caller waits meanwhile.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// `Retry-After` for a stream whose origin is not known; another host may know it.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What a host answers when asked for a stream.
#[derive(Default, Serialize, Deserialize)]
pub struct Page {
    /// Where it began, if the host knows.
    origin: Option<Origin>,
    /// The versions of the service that the host has seen lately.
    builds: BTreeSet<Build>,
    /// The versions of the service that had been recorded when the host started; hosts of older builds do not
    /// say.
    #[serde(default)]
    inherited: Option<BTreeSet<Build>>,
    /// Whether the host knows the stream, but not where it began.
    #[serde(default)]
    uncertain: bool,
}

/// What a host finds out of where a stream began.
#[derive(Default)]
struct Finding {
    /// Where it began, if that is known.
    origin: Option<Origin>,
    /// What the origin is known from.
    source: &'static str,
    /// The versions seen lately, here and by the peers that answered, if nobody remembers the stream.
    builds: BTreeSet<Build>,
    /// The versions that had been recorded when the peers that answered started, if all of them say so.
    inherited: Option<BTreeSet<Build>>,
    /// Whether a host knows the stream, but not where it began.
    uncertain: bool,
    /// The peers that were asked.
    asked: usize,
    /// Those that answered in time.
    answered: usize,
}

/// Returns the path at which a host serves the [`Page`] of a stream.
fn path(stream: StreamId, service: &PoolId) -> String {
    format!("{}{stream:016x}/{service}", peer_fetch::ORIGIN_PATH)
}

/// Returns the page that a peer asks for; `rest` is what follows [`peer_fetch::ORIGIN_PATH`].
pub fn page(state: &State, rest: &str) -> Option<Page> {
    let (stream, service) = rest.split_once('/')?;
    let stream = StreamId::from_str_radix(stream, 16).ok()?;
    let service: PoolId = service.parse().ok()?;
    let builds = state.recent_builds(&service);
    let inherited = inherited_builds(state, &service);
    let origins = state.origins.borrow();
    let (origin, uncertain) = (origins.get(stream).cloned(), origins.is_uncertain(stream));
    Some(Page { origin, builds, inherited, uncertain })
}

/// Finds where the stream began that a caller takes up; `None` if it takes up none.
///
/// If nobody remembers it, it has begun at the only version of the service that this host, its peers, and the
/// store as it is now have seen lately.
///
/// Errors: `StreamUnknown` if there are several, if the store does not answer, or if hosts do not agree on
/// where it began.
pub async fn find(state: &Rc<State>, inbound: &AdmittedRequest) -> Result<Option<Origin>> {
    if !inbound.continues() || !inbound.admission.route.kind.is_stream() {
        return Ok(None);
    }
    let service = &inbound.admission.service;
    let stream = inbound.stream_id();
    let known = stream.and_then(|stream| state.origins.borrow().get(stream).cloned());
    if known.is_none() && !origin_store::wait_read(state).await {
        let detail = "what was stored of streams has not been read yet";
        return Err(response::retry_later(Code::StreamUnknown, detail, RETRY_AFTER));
    }
    let known = known.or_else(|| state.origins.borrow().get(stream?).cloned());
    let uncertain = stream.is_some_and(|stream| state.origins.borrow().is_uncertain(stream));
    let finding = match (known, stream) {
        _ if uncertain => Finding { uncertain, ..Finding::default() },
        (Some(origin), _) => Finding { origin: Some(origin), source: "own", ..Finding::default() },
        (None, Some(stream)) => ask_peers(state, stream, service).await,
        (None, None) => Finding::default(),
    };
    let finding = match finding.origin {
        None if finding.uncertain => finding,
        Some(_) => finding,
        None => conclude(state, inbound, finding).await,
    };
    finding.log(state, inbound);
    match finding.origin {
        Some(origin) => Ok(Some(origin)),
        None => {
            let detail = match (finding.uncertain, finding.builds.is_empty()) {
                (true, _) => "the version that began the stream is not certain",
                (false, true) => "the versions in service are not proven",
                (false, false) => "several versions are in service",
            };
            Err(response::retry_later(Code::StreamUnknown, detail, RETRY_AFTER))
        }
    }
}

async fn ask_peers(state: &Rc<State>, stream: StreamId, service: &PoolId) -> Finding {
    let path = path(stream, service);
    let peers = peers_to_ask(state);
    let inherited = inherited_builds(state, service);
    let mut finding = Finding { asked: peers.len(), inherited, ..Finding::default() };
    let (sender, pages) = flume::unbounded();
    for peer in peers {
        let (state, path, sender) = (state.clone(), path.clone(), sender.clone());
        // Not ended with the wait: what a peer says late serves the caller's next try.
        tokio::task::spawn_local(async move {
            let page = peer_fetch::fetch::<Page>(peer, &path).await;
            if let Some(origin) = page.as_ref().ok().and_then(|page| page.origin.clone()) {
                state.merge_origin(stream, origin);
            }
            // Nobody waits any longer.
            let _ = sender.send(page);
        });
    }
    drop(sender);
    let found = tokio::time::timeout(ASK_TIMEOUT, async {
        while let Ok(page) = pages.recv_async().await {
            let Ok(page) = page else {
                metrics::counter!("wasabi_peer_failures_total").increment(1);
                continue;
            };
            finding.answered += 1;
            if let Some(origin) = page.origin {
                return Some(origin);
            }
            finding.uncertain |= page.uncertain;
            finding.builds.extend(page.builds);
            let known = finding.inherited.take().zip(page.inherited);
            finding.inherited = known.map(|(ours, theirs)| &ours | &theirs);
        }
        None
    });
    if let Some(origin) = found.await.unwrap_or(None) {
        return Finding { origin: Some(origin), source: "peers", ..finding };
    }
    finding
}

fn peers_to_ask(state: &State) -> Vec<SocketAddr> {
    let domain = state.settings.borrow().domain.clone();
    let peers = state.peers.borrow();
    let (near, far): (Vec<_>, Vec<_>) =
        peers.live(state.now()).partition(|(_, peer)| peer.domain.as_ref() == Some(&domain));
    near.into_iter().chain(far).map(|(_, peer)| peer.address).take(MAX_ASKED_PEERS).collect()
}

/// Concludes where a stream began that nobody remembers: at the only version of the service that has been seen
/// lately, or at the only one that had been recorded when the present hosts started, if all of them have
/// answered, or at the only established one if the stream keeps to those. The versions must have been read after
/// the caller took the stream up: what this host knows may be older than the stream.
async fn conclude(state: &Rc<State>, inbound: &AdmittedRequest, finding: Finding) -> Finding {
    if !survey::wait_since(state, inbound.arrived).await {
        return Finding { builds: BTreeSet::new(), ..finding };
    }
    let (service, mut finding) = (&inbound.admission.service, finding);
    finding.builds.extend(state.recent_builds(service));
    // That no other version is known proves nothing while the record may lack some.
    let is_whole = !state.may_lack_versions();
    let sole = finding.builds.first().filter(|_| is_whole && finding.builds.len() == 1).cloned();
    let inherited = || finding.build_of_ended_hosts(state).filter(|_| is_whole);
    let keeps = inbound.stream_id().is_some_and(origins::keeps_to_established);
    let established = || state.sole_established_version(service).filter(|_| keeps);
    let found = sole.map(|build| (build, "sole version"));
    let found = found.or_else(|| inherited().map(|build| (build, "ended hosts")));
    let found = found.or_else(|| established().map(|build| (build, "established version")));
    let (build, source) = found.unzip();
    let source = source.unwrap_or_default();
    let origin = build.map(|build| Origin { service: service.clone(), build });
    if !is_whole {
        finding.builds.clear();
    }
    Finding { origin, source, ..finding }
}

/// Returns the versions of a service that had been recorded when this host started, but for those that had gone for
/// longer than streams last.
fn inherited_builds(state: &State, service: &PoolId) -> Option<BTreeSet<Build>> {
    // The clock of a host that starts is not checked against others yet, so the record is judged later.
    let uptime = state.now().saturating_duration_since(state.started_at);
    let started_ms = state.now_ms().saturating_sub(uptime.as_millis() as u64);
    let inherited = state.inherited_versions.borrow();
    Some(inherited.as_ref()?.recent_builds(service, started_ms))
}

impl Finding {
    /// Returns the version at which all hosts began their streams that have ended. A version is recorded before
    /// streams begin there, so one that no present host found recorded had none of them.
    fn build_of_ended_hosts(&self, state: &State) -> Option<Build> {
        let peers = state.peers.borrow().all().count();
        let all_know = state.host_records_read.get() && self.answered == peers;
        let inherited = self.inherited.as_ref().filter(|_| all_know)?;
        inherited.first().filter(|_| inherited.len() == 1).cloned()
    }

    fn log(&self, state: &State, inbound: &AdmittedRequest) {
        let source = if self.origin.is_some() { self.source } else { "unknown" };
        metrics::counter!("wasabi_gateway_taken_up_streams_total", "origin" => source).increment(1);
        let build = self.origin.as_ref().map_or("", |origin| origin.build.as_str());
        let builds = self.builds.iter().map(Build::as_str).collect::<Vec<_>>().join(",");
        info!(target: wasabi_logs::REQUEST_TARGET, request = inbound.head.id.as_str(),
            resumes = inbound.head.resumes.as_deref().unwrap_or_default(), build = build,
            source = source, builds = builds.as_str(), asked = self.asked,
            answered = self.answered, list_age_ms = state.list_age_ms(); "stream taken up");
    }
}

impl AdmittedRequest {
    /// The id of the stream that the caller takes up, if it names the attempt that began it.
    pub fn stream_id(&self) -> Option<StreamId> {
        let begun = self.head.resumes.as_deref()?;
        Some(origins::stream_id(self.admission.workspace.as_ref(), begun))
    }
}
