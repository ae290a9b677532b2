//! A proxy that harms the connections which pass it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Handle,
};

/// What happens to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// They arrive later.
    Delay(Duration),
    /// Those towards the target vanish; the others pass.
    CutForth,
    /// Those from the target vanish; the others pass.
    CutBack,
    /// None arrive any more, and nobody is told.
    Silence,
    /// The connection is closed.
    Reset,
}

/// A proxy to one target.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: Arc<Mutex<Harm>>,
}

const POLL: Duration = Duration::from_millis(10);

impl Proxy {
    /// Starts a proxy to `target`.
    pub fn start(runtime: &Handle, target: SocketAddr) -> anyhow::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind(("127.0.0.1", 0)))?;
        let address = listener.local_addr()?;
        let harm = Arc::new(Mutex::new(Harm::None));
        let seen = harm.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let harm = seen.clone();
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(target).await else { return };
                    let (near_in, near_out) = stream.into_split();
                    let (far_in, far_out) = far.into_split();
                    tokio::select! {
                        () = pass(near_in, far_out, &harm, Harm::CutForth) => {}
                        () = pass(far_in, near_out, &harm, Harm::CutBack) => {}
                        () = reset(&harm) => {}
                    }
                });
            }
        });
        Ok(Self { address, harm })
    }

    /// Sets what happens from now on, to open connections too.
    pub fn set(&self, harm: Harm) {
        *self.harm.lock() = harm;
    }
}

async fn reset(harm: &Mutex<Harm>) {
    while *harm.lock() != Harm::Reset {
        tokio::time::sleep(POLL).await;
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, harm: &Mutex<Harm>, cut: Harm) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else { return };
        let now = *harm.lock();
        match now {
            Harm::Delay(delay) => tokio::time::sleep(delay).await,
            Harm::Silence => std::future::pending::<()>().await,
            now if now == cut => continue,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
