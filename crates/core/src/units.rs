//! Newtypes for names, counts, sizes, rates and sequence numbers.

use rand::Rng as _;

use crate::{id, quantity};

const MAX_NAME_BYTES: usize = 120;

id!(
    /// The name of a host of the router.
    HostId
);
id!(
    /// One run of a host's process: the host name, `:` and a random suffix drawn at start.
    Incarnation
);
id!(
    /// The name of a failure domain.
    Domain
);
id!(
    /// The name of a workspace: the customer to whom requests and usage are attributed.
    WorkspaceId
);
id!(
    /// The public part of a workspace key.
    KeyId
);
id!(
    /// The name of a request class.
    ClassId
);
id!(
    /// The name of a pool of backend servers, which the gateway's configuration calls a service.
    PoolId
);
id!(
    /// The name of a backend server.
    ServerId
);
id!(
    /// The name of a route.
    RouteId
);
id!(
    /// The name that an operator gives to a release note.
    NoteId
);
id!(
    /// The id of one request, returned to the caller.
    RequestId
);
id!(
    /// The name of a role that one host at a time holds by lease.
    Role
);

quantity!(
    /// Counts how often the store was restored from an older copy; versions of different eras do
    /// not compare.
    Era
);
quantity!(
    /// A number of tokens.
    Tokens
);
quantity!(
    /// A number of bytes.
    Bytes
);
quantity!(
    /// The number of an entry in the release log, or the version of a catalog.
    Revision
);
quantity!(
    /// The version of an object in the store.
    Version
);
quantity!(
    /// The number of times a lease has been taken; serves as its fencing token.
    Epoch
);
quantity!(
    /// The sequence number of a usage window.
    Window
);
quantity!(
    /// Tokens per minute.
    TokenRate
);

impl Revision {
    /// Returns the revision that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Incarnation {
    /// Draws a new incarnation of `host` with a random 64-bit suffix.
    pub fn fresh(host: &HostId) -> Self {
        let random: u64 = rand::rng().random();
        Self(format!("{host}:{random:016x}"))
    }

    /// Returns the name of the host that runs this incarnation.
    pub fn host(&self) -> &str {
        self.0.rsplit_once(':').map_or(self.as_str(), |(host, _)| host)
    }
}

impl RequestId {
    /// Draws a new request id of 96 random bits.
    pub fn fresh() -> Self {
        let (high, low): (u32, u64) = rand::rng().random();
        Self(format!("r-{high:08x}{low:016x}"))
    }
}

/// Returns whether `text` is a valid name: 1 to 120 bytes of ASCII letters, digits, `.`, `_`, `-`
/// and `:`.
pub fn is_name(text: &str) -> bool {
    let valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    valid_length && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-:".contains(&b))
}
