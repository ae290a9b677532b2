//! Entries of another writer, of a service that the configuration does not name, bear the addresses of engines. They name
//! no engine to use; the engines' answers have to reach their callers.

use std::{
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use review_stand_2::{
    Host, PROGRAM, Record,
    engine::Engine,
    has_trouble,
    unframed::{EVENTS, StreamEngine},
};
use serde_json::json;
use wasabi_stand::{
    caller::{self, Request, Response},
    rig::Rig,
    store::Fault,
};

/// How long the store takes for an answer, as the small deployments' sheets have it.
const STORE_ANSWERS: Fault = Fault::Slow(Duration::from_millis(4));
/// `contact_ms` and `config_apply_ms` of the sheets.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Streams that are asked for in each part.
const STREAMS: usize = 40;
/// The deadline of their callers; one that has passed excuses a cut.
const DEADLINE: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    match play() {
        Ok(false) => ExitCode::from(0),
        Ok(true) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e:#}");
            ExitCode::from(2)
        }
    }
}

/// Asks for a stream that must not be repeated, over a connection that has brought an answer before.
fn ask(to: SocketAddr, id: &str) -> anyhow::Result<(Instant, Response, Duration)> {
    let mut connection = TcpStream::connect(to)?;
    connection.set_read_timeout(Some(Duration::from_secs(6)))?;
    Request::new("GET", "/read/x", &format!("{id}-first")).write(&mut connection)?;
    let first = caller::read(&mut connection)?;
    anyhow::ensure!(first.status == 200 && first.complete, "the first request is not served");
    let request = Request { deadline: DEADLINE, ..Request::new("POST", "/long/x", id) };
    let sent = Instant::now();
    request.write(&mut connection)?;
    let response = caller::read(&mut connection).unwrap_or_default();
    Ok((sent, response, sent.elapsed()))
}

/// Asks for streams and returns how many of those that an engine has sent whole were cut, of those that were sent within
/// `CONFIG_APPLY` of `begin`.
fn part(
    record: &Record,
    engines: &[Arc<StreamEngine>],
    hosts: &[SocketAddr],
    name: &str,
    begin: Instant,
) -> anyhow::Result<usize> {
    let callers: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (to, id) = (hosts[n % hosts.len()], format!("{name}{n}"));
            thread::sleep(Duration::from_millis(30));
            thread::spawn(move || (id.clone(), ask(to, &id)))
        })
        .collect();
    let (mut whole, mut cut, mut other) = (0, 0, 0);
    for caller in callers {
        let (id, answer) = caller.join().expect("no panic");
        let (sent, response, took) = answer?;
        let runs: Vec<_> =
            engines.iter().flat_map(|engine| engine.runs()).filter(|run| run.id == id).collect();
        let sent_whole = runs.iter().any(|run| run.ended.is_some());
        let events = response.event_ids().len();
        let is_whole = response.status == 200 && response.complete && events as u64 == EVENTS;
        match () {
            () if is_whole => whole += 1,
            () if sent_whole
                && !response.complete
                && took < DEADLINE
                && sent >= begin
                && sent < begin + CONFIG_APPLY =>
            {
                cut += 1
            }
            () => other += 1,
        }
        if !is_whole {
            record.note(format!(
                "{id}: status {}, {events} events, complete {}; engines ran it {} times, {} times to the end",
                response.status, response.complete, runs.len(),
                runs.iter().filter(|run| run.ended.is_some()).count()
            ));
        }
    }
    record.line(format!("{name}: of {STREAMS} streams {whole} reached their callers whole, {cut} were cut, {other} ended otherwise"));
    Ok(cut)
}

fn play() -> anyhow::Result<bool> {
    let record = Record::begin()?;
    let rig = Rig::start(PROGRAM)?;
    rig.store.set_fault(STORE_ANSWERS);
    // The script's own engines stand in place of the rig's.
    ["e1", "e2", "p1", "p2"].iter().for_each(|id| rig.store.remove("servers", id));
    let plain = Engine::start(rig.runtime.handle(), "i-p1")?;
    rig.store.put("servers", &plain.id, plain.entry("app"));
    let engines = (1..=3)
        .map(|number| StreamEngine::start(&format!("i-{number}"), 1_700_000_000_000 + number))
        .collect::<anyhow::Result<Vec<_>>>()?;
    for engine in &engines {
        rig.store.put("servers", &engine.id, engine.entry("llm"));
    }
    let mut hosts = ["g1", "g2"]
        .iter()
        .map(|name| Host::new(name, "d1", rig.store_address, rig.duties_address))
        .collect::<anyhow::Result<Vec<_>>>()?;
    hosts.iter_mut().try_for_each(Host::start)?;
    hosts.iter().try_for_each(Host::wait_ready)?;
    let addresses: Vec<_> = hosts.iter().map(|host| host.addresses.callers).collect();
    thread::sleep(CONTACT + Duration::from_secs(1));
    record.line("two hosts are ready and in touch; i-1, i-2 and i-3 send streams that end with their connections");
    part(&record, &engines, &addresses, "before", Instant::now())?;
    if std::env::var("TROUBLE").is_ok_and(|value| value == "restart") {
        return restart(&record, &rig, &engines, &addresses);
    }
    if has_trouble() {
        for engine in &engines {
            let name = format!("inventory-{}", engine.id);
            let mut entry = engine.entry("inventory");
            entry["born"] = json!(1_690_000_000_000_u64);
            record.line(format!("another writer stores {name}: {entry} (disruption)"));
            rig.store.put("servers", &name, entry);
        }
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    let hangup = Instant::now();
    hosts.iter().try_for_each(|host| host.signal("HUP"))?;
    record.line("both hosts get SIGHUP (planned work; their settings are as before)");
    let cut = part(&record, &engines, &addresses, "after", hangup)?;
    record.line(format!(
        "{cut} streams that an engine sent whole, asked for within {} ms of the SIGHUP, were cut",
        CONFIG_APPLY.as_millis()
    ));
    Ok(cut > 0)
}

/// `TROUBLE=restart`: the store still lists the engines under the ids that they had before they crashed and started again, as
/// it does for three heartbeats. A trial beside the case; its exit status says whether streams were cut.
fn restart(
    record: &Record,
    rig: &Rig,
    engines: &[Arc<StreamEngine>],
    addresses: &[SocketAddr],
) -> anyhow::Result<bool> {
    for engine in engines {
        let mut entry = engine.entry("llm");
        entry["born"] = json!(1_690_000_000_000_u64);
        rig.store.put("servers", &format!("i-before-{}", engine.id), entry);
    }
    record.line("the store lists each engine also under the id that it had before its restart");
    thread::sleep(Duration::from_millis(800));
    let cut = part(record, engines, addresses, "beside", Instant::now())?;
    for engine in engines {
        rig.store.remove("servers", &format!("i-before-{}", engine.id));
    }
    record.line("the former entries have expired");
    thread::sleep(Duration::from_millis(1_500));
    part(record, engines, addresses, "later", Instant::now())?;
    Ok(cut > 3)
}
