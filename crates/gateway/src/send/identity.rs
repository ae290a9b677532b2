//! Which process of a backend server is at the other end of a connection.
//!
//! A server may start again under its id with another version of its software, and at first the list still
//! describes the process before. A connection belongs to one process for as long as it is open.

use std::{io, rc::Rc, time::Duration};

use log::{info, warn};
use wasabi_belief::members;
use wasabi_core::member::Member;
use wasabi_platform::{
    http::{self, ConnectOptions},
    report,
};

use crate::{
    send::{
        cause,
        connection_pool::{Identity, Opened, PooledConnection},
    },
    share::survey,
    state::State,
};

/// Timeout of asking a server when it started; a live one answers within milliseconds, or after one packet was sent
/// again.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Finds out whether the process at the other end of a connection is the one that the list describes, and
/// records it in the connection; a server may not say.
///
/// Errors: the cause for which nothing may be sent over this connection.
pub async fn check(
    state: &State,
    member: &Member,
    connection: &mut PooledConnection,
) -> Result<(), &'static str> {
    if connection.opened.identity != Identity::Unasked {
        return Ok(());
    }
    metrics::counter!("wasabi_gateway_identity_checks_total").increment(1);
    let asking = report::born_ms(connection.inner(), member.address);
    let born_ms = match tokio::time::timeout(ASK_TIMEOUT, asking).await {
        Ok(Ok(born_ms)) => born_ms,
        Ok(Err(_)) | Err(_) => return Err(cause::UNANSWERED),
    };
    match born_ms.filter(|_| member.born_ms > 0) {
        None => {
            connection.opened.identity = Identity::Unstated;
            Ok(())
        }
        Some(born_ms) if born_ms == member.born_ms => {
            connection.opened.identity = Identity::Listed;
            Ok(())
        }
        Some(born_ms) => {
            warn!(server = member.id.as_str(), born_ms = born_ms, listed_ms = member.born_ms,
                list_age_ms = state.list_age_ms(); "backend server has started again");
            state.mark_ended(members::instance(member));
            Err(cause::STARTED_AGAIN)
        }
    }
}

/// What a server says of its process over a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It is the one that the list describes.
    Listed,
    /// It is another one, or none listens at the address.
    Other,
    /// The server does not answer, or does not say.
    Unknown,
}

/// Asks a server over a new connection whether its process is the one that the list describes.
pub async fn ask_process(state: &State, member: &Member) -> Process {
    if member.born_ms == 0 {
        return Process::Unknown;
    }
    let options = ConnectOptions { source: state.settings.borrow().source, ..Default::default() };
    metrics::counter!("wasabi_gateway_identity_checks_total").increment(1);
    let asking = async {
        match http::connect(member.address, options).await {
            Ok(mut connection) => report::born_ms(&mut connection, member.address).await.ok()?,
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Some(0),
            Err(_) => None,
        }
    };
    match tokio::time::timeout(ASK_TIMEOUT, asking).await.ok().flatten() {
        None => Process::Unknown,
        Some(born_ms) if born_ms == member.born_ms => Process::Listed,
        Some(_) => Process::Other,
    }
}

/// Returns whether the process at the other end of a connection is the one that the list describes: it has said
/// so, or a list that was read after the connection was opened still has it.
pub async fn is_listed(state: &Rc<State>, member: &Member, opened: Opened) -> bool {
    if opened.identity == Identity::Listed {
        return true;
    }
    let listed = survey::wait_since(state, opened.at).await
        && state.servers.borrow().lists(&members::instance(member));
    if !listed {
        info!(server = member.id.as_str(), list_age_ms = state.list_age_ms();
            "version of a backend server not proven");
    }
    listed
}
