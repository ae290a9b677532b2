//! The link between two hosts: datagrams and connections between their addresses for peers pass through it, under
//! addresses of its own.

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::Arc,
    thread,
    time::Duration,
};

use parking_lot::Mutex;

/// How the link treats what passes through it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// It is passed on.
    #[default]
    None,
    /// Datagrams are lost; what is sent over connections is held until the fault ends.
    Cut,
    /// What is sent over connections is passed on after this delay, datagrams at once.
    SlowConnections(Duration),
}

/// A link.
pub struct Link {
    /// Where the first host appears to the second one.
    pub first: SocketAddr,
    /// Where the second host appears to the first one.
    pub second: SocketAddr,
    fault: Arc<Mutex<Fault>>,
}

const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Link {
    /// Starts the link between the hosts whose addresses for peers are `a` and `b`.
    pub fn start(a: SocketAddr, b: SocketAddr) -> io::Result<Self> {
        let (as_a, listener_a) = bind()?;
        let (as_b, listener_b) = bind()?;
        let (first, second) = (as_a.local_addr()?, as_b.local_addr()?);
        let fault = Arc::new(Mutex::new(Fault::None));
        pass_datagrams(as_b.try_clone()?, as_a.try_clone()?, b, fault.clone());
        pass_datagrams(as_a, as_b, a, fault.clone());
        pass_connections(listener_b, b, fault.clone());
        pass_connections(listener_a, a, fault.clone());
        Ok(Self { first, second, fault })
    }

    /// Sets the fault of both directions.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock() = fault;
    }
}

/// Binds both protocols on one free port.
fn bind() -> io::Result<(UdpSocket, TcpListener)> {
    loop {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?) {
            return Ok((socket, listener));
        }
    }
}

fn pass_datagrams(from: UdpSocket, through: UdpSocket, to: SocketAddr, fault: Arc<Mutex<Fault>>) {
    thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            // A peer that does not listen makes the next call fail; the link stays.
            let Ok((length, _)) = from.recv_from(&mut buffer) else { continue };
            if *fault.lock() != Fault::Cut {
                // The same.
                let _ = through.send_to(&buffer[..length], to);
            }
        }
    });
}

fn pass_connections(listener: TcpListener, to: SocketAddr, fault: Arc<Mutex<Fault>>) {
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let fault = fault.clone();
            thread::spawn(move || -> io::Result<()> {
                wait(&fault);
                let far = TcpStream::connect(to)?;
                let back = (far.try_clone()?, near.try_clone()?, fault.clone());
                thread::spawn(move || pass_bytes(back.0, back.1, &back.2));
                pass_bytes(near, far, &fault);
                Ok(())
            });
        }
    });
}

/// Waits out a cut, or the delay.
fn wait(fault: &Mutex<Fault>) {
    while *fault.lock() == Fault::Cut {
        thread::sleep(POLL_INTERVAL);
    }
    let set = *fault.lock();
    if let Fault::SlowConnections(delay) = set {
        thread::sleep(delay);
    }
}

fn pass_bytes(mut from: TcpStream, mut to: TcpStream, fault: &Mutex<Fault>) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        wait(fault);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The other direction may have closed it.
    let _ = to.shutdown(Shutdown::Both);
}
