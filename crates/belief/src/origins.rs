//! Where streams began: the service and the software version whose server sent the first event. A
//! stream may go on only there, within its answer and when its caller takes it up at any host.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    hash::{DefaultHasher, Hash as _, Hasher as _},
    rc::Rc,
    time::{Duration, Instant},
};

use wasabi_core::{
    data,
    member::Member,
    units::{Build, PoolId, WorkspaceId},
};

/// How long a stream is remembered after its first event or its last continuation. Callers take a
/// stream up within the time limit of their request, which is a fraction of this.
const RETENTION: Duration = Duration::from_secs(120);
/// How long a stream of this host stays in what it stores for the case that all hosts end. Longer than
/// any stream lasts.
const STORED_FOR: Duration = Duration::from_secs(30);
/// How long after a version was last listed a stream that began there may be taken up. A stream takes a few
/// seconds, and its caller comes back within the time limit of its request.
pub const VERSION_RETENTION: Duration = Duration::from_secs(45);
/// One stream in so many may begin at any version, see [`keeps_to_established`].
const FREE_STREAMS: u64 = 4;
/// The most streams that are remembered; the oldest ones are forgotten first.
const MAX_STREAMS: usize = 100_000;

/// Identifies a stream: a hash of the workspace and of the caller's id of the attempt that brought its
/// first event.
pub type StreamId = u64;

data! {
    /// The service and the software version at which a stream began.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Origin {
        /// The service.
        pub service: PoolId,
        /// The version of its software.
        pub build: Build,
    }

    /// Streams with the same origin, as one host tells another.
    pub struct Group {
        /// Where they began.
        pub origin: Origin,
        /// The streams, as bytes in network order: the encoding of numbers takes more for hashes.
        pub streams: Vec<[u8; 8]>,
    }
}

/// What is known of where a stream began.
#[derive(Clone, Debug, PartialEq)]
enum Begun {
    At(Rc<Origin>),
    /// At a server whose version is not proven.
    Unproven,
    /// Hosts do not agree.
    Disputed,
}

/// The streams whose origin this host knows, and the versions that it has seen in service.
#[derive(Debug, Default)]
pub struct View {
    /// The streams with what is known of their origins, and when each was recorded.
    streams: HashMap<StreamId, (Begun, Instant)>,
    /// The streams by the time of an entry, oldest first. A stream that was recorded again is here
    /// more than once; only its latest entry counts.
    by_age: VecDeque<(Instant, StreamId)>,
    /// All origins in `streams`, each of them once.
    origins: BTreeSet<Rc<Origin>>,
    /// Streams that have not been announced.
    unannounced: Vec<StreamId>,
    /// The streams that began or went on at this host, oldest first.
    own: VecDeque<(Instant, StreamId)>,
    /// When a server of each service and version was last listed.
    listed: BTreeMap<Origin, Instant>,
}

/// Returns the id of the stream that began with the caller's attempt `request`.
pub fn stream_id(workspace: Option<&WorkspaceId>, request: &str) -> StreamId {
    let mut hasher = DefaultHasher::new();
    (workspace, request).hash(&mut hasher);
    hasher.finish()
}

/// Returns whether a stream may begin only at versions that no restore of the store takes out of the record, while
/// servers of one take work. Follows from the id alone, so it tells hosts that start where such a stream began. The
/// others use new versions from the start.
pub fn keeps_to_established(stream: StreamId) -> bool {
    !stream.is_multiple_of(FREE_STREAMS)
}

impl View {
    /// Where a stream began, if that is known.
    pub fn get(&self, stream: StreamId) -> Option<&Origin> {
        match &self.streams.get(&stream)?.0 {
            Begun::At(origin) => Some(origin),
            Begun::Unproven | Begun::Disputed => None,
        }
    }

    /// Whether a stream is known and its origin is not: it is not proven, or hosts do not agree.
    pub fn is_uncertain(&self, stream: StreamId) -> bool {
        self.streams.get(&stream).is_some_and(|(begun, _)| !matches!(begun, Begun::At(_)))
    }

    /// Records that a stream of this host began at a server whose version is not proven.
    pub fn record_unproven(&mut self, now: Instant, stream: StreamId) {
        self.expire(now);
        self.streams.entry(stream).or_insert((Begun::Unproven, now));
        self.by_age.push_back((now, stream));
    }

    /// The number of streams whose origin is known.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream's origin is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Records where a stream of this host began or has gone on; it will be announced. Returns what
    /// [`View::merge`] does.
    pub fn record(&mut self, now: Instant, stream: StreamId, origin: Origin) -> Option<Origin> {
        self.unannounced.push(stream);
        self.own.push_back((now, stream));
        self.expire_own(now);
        self.merge(now, stream, origin)
    }

    /// Records what a peer has told of a stream; returns the origin known before if that is another one.
    /// Which one is right is not known then.
    pub fn merge(&mut self, now: Instant, stream: StreamId, origin: Origin) -> Option<Origin> {
        self.expire(now);
        let origin = match self.origins.get(&origin) {
            Some(known) => known.clone(),
            None => {
                let origin = Rc::new(origin);
                self.origins.insert(origin.clone());
                origin
            }
        };
        let before = self.streams.get(&stream).map(|(begun, _)| begun.clone());
        let (begun, other) = match before {
            Some(Begun::At(before)) if before != origin => {
                (Begun::Disputed, Some((*before).clone()))
            }
            Some(Begun::Disputed) => (Begun::Disputed, None),
            _ => (Begun::At(origin), None),
        };
        self.streams.insert(stream, (begun, now));
        self.by_age.push_back((now, stream));
        other
    }

    /// Takes at most `count` streams that have not been announced, by origin.
    pub fn take_unannounced(&mut self, count: usize) -> Vec<Group> {
        let taken: Vec<StreamId> =
            self.unannounced.drain(..count.min(self.unannounced.len())).collect();
        self.group(taken)
    }

    /// Returns the streams that began or went on at this host lately, by origin.
    pub fn own_streams(&mut self, now: Instant) -> Vec<Group> {
        self.expire_own(now);
        let streams: BTreeSet<StreamId> = self.own.iter().map(|(_, stream)| *stream).collect();
        self.group(streams)
    }

    fn expire_own(&mut self, now: Instant) {
        while let Some((at, _)) = self.own.front()
            && (now.saturating_duration_since(*at) >= STORED_FOR || self.own.len() > MAX_STREAMS)
        {
            self.own.pop_front();
        }
    }

    fn group(&self, streams: impl IntoIterator<Item = StreamId>) -> Vec<Group> {
        let mut groups: BTreeMap<Rc<Origin>, Vec<[u8; 8]>> = BTreeMap::new();
        for stream in streams {
            if let Some((Begun::At(origin), _)) = self.streams.get(&stream) {
                groups.entry(origin.clone()).or_default().push(stream.to_be_bytes());
            }
        }
        let group =
            |(origin, streams): (Rc<Origin>, _)| Group { origin: (*origin).clone(), streams };
        groups.into_iter().map(group).collect()
    }

    /// Records the servers of a list.
    pub fn record_listed(&mut self, now: Instant, members: &[Member]) {
        for member in members {
            let (service, build) = (member.service.clone(), member.build.clone());
            self.listed.insert(Origin { service, build }, now);
        }
        self.listed.retain(|_, at| now.saturating_duration_since(*at) < VERSION_RETENTION);
    }

    /// Records that servers of a version may have been listed `age` ago.
    pub fn record_listed_before(&mut self, now: Instant, origin: Origin, age: Duration) {
        let at = now.checked_sub(age).unwrap_or(now);
        let known = self.listed.entry(origin).or_insert(at);
        *known = at.max(*known);
    }

    /// Whether servers of several versions of one service were listed recently.
    pub fn has_several_versions(&self, now: Instant) -> bool {
        let mut services = BTreeSet::new();
        let mut recent = self
            .listed
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) < VERSION_RETENTION);
        recent.any(|(origin, _)| !services.insert(&origin.service))
    }

    /// The versions of a service that were listed recently enough for a stream to have begun there.
    pub fn recent_builds(&self, now: Instant, service: &PoolId) -> BTreeSet<Build> {
        let recent = self.listed.iter().filter(|(origin, at)| {
            origin.service == *service && now.saturating_duration_since(**at) < VERSION_RETENTION
        });
        recent.map(|(origin, _)| origin.build.clone()).collect()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, stream)) = self.by_age.front().copied() {
            let expired = now.saturating_duration_since(at) >= RETENTION;
            if !expired && self.streams.len() < MAX_STREAMS {
                break;
            }
            self.by_age.pop_front();
            if self.streams.get(&stream).is_some_and(|(_, latest)| *latest == at) {
                self.streams.remove(&stream);
            }
        }
        // An origin that no stream refers to is only held by the set itself.
        self.origins.retain(|origin| Rc::strong_count(origin) > 1);
    }
}
