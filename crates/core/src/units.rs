//! Names, counts, sizes and rates as types of their own.

use rand::Rng as _;

use crate::{id, quantity};

const NAME_BYTES: usize = 120;

id!(
    /// The name of one of the router's own hosts.
    HostId
);
id!(
    /// One life of a host's process: the host's name and a random part drawn at start.
    Incarnation
);
id!(
    /// The name of a failure domain.
    Domain
);
id!(
    /// The name of a workspace, the customer that requests and usage belong to.
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
    /// The name of a pool of backend servers.
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
    /// The operator's name for a release note.
    NoteId
);
id!(
    /// The identity of one request, returned to the caller.
    RequestId
);
id!(
    /// A job that one host at a time holds by lease.
    Role
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
    /// The number of the last applied entry of the release log.
    Revision
);
quantity!(
    /// The version of an object in the object API.
    Version
);
quantity!(
    /// How many times a lease has changed hands.
    Epoch
);
quantity!(
    /// The number of a usage window.
    Window
);
quantity!(
    /// Tokens a minute.
    TokenRate
);

impl Revision {
    /// Returns the revision that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Incarnation {
    /// Gets a new incarnation of `host`, with 64 random bits.
    pub fn fresh(host: &HostId) -> Self {
        let random: u64 = rand::rng().random();
        Self(format!("{host}:{random:016x}"))
    }

    /// Returns the name of the host that this incarnation runs on.
    pub fn host(&self) -> &str {
        self.0.rsplit_once(':').map_or(self.as_str(), |(host, _)| host)
    }
}

impl RequestId {
    /// Gets a new request identity of 96 random bits.
    pub fn fresh() -> Self {
        let (high, low): (u32, u64) = rand::rng().random();
        Self(format!("r-{high:08x}{low:016x}"))
    }
}

/// Returns whether `text` can be the name of something.
pub fn is_name(text: &str) -> bool {
    let fits = !text.is_empty() && text.len() <= NAME_BYTES;
    fits && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-:".contains(&b))
}
