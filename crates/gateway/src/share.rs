//! What hosts share, through announcements, pages of peers and the store.

use std::{cell::RefCell, rc::Rc};

use tokio::net::UdpSocket;

use crate::state::State;

pub mod echo;
pub mod envelope;
pub mod facts;
pub mod gossip;
pub mod incoming;
pub mod limits;
pub mod origin_store;
pub mod peer_fetch;
pub mod refresh;
pub mod restore;
pub mod stored;
pub mod survey;
pub mod version_store;

/// Sends and receives announcements until the process ends.
pub async fn run(state: Rc<State>, socket: UdpSocket) {
    let first_number = u64::from(rand::random::<u32>()) << 24;
    let echoes = RefCell::new(echo::EchoTracker::new(first_number));
    tokio::join!(
        gossip::announce(&state, &socket, &echoes),
        incoming::run(&state, &socket, &echoes)
    );
}
