//! The announcement that each host sends to its peers several times a second.

use std::collections::BTreeMap;

use wasabi_core::{
    data,
    units::{
        Domain, Epoch, Era, HostId, Incarnation, PoolId, Revision, ServerId, Window, WorkspaceId,
    },
};
use wasabi_policy::{load_report::LoadReport, overload};

/// The load that a host puts on each backend server, by pool.
pub type LoadByServer = Vec<(PoolId, Vec<(ServerId, LoadReport)>)>;

/// Work of workspaces and return times at services that lack capacity, by pool. Follows the facts and
/// the link's report in a datagram; hosts of older versions ignore it and send none.
pub type DemandByService = Vec<(PoolId, overload::Report)>;

data! {
    /// One announcement; it is sent as a single datagram.
    pub struct Announcement {
        /// The sender.
        pub host: HostId,
        /// The sender's process incarnation.
        pub incarnation: Incarnation,
        /// The sender's failure domain.
        pub domain: Domain,
        /// Whether the sender is about to stop.
        pub leaving: bool,
        /// The sender's wall clock, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// The cluster time as the sender knows it, in milliseconds since the Unix epoch, and for
        /// how many milliseconds it has been held.
        pub truth_ms: (u64, u64),
        /// The revision of the sender's configuration, and how many milliseconds ago it was known
        /// to be the newest.
        pub catalog: Option<(Revision, u64)>,
        /// The digest of the sender's list of backend servers, and how many milliseconds ago the
        /// list was known to be complete.
        pub members: Option<(u64, u64)>,
        /// The fencing token, if the sender holds the lease on the duties (see [`crate::lease`]).
        pub fence: Option<Epoch>,
        /// The load that the sender puts on each backend server; `None` if this announcement omits
        /// it.
        pub shares: Option<LoadByServer>,
        /// Requests counted by this incarnation; `None` if this announcement omits them.
        pub counts: Option<CountReport>,
    }

    /// What follows an [`Announcement`] in its datagram; hosts of older versions ignore it and send
    /// none.
    #[derive(Default)]
    pub struct Addition {
        /// Backend servers that have told the sender lately that they leave: id and start of the
        /// process in milliseconds since the Unix epoch.
        pub leaving_servers: Vec<(ServerId, u64)>,
        /// The latest era of the store that the sender knows, for how many milliseconds it has been
        /// known to be in force, and whether a host saw the restore that began it.
        pub era: Option<(Era, u64, bool)>,
        /// The highest fencing token of the duties that the sender has heard of.
        pub highest_fence: Epoch,
    }

    /// Counts of the requests that began to run in one incarnation of a host.
    pub struct CountReport {
        /// The current window at the time of the announcement.
        pub present: Window,
        /// Running totals of the most recent windows, including the current one.
        pub windows: Vec<(Window, BTreeMap<WorkspaceId, u64>)>,
    }
}
