//! What a host tells its peers several times a second.

use std::collections::BTreeMap;

use wasabi_core::{
    data,
    units::{Domain, Epoch, HostId, Incarnation, PoolId, Revision, ServerId, Window, WorkspaceId},
};
use wasabi_policy::share::Share;

/// What a host runs on each server, by service.
pub type Shares = Vec<(PoolId, Vec<(ServerId, Share)>)>;

data! {
    /// One announcement; it fits a datagram.
    pub struct Beat {
        /// Who sends it.
        pub host: HostId,
        /// Which life of the host.
        pub incarnation: Incarnation,
        /// Where the host stands.
        pub domain: Domain,
        /// Whether the host is about to stop.
        pub leaving: bool,
        /// The host's time of day, in milliseconds since 1970.
        pub wall_ms: u64,
        /// The time of day that the host takes for true, in milliseconds since 1970, and for how
        /// many milliseconds that has been held.
        pub truth_ms: (u64, u64),
        /// The configuration that the host has, and the age of its proof.
        pub catalog: Option<(Revision, u64)>,
        /// The digest of the list of backend servers that the host has, and the age of its proof.
        pub members: Option<(u64, u64)>,
        /// The fencing number, if the host holds the duties.
        pub fence: Option<Epoch>,
        /// What the host runs on each server, by service; none if this announcement leaves it out.
        pub shares: Option<Shares>,
        /// What this life of the host counted; none if this announcement leaves it out.
        pub counts: Option<Tally>,
    }

    /// Requests that began to run at one life of a host.
    pub struct Tally {
        /// The window that was the present one.
        pub present: Window,
        /// Running totals of the last windows, the present one included.
        pub windows: Vec<(Window, BTreeMap<WorkspaceId, u64>)>,
    }
}
