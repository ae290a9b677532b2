//! A proxy in front of a server. Hosts are told apart by the address from which they connect; one that is cut off
//! reaches nothing: new connections stay without an answer, and open ones carry no more bytes in either direction.

use std::{
    collections::BTreeSet,
    io::{self, Read as _, Write as _},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::http;

pub type CutHosts = Arc<Mutex<BTreeSet<IpAddr>>>;

/// Starts a proxy to `target` and returns its address.
pub fn start(target: SocketAddr, cut: &CutHosts) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let cut = cut.clone();
    http::listen(listener, Arc::default(), move |connection, from| {
        let (client, host) = (connection.stream, from.ip());
        wait_while_cut(&cut, host);
        let Ok(server) = TcpStream::connect(target) else { return };
        let _ = server.set_nodelay(true);
        let (Ok(client_out), Ok(server_out)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let (up, down) = (cut.clone(), cut.clone());
        thread::spawn(move || pass(client, server_out, host, &up));
        pass(server, client_out, host, &down);
    })?;
    Ok(address)
}

fn wait_while_cut(cut: &CutHosts, host: IpAddr) {
    while cut.lock().unwrap().contains(&host) {
        thread::sleep(Duration::from_millis(10));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, host: IpAddr, cut: &CutHosts) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        wait_while_cut(cut, host);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}
