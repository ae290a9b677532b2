//! Tests of the ports that gateways under test listen on.

use std::net::{TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};
use wasabi_stand::gateway;

/// Another process cannot draw a port that a gateway is going to bind.
#[test]
fn picked_ports_stay_reserved_until_they_are_bound() -> anyhow::Result<()> {
    let address = gateway::pick_ports()?.callers;
    let other = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    assert!(other.bind(&address.into()).is_err(), "{address} was free");
    assert!(TcpStream::connect(address).is_err(), "{address} accepts connections");
    let listener = TcpListener::bind(address)?;
    let _caller = TcpStream::connect(address)?;
    listener.accept()?;
    Ok(())
}
