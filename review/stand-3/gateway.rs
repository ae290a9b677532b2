//! Runs gateways as processes of their own, with the command and the variables of deploy/system.toml and settings
//! in the form of deploy/settings.json.tmpl.

use std::{
    fs, io,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record};

const PROGRAM: &str = "target/release/wasabirouter";

/// The ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all gateways, when the program has to end at once.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// Where a gateway listens.
#[derive(Clone, Copy)]
pub struct Place {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

pub struct Gateway {
    pub name: String,
    pub place: Place,
    settings: String,
    path: PathBuf,
    child: Option<Child>,
    record: Record,
}

fn free_ports(ip: IpAddr) -> io::Result<Place> {
    let listeners: Vec<TcpListener> =
        (0..4).map(|_| TcpListener::bind((ip, 0))).collect::<io::Result<_>>()?;
    let at = |index: usize| listeners[index].local_addr();
    Ok(Place { callers: at(0)?, ready: at(1)?, peers: at(2)?, operators: at(3)? })
}

impl Gateway {
    /// Prepares a gateway at a loopback address of its own. With `source` it connects to servers from there.
    pub fn new(
        name: &str,
        zone: &str,
        ip: IpAddr,
        source: bool,
        (store, platform): (SocketAddr, SocketAddr),
        folder: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let place = free_ports(ip)?;
        let Place { callers, ready, peers, operators } = place;
        let source = if source { format!(r#""source": "{ip}","#) } else { String::new() };
        let settings = format!(
            r#"{{"host": "{name}", "domain": "{zone}", "callers": "{callers}", "ready": "{ready}",
 "peers": "{peers}", "operators": "{operators}", "objects": "{store}", "duties": "{platform}", {source}
 "bounds": {{"withdraw_ms": 5000, "leave_ms": 2000, "stop_s": 8, "lease_ms": 3000, "usage_window_s": 5,
 "usage_due_s": 10, "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_allowance": 52}}}}"#
        );
        let path = folder.join(format!("{name}.json"));
        let (name, record) = (name.to_string(), record.clone());
        Ok(Self { name, place, settings, path, child: None, record })
    }

    pub fn start(&mut self) -> io::Result<()> {
        fs::write(&self.path, &self.settings)?;
        let regions =
            r#"{"shah-alam":"klang-valley","petaling":"klang-valley","klang-port":"klang-valley"}"#;
        let child = Command::new(PROGRAM)
            .arg("gateway")
            .env("WASABIROUTER_SETTINGS", &self.path)
            .env("WASABIROUTER_MEMORY_MB", "110")
            .env("WASABIROUTER_EVACUATE_MS", "")
            .env("WASABIROUTER_REGIONS", regions)
            .env("WASABIROUTER_COLD_BOUND", ",")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        self.record.add(format!("gateway {} starts", self.name));
        Ok(())
    }

    /// Whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<u16> {
            let stream = TcpStream::connect_timeout(&self.place.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut connection = Connection::new(stream);
            io::Write::write_all(
                &mut connection.stream,
                b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            )?;
            Ok(connection.response_head()?.0)
        };
        asked().is_ok_and(|status| status == 200)
    }

    /// Waits until the gateway is ready; returns whether it is in time.
    pub fn wait_ready(&self) -> bool {
        let since = Instant::now();
        while since.elapsed() < Duration::from_secs(10) {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
            self.record.add(format!("gateway {} is killed", self.name));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.path);
    }
}
