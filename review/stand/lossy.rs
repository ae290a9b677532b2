//! Engines crash while links lose packets, and their streams have neither a length nor chunks.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::caller::Request;
use crate::engine::Engine;
use crate::fleet::{self, Gateway, Record};
use crate::platform::Platform;

const ROUNDS: usize = 26;
const LONG_STREAMS: usize = 16;
const SHORT_STREAMS: usize = 24;
const EVENTS: u64 = 30;
const GAP_MS: u64 = 50;
/// The share of packets that links lose; the site has 0.025.
const LOSS: f64 = 0.025;
/// The least time after which TCP sends a lost packet again on Linux.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// The link to one engine, at the engine's address in the store.
struct Link {
    address: SocketAddr,
    gone: Arc<AtomicBool>,
    accepting: Option<JoinHandle<()>>,
}

/// Whether the next packet is lost.
fn is_lost(state: &AtomicU64, loss: f64) -> bool {
    let step = |seed: u64| {
        let mut x = seed;
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        Some(x)
    };
    let before = state.fetch_update(Ordering::SeqCst, Ordering::SeqCst, step).unwrap_or_default();
    (before >> 11) as f64 / ((1_u64 << 53) as f64) < loss
}

impl Link {
    fn start(engine: SocketAddr, loss: f64, seed: Arc<AtomicU64>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let gone = Arc::new(AtomicBool::new(false));
        let is_gone = gone.clone();
        let accepting = thread::spawn(move || {
            while !is_gone.load(Ordering::SeqCst) {
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let Ok(far) = TcpStream::connect(engine) else { continue };
                let _ = near.set_nonblocking(false);
                for stream in [&near, &far] {
                    let _ = stream.set_nodelay(true);
                }
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
                let (seed, seed2) = (seed.clone(), seed.clone());
                thread::spawn(move || pass(far2, near2, loss, &seed2));
                thread::spawn(move || pass(near, far, loss, &seed));
            }
        });
        Ok(Self { address, gone, accepting: Some(accepting) })
    }

    /// From now on connections are refused, as by the machine of a process that has ended.
    fn close(&mut self) {
        self.gone.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
    }
}

/// Passes bytes on, and then the end of the connection; each packet that is lost comes late.
fn pass(mut from: TcpStream, mut to: TcpStream, loss: f64, seed: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if is_lost(seed, loss) {
            thread::sleep(RETRANSMISSION);
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("lossy")?;
    let broken = play(&record, &folder, trouble);
    let _ = fs::remove_dir_all(&folder);
    broken
}

fn play(record: &Record, folder: &Path, trouble: bool) -> io::Result<bool> {
    // `LOSS=0` shows that crashes alone do no harm.
    let loss = match std::env::var("LOSS").as_deref() {
        Ok("0") => 0.0,
        _ if trouble => LOSS,
        _ => 0.0,
    };
    let seed = Arc::new(AtomicU64::new(fleet::unix_ms() | 1));
    record.line(format!("loss {loss}, drawn from {}", seed.load(Ordering::SeqCst)));
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let app = Engine::start("i-app")?;
    platform.put("servers", &app.id, fleet::entry("app", app.address, "z1", 1));
    let mut next = 0;
    let mut start = || -> io::Result<(Engine, Link)> {
        let engine = Engine::start(&format!("i-{next}"))?;
        next += 1;
        let link = Link::start(engine.address, loss, seed.clone())?;
        let entry = fleet::entry("model", link.address, "z2", fleet::unix_ms());
        platform.put("servers", &engine.id, entry);
        Ok((engine, link))
    };
    let mut engines = vec![start()?, start()?];
    let machine = Gateway::start(folder, "front-z1-1", "z1", address)?;
    let (mut hit, mut short) = (0, 0);
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_millis(900));
        let send = |count: usize, kind: &str, body: String| -> Vec<JoinHandle<_>> {
            let one = |number: usize| {
                let id = format!("{kind}{round}n{number}");
                let parts =
                    format!("{:x}:100,{:x}:20", 0xa00 + number, 0xb0000 + round * 100 + number);
                let request = Request::new(&id, "POST", "/draft/x", &body)
                    .with("Model", "m")
                    .with("Token-Usage", "120,180")
                    .with("Prompt-Prefix", &parts);
                let to = machine.callers;
                thread::spawn(move || (id, request.send(to)))
            };
            (0..count).map(one).collect()
        };
        let long =
            send(LONG_STREAMS, "long", format!("events={EVENTS} gap_ms={GAP_MS} framing=close"));
        thread::sleep(Duration::from_millis(150));
        let brief = send(SHORT_STREAMS, "short", "events=4 gap_ms=20".to_string());
        for caller in brief {
            caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
        }
        thread::sleep(Duration::from_millis(250));
        let mut crashed = None;
        if trouble {
            let (mut engine, mut link) = engines.remove(0);
            link.close();
            engine.kill();
            record.line(format!("{} crashes", engine.id));
            crashed = Some(engine);
        }
        for caller in long {
            let (id, answer) = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
            let by_crashed = crashed.as_ref().is_some_and(|engine| engine.runs().contains(&id));
            hit += usize::from(by_crashed);
            let pieces = answer.event_ids();
            let whole: Vec<u64> = (1..=EVENTS).collect();
            let is_short = answer.is_success() && answer.complete && pieces != whole;
            short += usize::from(is_short);
            record.line(format!(
                "{id}: status {}, {}, {} of {EVENTS} pieces, {}{}",
                answer.status,
                if answer.complete { "ends as complete" } else { "broken off" },
                pieces.len(),
                if by_crashed { "run by the engine that crashed" } else { "run by another engine" },
                if is_short { " <- ENDS AS COMPLETE BEFORE ITS LAST PIECE" } else { "" }
            ));
        }
        if let Some(engine) = crashed {
            platform.remove("servers", &engine.id);
            engines.push(start()?);
        }
    }
    record.say(format!(
        "{} streams, {hit} of them on engines that crashed; {short} ended as complete before their last piece",
        ROUNDS * LONG_STREAMS
    ));
    Ok(short > 0)
}
