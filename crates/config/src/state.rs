//! The configuration state, and how release notes are checked against it and applied to it.

use std::{collections::BTreeMap, sync::Arc};

use wasabi_core::{
    data,
    errors::{Code, Error, Result},
    note::{Class, Key, MAX_TIER, Note, Pool, Route, Target, Workspace},
    units::{ClassId, KeyId, NoteId, PoolId, Revision, RouteId, WorkspaceId},
};

use crate::keys;

/// The workspace of requests on open routes; release notes cannot define it.
pub const RESERVED_WORKSPACE: &str = "open";

/// Accepted notes kept to recognise repeats. Once more than twice this many are held, only this
/// many of the newest are kept.
const RETAINED_NOTES: u64 = 20_000;

data! {
    /// A configuration object and the revision that last wrote it.
    pub struct Versioned<T> {
        /// The revision that last wrote the object.
        pub revision: Revision,
        /// The object at that revision.
        pub object: Arc<T>,
    }

    /// The record of an accepted note.
    pub struct Accepted {
        /// The revision of the note's log entry.
        pub revision: Revision,
        /// The note's digest, from [`log::digest`](crate::log::digest).
        pub digest: String,
    }

    /// The configuration at one revision.
    #[derive(Default)]
    pub struct State {
        /// The revision of the last entry applied.
        pub revision: Revision,
        /// Request classes.
        pub classes: BTreeMap<ClassId, Versioned<Class>>,
        /// Workspaces.
        pub workspaces: BTreeMap<WorkspaceId, Versioned<Workspace>>,
        /// Workspace keys.
        pub keys: BTreeMap<KeyId, Versioned<Key>>,
        /// Pools of backend servers.
        pub pools: BTreeMap<PoolId, Versioned<Pool>>,
        /// Routes.
        pub routes: BTreeMap<RouteId, Versioned<Route>>,
        /// The most recently accepted notes by id.
        pub notes: BTreeMap<NoteId, Accepted>,
    }

    /// A problem in a release note or a settings file.
    pub struct Problem {
        /// The location, as a path of field names and array indices.
        pub path: String,
        /// The error code of the problem.
        pub code: Code,
        /// The description for the operator.
        pub text: String,
    }
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "E{} {}: {}", self.code.number(), self.path, self.text)
    }
}

impl Problem {
    /// Creates a `NoteInvalid` problem at `path`.
    pub fn invalid(path: impl Into<String>, text: impl Into<String>) -> Self {
        Self { path: path.into(), code: Code::NoteInvalid, text: text.into() }
    }

    fn conflict(path: String, text: impl Into<String>) -> Self {
        Self { path, code: Code::NoteConflict, text: text.into() }
    }
}

impl State {
    /// Returns the problems that prevent `note` from being accepted as the next revision.
    ///
    /// The state that would result is checked only if there are no problems with the note's base,
    /// no duplicates and no conflicts with the current state.
    pub fn check(&self, note: &Note) -> Vec<Problem> {
        let mut problems = Vec::new();
        if note.base > self.revision {
            let text = format!("the last revision is {}", self.revision);
            problems.push(Problem::invalid("base", text));
        }
        self.check_against_current(note, &mut problems);
        if !problems.is_empty() {
            return problems;
        }
        let mut after = self.clone();
        after.apply_changes(note);
        after.check_consistency(&mut problems);
        problems
    }

    /// Applies an accepted note as `revision`; fails with `Internal` if that is not the next
    /// revision.
    pub fn apply(&mut self, revision: Revision, note: &Note, digest: String) -> Result<()> {
        if revision != self.revision.next() {
            let detail = format!("entry {revision} does not follow {}", self.revision);
            return Err(Error::new(Code::Internal, detail));
        }
        self.apply_changes(note);
        self.revision = revision;
        self.notes.insert(note.id.clone(), Accepted { revision, digest });
        let oldest = revision.0.saturating_sub(RETAINED_NOTES);
        if self.notes.len() as u64 > 2 * RETAINED_NOTES {
            self.notes.retain(|_, accepted| accepted.revision.0 > oldest);
        }
        Ok(())
    }

    /// Returns the workspace key that `key`, a whole key, belongs to; fails with `KeyUnknown`.
    pub fn authenticate(&self, key: &str) -> Result<Arc<Key>> {
        let unknown = || Error::new(Code::KeyUnknown, "");
        let value = self.keys.get(&keys::name(key)?).ok_or_else(unknown)?;
        if !keys::matches(key, &value.object.digest) {
            return Err(unknown());
        }
        Ok(value.object.clone())
    }

    /// Returns whether `key` is still in force unchanged.
    pub fn has_key(&self, key: &Key) -> bool {
        self.keys.get(&key.name).is_some_and(|value| *value.object == *key)
    }

    /// Returns the route with the longest path that is a prefix of `path` by whole segments.
    pub fn route(&self, path: &str) -> Option<Arc<Route>> {
        let routes = self.routes.values().map(|value| &value.object);
        let matching = routes.filter(|route| matches_prefix(&route.path, path));
        matching.max_by_key(|route| route.path.len()).cloned()
    }

    /// Returns the pools of `route` that exist.
    pub fn pools_of(&self, route: &Route) -> Vec<Arc<Pool>> {
        route.pools.iter().filter_map(|name| Some(self.pools.get(name)?.object.clone())).collect()
    }

    fn check_against_current(&self, note: &Note, problems: &mut Vec<Problem>) {
        let base = note.base;
        macro_rules! kinds {
            ($($kind:ident),*) => {$(
                let mut seen = std::collections::BTreeSet::new();
                for (i, item) in note.added.$kind.iter().enumerate() {
                    let path = format!("added.{}[{i}]", stringify!($kind));
                    if !seen.insert(&item.name) {
                        problems.push(Problem::invalid(path, format!("{} is listed twice", item.name)));
                    } else if self.$kind.contains_key(&item.name) {
                        problems.push(Problem::conflict(path, format!("{} already exists", item.name)));
                    }
                }
                let changed = note.changed.$kind.iter().map(|item| &item.name);
                let changed = changed.enumerate().map(|(i, name)| ("changed", i, name));
                let withdrawn = note.withdrawn.$kind.iter();
                let withdrawn = withdrawn.enumerate().map(|(i, name)| ("withdrawn", i, name));
                for (section, i, name) in changed.chain(withdrawn) {
                    let path = format!("{section}.{}[{i}]", stringify!($kind));
                    if !seen.insert(name) {
                        problems.push(Problem::invalid(path, format!("{name} is listed twice")));
                        continue;
                    }
                    match self.$kind.get(name) {
                        None => problems.push(Problem::conflict(path, format!("{name} does not exist"))),
                        Some(value) if value.revision > base => {
                            let text = format!("{name} was written by revision {}", value.revision);
                            problems.push(Problem::conflict(path, text));
                        }
                        Some(_) => {}
                    }
                }
            )*};
        }
        kinds!(classes, workspaces, keys, pools, routes);
    }

    fn apply_changes(&mut self, note: &Note) {
        let revision = self.revision.next();
        macro_rules! kinds {
            ($($kind:ident),*) => {$(
                for item in note.added.$kind.iter().chain(&note.changed.$kind) {
                    let value = Versioned { revision, object: Arc::new(item.clone()) };
                    self.$kind.insert(item.name.clone(), value);
                }
                for name in &note.withdrawn.$kind {
                    self.$kind.remove(name);
                }
            )*};
        }
        kinds!(classes, workspaces, keys, pools, routes);
    }

    fn check_consistency(&self, problems: &mut Vec<Problem>) {
        self.classes.values().for_each(|value| check_class(&value.object, problems));
        self.pools.values().for_each(|value| check_pool(&value.object, problems));
        for value in self.keys.values() {
            self.check_key(&value.object, problems);
        }
        for value in self.routes.values() {
            self.check_route(&value.object, problems);
        }
        if self.workspaces.keys().any(|name| name.as_str() == RESERVED_WORKSPACE) {
            let path = format!("workspaces.{RESERVED_WORKSPACE}.name");
            problems.push(Problem::invalid(path, "is reserved for routes open to all"));
        }
        for value in self.workspaces.values().filter(|value| value.object.weight == 0) {
            let path = format!("workspaces.{}.weight", value.object.name);
            problems.push(Problem::invalid(path, "must be at least 1"));
        }
    }

    fn check_key(&self, key: &Key, problems: &mut Vec<Problem>) {
        if !self.workspaces.contains_key(&key.workspace) {
            let text = format!("{} does not exist", key.workspace);
            problems.push(Problem::invalid(format!("keys.{}.workspace", key.name), text));
        }
        if !keys::is_digest(&key.digest) {
            let path = format!("keys.{}.digest", key.name);
            problems.push(Problem::invalid(path, "must be 64 lower-case hexadecimal digits"));
        }
    }

    fn check_route(&self, route: &Route, problems: &mut Vec<Problem>) {
        let path = |field: &str| format!("routes.{}.{field}", route.name);
        if !is_normal(&route.path) {
            let text = "must begin with a slash and have no empty, `.` or `..` segment";
            problems.push(Problem::invalid(path("path"), text));
        }
        if !self.classes.contains_key(&route.class) {
            let text = format!("{} does not exist", route.class);
            problems.push(Problem::invalid(path("class"), text));
        }
        if route.pools.is_empty() {
            problems.push(Problem::invalid(path("pools"), "must name at least one pool"));
        }
        for name in route.pools.iter().filter(|name| !self.pools.contains_key(name)) {
            problems.push(Problem::invalid(path("pools"), format!("{name} does not exist")));
        }
        let has_same_path =
            |v: &&Versioned<Route>| v.object.path == route.path && v.object.name < route.name;
        if let Some(other) = self.routes.values().find(has_same_path) {
            let text = format!("{} has the same path", other.object.name);
            problems.push(Problem::invalid(path("path"), text));
        }
    }
}

/// Returns whether `path` is absolute and has no empty, `.` or `..` segment. One slash at the end
/// is allowed, and so is `//`.
pub fn is_normal(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else { return false };
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    rest.is_empty() || rest.split('/').all(|segment| !matches!(segment, "" | "." | ".."))
}

fn matches_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn check_class(class: &Class, problems: &mut Vec<Problem>) {
    let path = |field: &str| format!("classes.{}.{field}", class.name);
    if class.tier > MAX_TIER {
        problems.push(Problem::invalid(path("tier"), format!("must be at most {MAX_TIER}")));
    }
    if class.max_gap_ms == 0 {
        problems.push(Problem::invalid(path("max_gap_ms"), "must be at least 1"));
    }
    let has_zero = match class.target {
        Target::Stream { first_token_ms, inter_token_ms } => first_token_ms * inter_token_ms == 0,
        Target::Whole { answer_ms } => answer_ms == 0,
    };
    if has_zero {
        problems.push(Problem::invalid(path("target"), "must be at least 1 ms"));
    }
}

fn check_pool(pool: &Pool, problems: &mut Vec<Problem>) {
    if let Some(elastic) = &pool.elastic {
        let path = |field: &str| format!("pools.{}.elastic.{field}", pool.name);
        if elastic.min > elastic.max {
            problems.push(Problem::invalid(path("min"), "must be at most max"));
        }
        if elastic.domains.is_empty() {
            problems.push(Problem::invalid(path("domains"), "must name at least one domain"));
        }
    }
    let mut names = std::collections::BTreeSet::new();
    for server in &pool.servers {
        let path = format!("pools.{}.servers.{}", pool.name, server.name);
        if !names.insert(&server.name) {
            problems.push(Problem::invalid(&path, "is listed twice"));
        }
        if server.slots == 0 {
            problems.push(Problem::invalid(format!("{path}.slots"), "must be at least 1"));
        }
    }
}
