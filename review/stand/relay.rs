//! The link between two machines: datagrams and connections between their addresses for peers pass through it,
//! under addresses of its own, and none does while it is cut.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

pub struct Relay {
    /// Where the first machine appears to the second one.
    pub first: SocketAddr,
    /// Where the second machine appears to the first one.
    pub second: SocketAddr,
}

/// Binds both protocols on one free port.
fn bind() -> io::Result<(UdpSocket, TcpListener)> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?) {
            return Ok((socket, listener));
        }
    }
}

impl Relay {
    /// Starts the link between the machines whose addresses for peers are `a` and `b`.
    pub fn start(a: SocketAddr, b: SocketAddr, cut: Arc<AtomicBool>) -> io::Result<Self> {
        let (as_a, listener_a) = bind()?;
        let (as_b, listener_b) = bind()?;
        let relay = Self { first: as_a.local_addr()?, second: as_b.local_addr()? };
        pass_datagrams(as_b.try_clone()?, as_a.try_clone()?, b, cut.clone());
        pass_datagrams(as_a, as_b, a, cut.clone());
        pass_connections(listener_b, b, cut.clone());
        pass_connections(listener_a, a, cut);
        Ok(relay)
    }
}

fn pass_datagrams(from: UdpSocket, through: UdpSocket, to: SocketAddr, cut: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        // A peer that does not listen makes the next call fail; the link stays.
        loop {
            let Ok((length, _)) = from.recv_from(&mut buffer) else { continue };
            if !cut.load(Ordering::SeqCst) {
                let _ = through.send_to(&buffer[..length], to);
            }
        }
    });
}

fn pass_connections(listener: TcpListener, to: SocketAddr, cut: Arc<AtomicBool>) {
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || -> io::Result<()> {
                wait(&cut);
                let far = TcpStream::connect(to)?;
                let back = (far.try_clone()?, near.try_clone()?, cut.clone());
                thread::spawn(move || pass_bytes(back.0, back.1, &back.2));
                pass_bytes(near, far, &cut);
                Ok(())
            });
        }
    });
}

fn wait(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
}

fn pass_bytes(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        wait(cut);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}
