//! The outside systems as traits; each has one thin adapter elsewhere.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    data,
    errors::{self, Code, Result},
    note::Server,
    units::{
        Domain, Epoch, HostId, Incarnation, PoolId, ServerId, Tokens, Version, Window, WorkspaceId,
    },
};

/// What a conditional write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No object of that key.
    Absent,
    /// The object at exactly this version.
    At(Version),
}

data! {
    /// An object of the object API.
    pub struct Object {
        /// The full key.
        pub key: String,
        /// Grows with every write to any object.
        pub version: Version,
        /// At most a megabyte of JSON text.
        pub value: String,
    }

    /// What a watch returns: the objects written since, oldest first, and where to go on.
    pub struct Batch {
        /// The present form of each object written since.
        pub objects: Vec<Object>,
        /// The version to watch from next.
        pub version: Version,
    }

    /// One of the router's own hosts as the platform lists it.
    pub struct Host {
        /// The host's name.
        pub name: HostId,
        /// The failure domain that the host stands in.
        pub domain: Domain,
        /// Where its peers reach it.
        pub peer: SocketAddr,
        /// Whether the platform is about to take the host away.
        pub leaving: bool,
    }

    /// What one workspace used.
    #[derive(Copy, Default)]
    pub struct Figures {
        /// Requests that ran.
        pub requests: u64,
        /// Tokens of prompts.
        pub prompt: Tokens,
        /// Tokens delivered to the caller.
        pub completion: Tokens,
    }

    /// One line of a usage report.
    pub struct Line {
        /// Whose usage this is.
        pub workspace: WorkspaceId,
        /// The figures of the window.
        pub figures: Figures,
    }

    /// A usage report for one window.
    pub struct Report {
        /// The window; its figures never change once sealed.
        pub window: Window,
        /// The process that sends the report.
        pub reporter: Incarnation,
        /// One line a workspace, by name.
        pub lines: Vec<Line>,
    }

    /// An order for the platform.
    pub struct Order {
        /// The identity of the order's intent record; the same order always bears the same one.
        pub intent: String,
        /// The lease epoch under which the order is given.
        pub epoch: Epoch,
        /// The process that gives the order.
        pub holder: Incarnation,
        /// The pool that the server belongs to.
        pub pool: PoolId,
        /// What to do.
        pub action: Action,
    }

    /// How far an ordered server has come.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// Not ready yet.
        Booting,
        /// Ready for work.
        Live,
        /// About to be taken away; it gets no new work.
        Leaving,
    }

    /// A backend server that the platform runs for us.
    pub struct Rented {
        /// The server.
        pub server: Server,
        /// The pool that it was ordered for.
        pub pool: PoolId,
        /// How far it has come.
        pub phase: Phase,
        /// The intent of the order that it came from, if the platform kept it.
        #[serde(default)]
        pub intent: Option<String>,
    }

    /// What an order asks for.
    pub enum Action {
        /// Start one backend server.
        Start {
            /// Where to start it.
            domain: Domain,
            /// Whether a server that can vanish at any time will do.
            cheap: bool,
        },
        /// Stop a backend server.
        Stop {
            /// Which one.
            server: ServerId,
        },
    }
}

impl Figures {
    /// Adds the figures of `other`.
    pub fn add(&mut self, other: &Figures) {
        self.requests += other.requests;
        self.prompt += other.prompt;
        self.completion += other.completion;
    }
}

/// The platform's object API. Calls block.
pub trait Store: Send + Sync {
    /// Gets the object at `key`, if there is one.
    fn get(&self, key: &str) -> Result<Option<Object>>;

    /// Writes `value` if `condition` holds, and returns the new version.
    ///
    /// Errors: `StoreConflict` and `StoreBusy` took no effect; `StoreUnavailable` may have.
    fn put(&self, key: &str, value: &str, condition: Condition) -> Result<Version>;

    /// Removes the object if it is still at `version`.
    fn delete(&self, key: &str, version: Version) -> Result<()>;

    /// Gets at most `limit` objects whose keys begin with `prefix` and follow `after`, by key.
    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Object>>;

    /// Waits up to `wait` for writes to keys with `prefix` later than `since`.
    fn watch(&self, prefix: &str, since: Version, wait: Duration) -> Result<Batch>;
}

/// The platform's list of live and leaving hosts, which lags.
pub trait Roster: Send + Sync {
    /// Gets the list.
    fn hosts(&self) -> Result<Vec<Host>>;
}

/// The interface that takes usage reports.
pub trait Billing: Send + Sync {
    /// Sends a report. An error may mean that the report was taken and its answer lost.
    fn report(&self, report: &Report) -> Result<()>;
}

/// The interface for ordering backend servers.
pub trait Provider: Send + Sync {
    /// Gives an order. An error of code `PlatformRefused` means that it was not taken.
    fn order(&self, order: &Order) -> Result<()>;

    /// Returns whether the platform has taken the order of this intent.
    fn taken(&self, intent: &str) -> Result<bool>;

    /// Gets the servers that the platform runs for us; the list lags.
    fn servers(&self) -> Result<Vec<Rented>>;
}

/// Reads an object's JSON value.
pub fn parse<T: DeserializeOwned>(object: &Object) -> Result<T> {
    serde_json::from_str(&object.value)
        .map_err(|e| errors::internal(format!("object {}: {e}", object.key)))
}

/// Returns `value` as JSON text.
pub fn render<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data has a JSON form")
}

/// Writes `value` and finds out what happened when the answer is lost.
///
/// `mine` tells whether an object found afterwards is the one that this call wrote. Returns the
/// version written; errors of code `StoreConflict` carry the certainty that nothing was written.
pub fn put_certain(
    store: &dyn Store,
    key: &str,
    value: &str,
    condition: Condition,
    mine: impl Fn(&Object) -> bool,
) -> Result<Version> {
    match store.put(key, value, condition) {
        Err(lost) if lost.may_have_written() => match store.get(key)? {
            Some(found) if mine(&found) => Ok(found.version),
            Some(found) if condition != Condition::At(found.version) => Err(errors::conflict(key)),
            _ => Err(lost),
        },
        Err(e) if e.code == Code::StoreConflict => match store.get(key)? {
            Some(found) if mine(&found) => Ok(found.version),
            _ => Err(e),
        },
        done => done,
    }
}
