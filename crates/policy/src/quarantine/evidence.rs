//! What is known of runs that servers broke off and of runs that ended well.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    fmt,
    hash::{DefaultHasher, Hash, Hasher as _},
    time::{Duration, Instant},
};

use wasabi_core::{
    data,
    units::{PoolId, ServerId},
};

/// Proofs of sound features are kept in two generations of this size.
const MAX_PROOFS: usize = 8_192;
/// The least time between two runs that are kept as controls, and how many of a service are kept.
const CONTROL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_CONTROLS: usize = 256;

/// Features that requests have together. Displayed joined by `+`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Combination(BTreeSet<Feature>);

data! {
    /// Something that requests for a service may have in common, as a hash.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct Feature(u64);

    /// A run that its server broke off, as one host tells another.
    pub struct RunReport {
        /// Identifies the run.
        pub id: u64,
        /// The service that ran it.
        pub service: PoolId,
        /// The server.
        pub server: ServerId,
        /// How many milliseconds ago the request was sent to the server.
        pub sent_ms: u64,
        /// How many milliseconds ago the run broke off.
        pub ended_ms: u64,
        /// The features of the request, in its order.
        pub features: Vec<Feature>,
        /// Whether a feature of it was quarantined while the service ran other requests well.
        pub controlled: bool,
    }

    /// That runs with a feature end well, as one host tells another.
    pub struct ProofReport {
        /// The feature.
        pub feature: Feature,
        /// How many milliseconds ago the last known one did.
        pub age_ms: u64,
    }

    /// That a service runs requests well, as one host tells another.
    pub struct ControlReport {
        /// The service.
        pub service: PoolId,
        /// How many milliseconds ago a run ended well.
        pub age_ms: u64,
    }

    /// A part of what a host knows.
    #[derive(Default)]
    pub struct Evidence {
        /// Runs that broke off.
        #[serde(default)]
        pub runs: Vec<RunReport>,
        /// Features of such runs that others have cleared.
        #[serde(default)]
        pub proofs: Vec<ProofReport>,
        /// Services of such runs that run others well.
        #[serde(default)]
        pub controls: Vec<ControlReport>,
    }
}

/// A run that its server broke off before it was known to be sound.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokenRun {
    /// Identifies the run among those of all hosts.
    pub id: u64,
    /// The service that ran it.
    pub service: PoolId,
    /// The server.
    pub server: ServerId,
    /// When the request was sent to the server.
    pub sent: Instant,
    /// When the run broke off.
    pub ended: Instant,
    /// The features of the request, in its order.
    pub features: Vec<Feature>,
    /// Whether a feature of it was quarantined while the service ran other requests well; false for a new
    /// one.
    pub controlled: bool,
}

/// The latest runs of a service that ended well, a sample; with their features, which are not known of
/// those of other hosts.
#[derive(Debug, Default)]
pub(super) struct Controls(pub(super) VecDeque<(Instant, Option<Vec<Feature>>)>);

/// When a run with each feature last ended well, the most recent ones.
#[derive(Debug, Default)]
pub(super) struct Proofs {
    recent: HashMap<Feature, Instant>,
    older: HashMap<Feature, Instant>,
}

impl Feature {
    /// A part of the prompt with this id, for a service.
    pub fn part(service: &PoolId, id: u64) -> Self {
        Self::hash((service, id))
    }

    /// A request with this content: what stays the same when it comes again, such as its caller, path
    /// and body.
    pub fn request(service: &PoolId, content: impl Hash) -> Self {
        Self::hash((service, content))
    }

    fn hash(content: impl Hash) -> Self {
        let mut hasher = DefaultHasher::new();
        content.hash(&mut hasher);
        Self(hasher.finish())
    }
}

impl Combination {
    /// Whether there are no features.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of features.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether a feature is one of these.
    pub fn contains(&self, feature: Feature) -> bool {
        self.0.contains(&feature)
    }

    /// Whether all of them are among the features of a request.
    pub fn is_in(&self, features: &[Feature]) -> bool {
        self.0.iter().all(|feature| features.contains(feature))
    }

    /// The features.
    pub fn features(&self) -> impl Iterator<Item = Feature> {
        self.0.iter().copied()
    }
}

impl FromIterator<Feature> for Combination {
    fn from_iter<T: IntoIterator<Item = Feature>>(features: T) -> Self {
        Self(features.into_iter().collect())
    }
}

impl fmt::Display for Combination {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, feature) in self.0.iter().enumerate() {
            f.write_str(if index > 0 { "+" } else { "" })?;
            feature.fmt(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Controls {
    pub(super) fn record(&mut self, ended: Instant, features: Option<&[Feature]>) {
        let is_near =
            |at: Instant| ended.max(at).saturating_duration_since(ended.min(at)) < CONTROL_INTERVAL;
        let same_kind = |known: &Option<Vec<Feature>>| known.is_some() == features.is_some();
        if self.0.iter().rev().take(2).any(|(at, known)| is_near(*at) && same_kind(known)) {
            return;
        }
        if self.0.len() >= MAX_CONTROLS {
            self.0.pop_front();
        }
        self.0.push_back((ended, features.map(<[Feature]>::to_vec)));
    }

    /// Whether a run without the feature ended well in that time. No run with one that is `unproven`
    /// has.
    pub(super) fn has_without(
        &self,
        feature: Feature,
        unproven: bool,
        from: Instant,
        to: Instant,
    ) -> bool {
        let mut between = self.0.iter().filter(|(at, _)| (from..=to).contains(at));
        between.any(|(_, features)| {
            unproven || features.as_ref().is_some_and(|features| !features.contains(&feature))
        })
    }
}

impl Proofs {
    pub(super) fn get(&self, feature: Feature) -> Option<Instant> {
        self.recent.get(&feature).or_else(|| self.older.get(&feature)).copied()
    }

    /// Whether a run with the feature has ended well at `ended` or later.
    pub(super) fn clears(&self, feature: Feature, ended: Instant) -> bool {
        self.get(feature).is_some_and(|proof| proof >= ended)
    }

    pub(super) fn record(&mut self, feature: Feature, at: Instant) {
        if self.recent.len() >= MAX_PROOFS {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(feature, at);
    }
}
