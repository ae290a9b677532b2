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
    /// The name of a region, which has failure domains.
    Region
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

/// The version of a backend server's software, as the server states it; empty if it states none.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Build(String);

impl Build {
    /// Returns whether no version is stated.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for Build {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::str::FromStr for Build {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.to_string()))
    }
}

/// A number of requests a second, at least 0.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the rate; `None` if it is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second >= 0.0 && per_second.is_finite()).then_some(Self(per_second))
    }

    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl std::str::FromStr for RequestRate {
    type Err = crate::errors::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").unwrap_or(text).trim().parse().ok();
        let invalid = || {
            let detail = format!("{text:?} is not a number of requests a second");
            crate::errors::Error::new(crate::errors::Code::HeadInvalid, detail)
        };
        number.and_then(Self::new).ok_or_else(invalid)
    }
}

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
