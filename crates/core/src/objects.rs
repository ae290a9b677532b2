//! The platform's services as a gateway sees them: stored objects, usage reports, server orders.

use std::{collections::BTreeMap, future::Future, pin::Pin};

use serde_json::Value;

use crate::{
    catalog::Catalog,
    data,
    errors::Result,
    member::Member,
    units::{Domain, Epoch, HostId, PoolId, Version, Window, WorkspaceId},
};

/// A call in progress.
pub type Call<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

data! {
    /// An object of one of the router's own kinds.
    pub struct Record {
        /// Its name within the kind.
        pub name: String,
        /// The store's count at its last change.
        pub version: Version,
        /// What it holds.
        pub value: Value,
    }

    /// The outcome of a conditional write.
    pub enum Written {
        /// It took effect; the object's new version.
        Done(Version),
        /// Another write came first; the object as it is, if the store shows it.
        Conflict(Option<Record>),
    }

    /// Who acts on a duty, and under which fencing number.
    pub struct Authority {
        /// The host that holds the duty.
        pub holder: HostId,
        /// Grows each time that the duty changes hands.
        pub fence: Epoch,
    }

    /// An order for a number of servers.
    pub struct Demand {
        /// The service.
        pub service: PoolId,
        /// Where.
        pub domain: Domain,
        /// How many in all.
        pub count: u32,
        /// Whether the order is for servers that the platform may take away.
        pub cheap: bool,
    }

    /// What became of a call on a duty.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// It was taken.
        Taken,
        /// It was refused: a higher fencing number was seen, or for orders, none are to be had.
        Refused,
        /// It was refused for its rate, or the service is away; it was not taken.
        Busy,
    }
}

/// The store of configuration, servers and the router's own objects.
///
/// Every read is linearizable: it shows all that was acknowledged before it was sent.
pub trait Objects {
    /// Reads the newest configuration; none if there is none yet.
    fn catalog(&self) -> Call<'_, Option<Catalog>>;

    /// Lists the backend servers that are announced; entries that cannot be read are left out.
    fn members(&self) -> Call<'_, Vec<Member>>;

    /// Lists the objects of one of the router's own kinds.
    fn list<'a>(&'a self, kind: &'a str) -> Call<'a, Vec<Record>>;

    /// Reads an object.
    fn read<'a>(&'a self, kind: &'a str, name: &'a str) -> Call<'a, Option<Record>>;

    /// Creates an object if there is none of that name.
    ///
    /// An error leaves open whether the write took effect, or will.
    fn create<'a>(&'a self, kind: &'a str, name: &'a str, value: Value) -> Call<'a, Written>;

    /// Replaces an object that is still at `version`.
    ///
    /// An error leaves open whether the write took effect, or will.
    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        version: Version,
        value: Value,
    ) -> Call<'a, Written>;
}

/// The platform's interface for duties that one host at a time may act on.
pub trait Duties {
    /// Reports the requests of each workspace that began to run in a window.
    fn report<'a>(
        &'a self,
        authority: &'a Authority,
        window: Window,
        counts: &'a BTreeMap<WorkspaceId, u64>,
    ) -> Call<'a, Verdict>;

    /// Orders servers.
    fn order<'a>(&'a self, authority: &'a Authority, demand: &'a Demand) -> Call<'a, Verdict>;
}
