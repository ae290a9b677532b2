//! What a host tells the peer to which it hands a request.

use hyper::header::{HeaderMap, HeaderName};
use log::warn;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use wasabi_belief::origins::Origin;
use wasabi_core::{
    errors::{Code, Error, Ran, Result},
    format::{self, Format},
    units::{HostId, ServerId},
};

/// The header of a request that a peer hands over; its value is a [`Handover`] as JSON. It is read on the
/// port for peers only.
pub const HEADER: HeaderName = HeaderName::from_static("wasabi-handover");

/// What a host tells the peer to which it hands a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handover {
    /// Its format.
    #[serde(default)]
    pub format: Format,
    /// The host that hands it over.
    pub from: HostId,
    /// Sends so far that a server may have run.
    pub possible_runs: u32,
    /// Where the stream began, if it goes on.
    pub origin: Option<Origin>,
    /// Servers that refused the request; hosts of earlier builds name none.
    #[serde(default)]
    pub refused: Vec<ServerId>,
}

/// Takes the handover out of the headers of a request on the port for peers; `None` if it has none.
///
/// Errors: `HandoverUnknown` if it cannot be read, as one of a newer build.
pub fn take(headers: &mut HeaderMap) -> Result<Option<Handover>> {
    let Some(value) = headers.remove(HEADER) else { return Ok(None) };
    read_handover(value.as_bytes()).map(Some).map_err(|cause| {
        metrics::counter!("wasabi_unread_messages_total", "what" => "handover").increment(1);
        warn!(cause = cause.as_str(); "request of a peer left unread");
        // Whether a server has run the request is a part of it.
        Error::new(Code::HandoverUnknown, cause).ran(Ran::Unknown)
    })
}

fn read_handover(value: &[u8]) -> std::result::Result<Handover, String> {
    let value: Value = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    Format::of(&value).check(format::HANDOVER, "handover").map_err(|e| e.to_string())?;
    serde_json::from_value(value).map_err(|e| e.to_string())
}
