//! The asynchronous interface to the platform for `wasabirouter gateway`: stored objects, usage
//! reports and scaling orders. `wasabirouter run` uses the blocking one in [`io`](crate::io).

use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    pin::Pin,
    time::Instant,
};

use serde_json::Value;

use crate::{
    catalog::Catalog,
    data,
    errors::Result,
    member::Listing,
    units::{Domain, Epoch, Era, HostId, PoolId, Version, Window, WorkspaceId},
};

/// The future of an asynchronous call to the platform.
pub type CallFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

data! {
    /// An object of one of the router's own kinds.
    pub struct Record {
        /// Unique within the kind.
        pub name: String,
        /// The store-wide write counter at the object's last change.
        pub version: Version,
        /// The stored JSON value.
        pub value: Value,
    }

    /// The outcome of a conditional write.
    pub enum Written {
        /// The write took effect; holds the object's new version.
        Done(Version),
        /// Another write came first; holds the current object if the store returned it.
        Conflict(Option<Record>),
    }

    /// A scaling order: how many servers a service should have in a failure domain.
    pub struct ScalingOrder {
        /// The service to scale.
        pub service: PoolId,
        /// The failure domain of the servers.
        pub domain: Domain,
        /// The desired number of servers, not the difference to the current one.
        pub count: u32,
        /// Whether the order is for reclaimable servers, which the platform may take back at short
        /// notice.
        #[serde(rename = "cheap")]
        pub reclaimable: bool,
    }

    /// The platform's answer to a usage report or a scaling order.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// Accepted.
        Taken,
        /// Rejected: the platform has seen a higher fencing token, or has no such servers left.
        Refused,
        /// Not accepted because of a rate limit or an outage; the call may be repeated.
        Busy,
    }
}

/// The right to make one call as the holder of the duties (usage reports and scaling orders).
#[derive(Clone, Debug, PartialEq)]
pub struct Authority {
    /// The host that holds the duties; sent with the call.
    pub holder: HostId,
    /// The fencing token, which grows each time that the duties change hands; sent with the call.
    pub fence: Epoch,
    /// When the call must be over, since another host may hold the duties after that.
    pub until: Instant,
}

/// The platform's store of the configuration, the announced servers and the router's own objects.
///
/// Reads are linearizable: each shows every write that was acknowledged before the read was sent.
///
/// The store may be restored from an older copy: what the router wrote since is gone, and versions
/// are given out again. Responses of an older era than the latest one are errors.
pub trait MetadataStore {
    /// Returns the latest era that a response has stated; `None` before the first one.
    fn era(&self) -> Option<Era>;

    /// Reads the latest configuration; `None` if none has been stored yet.
    fn catalog(&self) -> CallFuture<'_, Option<Catalog>>;

    /// Lists the announced backend servers and those of them that are cold; entries that cannot be
    /// decoded are skipped. It does not say which failure domains are evacuated.
    fn members(&self) -> CallFuture<'_, Listing>;

    /// Lists the failure domains that the operator evacuates.
    fn evacuations(&self) -> CallFuture<'_, BTreeSet<Domain>>;

    /// Requests or, if `active` is false, ends the evacuation of a failure domain. To request one that
    /// is requested already, or to end one that is not, changes nothing.
    fn set_evacuation<'a>(&'a self, domain: &'a Domain, active: bool) -> CallFuture<'a, ()>;

    /// Lists the objects of one of the router's own kinds; those that cannot be decoded are
    /// skipped.
    fn list<'a>(&'a self, kind: &'a str) -> CallFuture<'a, Vec<Record>>;

    /// Reads an object; `None` if it does not exist.
    fn read<'a>(&'a self, kind: &'a str, name: &'a str) -> CallFuture<'a, Option<Record>>;

    /// Creates an object unless the name is already taken.
    ///
    /// After an error the write may have taken effect, or may do so later.
    fn create<'a>(&'a self, kind: &'a str, name: &'a str, value: Value) -> CallFuture<'a, Written>;

    /// Replaces an object if it is still at `version`.
    ///
    /// After an error the write may have taken effect, or may do so later.
    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        version: Version,
        value: Value,
    ) -> CallFuture<'a, Written>;
}

/// The platform's interface for the duties (usage reports and scaling orders), which only the
/// current holder of the duty lease may perform.
///
/// The platform may carry out calls without checking their fencing tokens. So a call is not sent
/// after [`Authority::until`], and nothing of a call that is dropped arrives later.
pub trait DutyInterface {
    /// Reports how many requests of each workspace began to run in a usage window.
    fn report<'a>(
        &'a self,
        authority: &'a Authority,
        window: Window,
        counts: &'a BTreeMap<WorkspaceId, u64>,
    ) -> CallFuture<'a, Verdict>;

    /// Orders servers of a service in a failure domain.
    fn order<'a>(
        &'a self,
        authority: &'a Authority,
        order: &'a ScalingOrder,
    ) -> CallFuture<'a, Verdict>;
}
