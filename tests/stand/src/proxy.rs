//! TCP proxy that injects network faults.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Handle,
};

/// How the proxy treats the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NetworkFault {
    /// They are forwarded.
    #[default]
    None,
    /// They are forwarded after this delay.
    Delay(Duration),
    /// Those towards the target are dropped, the others forwarded.
    DropToTarget,
    /// Those from the target are dropped, the others forwarded.
    DropFromTarget,
    /// None are forwarded and the connection stays open; a direction that carried bytes meanwhile
    /// stays silent for good.
    Silence,
    /// The connection is closed.
    Close,
    /// New connections are reset; open ones are served.
    RefuseNew,
}

/// The faults of a proxy: that of a client by its IP address, or else the common one.
#[derive(Default)]
struct Faults {
    common: NetworkFault,
    by_client: BTreeMap<IpAddr, NetworkFault>,
}

/// The fault of one client's connections.
#[derive(Clone)]
struct ClientFault {
    faults: Arc<Mutex<Faults>>,
    client: IpAddr,
}

impl ClientFault {
    fn get(&self) -> NetworkFault {
        let faults = self.faults.lock();
        faults.by_client.get(&self.client).copied().unwrap_or(faults.common)
    }
}

/// A proxy in front of one target.
pub struct Proxy {
    /// The listen address.
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
}

const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Proxy {
    /// Starts a proxy to `target`.
    pub fn start(runtime: &Handle, target: SocketAddr) -> anyhow::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind(("127.0.0.1", 0)))?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Mutex::new(Faults::default()));
        let shared = faults.clone();
        runtime.spawn(async move {
            while let Ok((stream, client)) = listener.accept().await {
                let fault = ClientFault { faults: shared.clone(), client: client.ip() };
                tokio::spawn(async move {
                    if matches!(fault.get(), NetworkFault::Close | NetworkFault::RefuseNew) {
                        // Reset when it is dropped. The client may have reset it already.
                        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                        return;
                    }
                    let Ok(target_stream) = TcpStream::connect(target).await else { return };
                    let (client_read, client_write) = stream.into_split();
                    let (target_read, target_write) = target_stream.into_split();
                    tokio::select! {
                        () = forward(
                            client_read, target_write, &fault, NetworkFault::DropToTarget
                        ) => {}
                        () = forward(
                            target_read, client_write, &fault, NetworkFault::DropFromTarget
                        ) => {}
                        () = wait_close(&fault) => {}
                    }
                });
            }
        });
        Ok(Self { address, faults })
    }

    /// Sets how bytes are treated from now on, also on open connections.
    pub fn set(&self, fault: NetworkFault) {
        self.faults.lock().common = fault;
    }

    /// Sets how bytes of the connections from `client` are treated from now on, also on open ones; it
    /// takes precedence over [`Proxy::set`].
    pub fn set_for(&self, client: IpAddr, fault: NetworkFault) {
        self.faults.lock().by_client.insert(client, fault);
    }

    /// Treats the connections from `client` like those of all others again.
    pub fn clear_for(&self, client: IpAddr) {
        self.faults.lock().by_client.remove(&client);
    }
}

/// Returns once the connection is to be closed.
async fn wait_close(fault: &ClientFault) {
    while fault.get() != NetworkFault::Close {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Forwards one direction until it closes; `dropped_by` is the fault that drops this direction.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &ClientFault,
    dropped_by: NetworkFault,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else { return };
        let current = fault.get();
        match current {
            NetworkFault::Delay(delay) => tokio::time::sleep(delay).await,
            NetworkFault::Silence => std::future::pending::<()>().await,
            current if current == dropped_by => continue,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
