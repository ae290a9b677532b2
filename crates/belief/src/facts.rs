//! What hosts tell each other of servers, streams and requests, beside their announcements.

use wasabi_core::data;
use wasabi_policy::{quarantine, stated_limits};

use crate::origins;

data! {
    /// A part of what a host knows. Follows an [`Addition`](crate::announcement::Addition) in its
    /// datagram, as that follows an announcement.
    #[derive(Default)]
    pub struct Facts {
        /// What servers have said of their limits.
        pub limits: Vec<stated_limits::Report>,
        /// Where streams of the sender have begun or gone on since its last announcement.
        pub origins: Vec<origins::Group>,
        /// Runs that servers broke off, and proofs that features of such runs are sound.
        pub evidence: quarantine::Evidence,
    }
}
