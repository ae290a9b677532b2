//! A TCP proxy with fault injection.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use parking_lot::{Condvar, Mutex};

const BUFFER_BYTES: usize = 16 * 1024;

/// What the proxy does with connections and data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards everything.
    Pass,
    /// Forwards everything, each read with this delay.
    Delay(Duration),
    /// Closes all connections, and new ones at once.
    Cut,
    /// Holds back what clients send until the mode changes.
    Hold,
    /// Holds back data from clients that starts with `POST ` until the mode changes.
    HoldPosts,
    /// Keeps connections open and drops all data.
    Swallow,
    /// Forwards what clients send, and closes the connection when the server responds.
    DropResponses,
}

/// A running proxy. It runs until the process ends, also after this is dropped.
pub struct Proxy {
    address: SocketAddr,
    control: Arc<Control>,
}

struct Control {
    mode: Mutex<Mode>,
    /// Forwarded bytes, in both directions.
    forwarded_bytes: AtomicU64,
    changed: Condvar,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port.
    pub fn start(target: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let control = Arc::new(Control {
            mode: Mutex::new(Mode::Pass),
            forwarded_bytes: AtomicU64::new(0),
            changed: Condvar::new(),
        });
        let accept_control = control.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let control = accept_control.clone();
                thread::spawn(move || connect(client, target, control));
            }
        });
        Ok(Self { address, control })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL that leads through the proxy to its target.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the number of bytes forwarded so far, in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.control.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Sets the mode, also for open connections.
    pub fn set_mode(&self, mode: Mode) {
        *self.control.mode.lock() = mode;
        self.control.changed.notify_all();
    }
}

impl Control {
    fn mode(&self) -> Mode {
        *self.mode.lock()
    }

    fn wait_while_held(&self, data: &[u8]) {
        let mut mode = self.mode.lock();
        let is_post = data.starts_with(b"POST ");
        while *mode == Mode::Hold || (is_post && *mode == Mode::HoldPosts) {
            self.changed.wait(&mut mode);
        }
    }

    /// Waits until the mode is `Cut` or an end is closed, then closes both ends.
    fn close_when_cut(&self, ends: [TcpStream; 2]) {
        let mut mode = self.mode.lock();
        while *mode != Mode::Cut && ends.iter().all(is_open) {
            self.changed.wait_for(&mut mode, Duration::from_millis(100));
        }
        drop(mode);
        for end in ends {
            let _ = end.shutdown(Shutdown::Both);
        }
    }
}

/// Returns whether the socket still has a peer address, which it loses when it is closed.
fn is_open(socket: &TcpStream) -> bool {
    socket.peer_addr().is_ok()
}

/// Connects to `target`, and forwards both directions until either is closed.
fn connect(client: TcpStream, target: SocketAddr, control: Arc<Control>) {
    if control.mode() == Mode::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let clones = || Some((client.try_clone().ok()?, server.try_clone().ok()?));
    let (Some((client_in, server_out)), Some((client_end, server_end))) = (clones(), clones())
    else {
        return;
    };
    let forward = control.clone();
    thread::spawn(move || copy(client_in, server_out, &forward, false));
    let cutter = control.clone();
    thread::spawn(move || cutter.close_when_cut([client_end, server_end]));
    copy(server, client, &control, true);
}

fn copy(mut from: TcpStream, mut to: TcpStream, control: &Control, is_response: bool) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        if !is_response {
            control.wait_while_held(&buffer[..count]);
        }
        match control.mode() {
            Mode::Swallow => continue,
            Mode::DropResponses if is_response => {
                let _ = from.shutdown(Shutdown::Both);
                break;
            }
            Mode::Delay(delay) => thread::sleep(delay),
            _ => {}
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
        control.forwarded_bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
