//! Blocking traits for the outside systems that `wasabirouter run` uses. The `remote` crate
//! implements them over HTTP; [`objects`](crate::objects) is the interface of `wasabirouter
//! gateway`.

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

/// The precondition of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No object with the key exists.
    Absent,
    /// The object exists at exactly this version.
    At(Version),
}

data! {
    /// An object in the object API.
    pub struct Object {
        /// The full key.
        pub key: String,
        /// The store-wide write counter at the object's last change.
        pub version: Version,
        /// Text of at most one megabyte: JSON, or a part of a snapshot.
        pub value: String,
    }

    /// The result of a watch.
    pub struct WatchResult {
        /// The current form of each object written after the version that the watch was given,
        /// oldest write first.
        pub objects: Vec<Object>,
        /// The version from which the next watch continues.
        pub version: Version,
    }

    /// A host of the router as the platform lists it.
    pub struct Host {
        /// The host's name.
        pub name: HostId,
        /// The failure domain of the host.
        pub domain: Domain,
        /// The address for calls from other hosts.
        pub peer: SocketAddr,
        /// Whether the platform is about to remove the host.
        pub leaving: bool,
    }

    /// The usage of one workspace.
    #[derive(Copy, Default)]
    pub struct UsageTotals {
        /// Executed requests.
        pub requests: u64,
        /// Prompt tokens.
        pub prompt: Tokens,
        /// Completion tokens delivered to the caller.
        pub completion: Tokens,
    }

    /// One line of a usage report.
    pub struct UsageLine {
        /// The workspace whose usage this is.
        pub workspace: WorkspaceId,
        /// Its usage in the window.
        pub figures: UsageTotals,
    }

    /// The usage report of one window.
    pub struct Report {
        /// The usage window. It is sealed before it is reported, after which its figures never
        /// change.
        pub window: Window,
        /// The process that sends the report.
        pub reporter: Incarnation,
        /// One line per workspace, sorted by name.
        pub lines: Vec<UsageLine>,
    }

    /// An order to start or stop a backend server.
    pub struct Order {
        /// The id of the intent: the record of the order in the store, written before the order is
        /// sent. A repeated order carries the same id.
        pub intent: String,
        /// The epoch of the lease under which the order is given, as a fencing token.
        pub epoch: Epoch,
        /// The process that holds the lease.
        pub holder: Incarnation,
        /// The pool that the server belongs to.
        pub pool: PoolId,
        /// Whether to start or to stop a server.
        pub action: Action,
    }

    /// The life-cycle phase of an ordered server.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// Starting up; takes no requests yet.
        Booting,
        /// Ready for work.
        Live,
        /// About to be removed; takes no new requests.
        Leaving,
    }

    /// A backend server that the platform started for an order.
    pub struct ProvisionedServer {
        /// The server.
        pub server: Server,
        /// The pool that the server was ordered for.
        pub pool: PoolId,
        /// Its life-cycle phase.
        pub phase: Phase,
        /// The intent id of the order that started the server, if the platform kept it.
        #[serde(default)]
        pub intent: Option<String>,
    }

    /// The action that an order requests.
    pub enum Action {
        /// Start one backend server.
        Start {
            /// The failure domain of the new server.
            domain: Domain,
            /// Whether the platform may take the server back at short notice.
            #[serde(rename = "cheap")]
            reclaimable: bool,
        },
        /// Stop a backend server.
        Stop {
            /// The server to stop.
            server: ServerId,
        },
    }
}

impl UsageTotals {
    /// Adds `other` to each total.
    pub fn add(&mut self, other: &UsageTotals) {
        self.requests += other.requests;
        self.prompt += other.prompt;
        self.completion += other.completion;
    }
}

/// The platform's object API. Calls block the calling thread.
pub trait Store: Send + Sync {
    /// Reads the object at `key`, if it exists.
    fn get(&self, key: &str) -> Result<Option<Object>>;

    /// Writes `value` if `condition` holds; returns the new version.
    ///
    /// After `StoreConflict` and `StoreBusy` nothing was written; after `StoreUnavailable` the
    /// write may have taken effect.
    fn put(&self, key: &str, value: &str, condition: Condition) -> Result<Version>;

    /// Deletes the object if it is still at `version`. Succeeds if it does not exist; fails with
    /// `StoreConflict` if it is at another version.
    fn delete(&self, key: &str, version: Version) -> Result<()>;

    /// Lists at most `limit` objects whose keys begin with `prefix` and sort after `after`, in key
    /// order.
    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Object>>;

    /// Waits up to `wait` for writes after version `since` to keys that begin with `prefix`.
    fn watch(&self, prefix: &str, since: Version, wait: Duration) -> Result<WatchResult>;
}

/// The platform's list of live and leaving hosts. It lags behind the actual state.
pub trait Roster: Send + Sync {
    /// Reads the current list.
    fn hosts(&self) -> Result<Vec<Host>>;
}

/// The platform's interface for usage reports.
pub trait Billing: Send + Sync {
    /// Sends a report. After an error the report may still have been accepted.
    fn report(&self, report: &Report) -> Result<()>;
}

/// The platform's interface for ordering backend servers.
pub trait Provider: Send + Sync {
    /// Places an order. `PlatformRefused` means that it was not accepted.
    fn order(&self, order: &Order) -> Result<()>;

    /// Returns whether the platform has accepted the order with this intent id.
    fn is_accepted(&self, intent: &str) -> Result<bool>;

    /// Lists the servers that were started for orders. The list lags behind the actual state.
    fn servers(&self) -> Result<Vec<ProvisionedServer>>;
}

/// Decodes an object's JSON value; malformed JSON is an `Internal` error.
pub fn parse<T: DeserializeOwned>(object: &Object) -> Result<T> {
    serde_json::from_str(&object.value)
        .map_err(|e| errors::internal(format!("object {}: {e}", object.key)))
}

/// Encodes `value` as JSON text.
pub fn render<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data has a JSON form")
}

/// Writes `value`; if the outcome is unknown, reads the object to find out.
///
/// `is_own` returns whether an object found at `key` was written by this call; then its version is
/// returned. Otherwise `StoreConflict` is returned if the write failed with it, or if the object
/// found does not meet `condition`. It means that this call wrote nothing, provided that no other
/// writer replaced this call's object before the read. If the object is unchanged or missing after
/// an unknown outcome, the write may still take effect, and its `StoreUnavailable` error is
/// returned, as it is if that read fails. Other errors are returned as they are.
pub fn put_confirmed(
    store: &dyn Store,
    key: &str,
    value: &str,
    condition: Condition,
    is_own: impl Fn(&Object) -> bool,
) -> Result<Version> {
    match store.put(key, value, condition) {
        Err(unknown) if unknown.may_have_written() => match store.get(key) {
            Ok(Some(found)) if is_own(&found) => Ok(found.version),
            Ok(Some(found)) if condition != Condition::At(found.version) => {
                Err(errors::conflict(key))
            }
            // A failed read says nothing about the write.
            _ => Err(unknown),
        },
        Err(e) if e.code == Code::StoreConflict => match store.get(key)? {
            Some(found) if is_own(&found) => Ok(found.version),
            _ => Err(e),
        },
        done => done,
    }
}
