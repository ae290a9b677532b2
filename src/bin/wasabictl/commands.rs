//! The commands of the client.

use std::{fs, path::Path, time::Duration};

use serde::Serialize;
use serde_json::{Value, json};
use wasabi_config::{
    keys,
    log::{self, Entry},
    log_key, parse,
    state::{Problem, State, Versioned},
};
use wasabi_core::{
    errors::{Code, Error, Result},
    io::{self, Object, Store},
    note::Note,
    time::{self, Clock as _, System},
    units::{Revision, Window, WorkspaceId},
};
use wasabi_lease::holder::Record;
use wasabi_node::status::{self, Status};
use wasabi_remote::{http::Endpoint, store::Client};
use wasabi_usage::window::{self, SealedWindow};

use crate::{
    config, evacuation, explain,
    flags::{ConfigCmd, KeyCmd, NoteCmd, Wasabictl, WasabictlCmd},
    gateways,
    output::{self, Failure},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const DUMP_TIMEOUT_SECONDS: u64 = 5;
const PAGE_OBJECTS: usize = 200;

/// Runs the command that the flags name.
pub fn run(flags: &Wasabictl) -> Result<(), Failure> {
    let json = flags.json;
    match &flags.subcommand {
        WasabictlCmd::Note(note) => match &note.subcommand {
            NoteCmd::Check(check) => check_note(&*store(flags)?, &check.file, json),
            NoteCmd::Apply(apply) => apply_note(&*store(flags)?, &apply.file, json),
            NoteCmd::Log(_) => show_log(&*store(flags)?, json),
        },
        WasabictlCmd::Config(config) => match &config.subcommand {
            ConfigCmd::CheckConfig(check) => config::check(check, json),
        },
        WasabictlCmd::Status(_) => show_status(&*store(flags)?, json),
        WasabictlCmd::Get(get) => show_objects(&*store(flags)?, &get.kind, get.name.as_deref()),
        WasabictlCmd::Key(key) => match &key.subcommand {
            KeyCmd::New(new) => new_key(&new.workspace, json),
        },
        WasabictlCmd::Dump(dump) => show_dump(&*store(flags)?, &dump.host),
        WasabictlCmd::Gateways(gateways) => gateways::run(&gateways.address, json),
        WasabictlCmd::Evacuate(evacuate) => {
            evacuation::run(evacuate.objects, &evacuate.domain, !evacuate.end, json)
        }
        WasabictlCmd::Explain(explain) => explain::run(&explain.id, &explain.file, json),
        WasabictlCmd::Usage(usage) => show_usage(&*store(flags)?, Window(usage.window), json),
    }
}

fn store(flags: &Wasabictl) -> Result<Box<dyn Store>, Failure> {
    let missing = || Failure::Arguments("this command needs --platform URL".to_string());
    let url = flags.platform.as_ref().ok_or_else(missing)?;
    Ok(Box::new(Client::new(Endpoint::new(url, CALL_TIMEOUT))))
}

fn read_note(path: &Path) -> Result<Note, Failure> {
    let text = fs::read_to_string(path)
        .map_err(|e| Failure::Arguments(format!("{}: {e}", path.display())))?;
    parse::note(&text).map_err(Failure::Problems)
}

fn check_note(store: &dyn Store, path: &Path, json: bool) -> Result<(), Failure> {
    let note = read_note(path)?;
    let state = log::load(store)?;
    let accepted = state.notes.get(&note.id);
    let reused = accepted.is_some_and(|accepted| accepted.digest != log::digest(&note));
    let problems = match accepted {
        Some(_) if reused => vec![Problem {
            path: "id".to_string(),
            code: Code::NoteReused,
            text: "another note has this identity".to_string(),
        }],
        Some(_) => Vec::new(),
        None => state.check(&note),
    };
    if !problems.is_empty() {
        return Err(Failure::Problems(problems));
    }
    if json {
        println!("{}", json!({"valid": true, "revision": state.revision}));
    } else {
        println!("the note can be applied to revision {}", state.revision);
    }
    Ok(())
}

fn apply_note(store: &dyn Store, path: &Path, json: bool) -> Result<(), Failure> {
    let note = read_note(path)?;
    let token = format!("{:032x}", rand::random::<u128>());
    let receipt = log::accept(store, &note, &token, time::unix_ms(System.wall()))?;
    if json {
        println!("{}", io::render(&receipt));
    } else if receipt.repeated {
        println!("the note had been accepted as revision {}", receipt.revision);
    } else {
        println!("the note is accepted as revision {}", receipt.revision);
    }
    Ok(())
}

fn show_log(store: &dyn Store, json: bool) -> Result<(), Failure> {
    let entries: Vec<Entry> =
        list_all(store, log_key::PREFIX)?.iter().map(log::entry).collect::<Result<_>>()?;
    if json {
        println!("{}", io::render(&entries));
        return Ok(());
    }
    let count_changes = |note: &Note| {
        let count_objects = |o: &wasabi_core::note::Objects| {
            o.classes.len() + o.workspaces.len() + o.keys.len() + o.pools.len() + o.routes.len()
        };
        let w = &note.withdrawn;
        let withdrawn =
            w.classes.len() + w.workspaces.len() + w.keys.len() + w.pools.len() + w.routes.len();
        [count_objects(&note.added), count_objects(&note.changed), withdrawn].map(|n| n.to_string())
    };
    let rows: Vec<Vec<String>> = entries
        .iter()
        .map(|entry| {
            let [added, changed, withdrawn] = count_changes(&entry.note);
            let at = entry.accepted_ms.to_string();
            let id = entry.note.id.to_string();
            vec![entry.revision.to_string(), id, added, changed, withdrawn, at]
        })
        .collect();
    output::table(&["REVISION", "NOTE", "ADDED", "CHANGED", "WITHDRAWN", "ACCEPTED_MS"], &rows);
    Ok(())
}

fn show_status(store: &dyn Store, json: bool) -> Result<(), Failure> {
    let newest = newest_revision(store)?;
    let hosts: Vec<Status> =
        list_all(store, status::PREFIX)?.iter().map(io::parse).collect::<Result<_>>()?;
    let leases: Vec<(String, Record)> = list_all(store, "lease/")?
        .iter()
        .map(|object| Ok((object.key.clone(), io::parse(object)?)))
        .collect::<Result<_>>()?;
    if json {
        let leases: Vec<Value> =
            leases.iter().map(|(key, record)| json!({"key": key, "record": record})).collect();
        println!("{}", json!({"revision": newest, "hosts": hosts, "leases": leases}));
        return Ok(());
    }
    println!("newest revision: {newest}");
    let now_ms = time::unix_ms(System.wall());
    let rows: Vec<Vec<String>> = hosts.iter().map(|host| host_row(host, newest, now_ms)).collect();
    output::table(&["HOST", "DOMAIN", "REVISION", "LAG", "SEEN_S_AGO", "STATE", "CALLERS"], &rows);
    let rows: Vec<Vec<String>> = leases
        .iter()
        .map(|(key, record)| {
            let holder = record.holder.as_ref().map_or("-", |holder| holder.incarnation.as_str());
            vec![key.clone(), record.epoch.to_string(), holder.to_string()]
        })
        .collect();
    output::table(&["LEASE", "EPOCH", "HOLDER"], &rows);
    Ok(())
}

fn host_row(host: &Status, newest: Revision, now_ms: u64) -> Vec<String> {
    vec![
        host.host.to_string(),
        host.domain.to_string(),
        host.revision.to_string(),
        newest.0.saturating_sub(host.revision.0).to_string(),
        (now_ms.saturating_sub(host.written_ms) / 1000).to_string(),
        if host.leaving { "leaving" } else { "serving" }.to_string(),
        host.callers.to_string(),
    ]
}

fn newest_revision(store: &dyn Store) -> Result<Revision> {
    Ok(log::load(store)?.revision)
}

fn show_objects(store: &dyn Store, kind: &str, name: Option<&str>) -> Result<(), Failure> {
    let state = log::load(store)?;
    let all = objects(&state, kind)?;
    let Some(name) = name else {
        println!("{}", pretty(&all));
        return Ok(());
    };
    let found = all.iter().find(|object| object["object"]["name"] == name);
    let found = found.ok_or_else(|| Error::new(Code::ObjectMissing, format!("{kind} {name}")))?;
    println!("{}", pretty(found));
    Ok(())
}

fn objects(state: &State, kind: &str) -> Result<Vec<Value>, Failure> {
    fn values<'a, T: Serialize + 'a>(
        objects: impl Iterator<Item = &'a Versioned<T>>,
    ) -> Vec<Value> {
        objects.map(|v| json!({"revision": v.revision, "object": v.object})).collect()
    }
    match kind {
        "classes" => Ok(values(state.classes.values())),
        "workspaces" => Ok(values(state.workspaces.values())),
        "keys" => Ok(values(state.keys.values())),
        "pools" => Ok(values(state.pools.values())),
        "routes" => Ok(values(state.routes.values())),
        _ => Err(Failure::Arguments(format!(
            "{kind} is not a kind: try classes, workspaces, keys, pools or routes"
        ))),
    }
}

fn new_key(workspace: &str, json: bool) -> Result<(), Failure> {
    let workspace: WorkspaceId = workspace.parse()?;
    let key = keys::fresh();
    let entry = json!({"name": key.name, "workspace": workspace, "digest": key.digest});
    if json {
        println!("{}", json!({"secret": key.secret, "entry": entry}));
    } else {
        println!("key, shown only now:   {}", key.secret);
        println!("entry for added.keys:  {entry}");
    }
    Ok(())
}

fn show_dump(store: &dyn Store, host: &str) -> Result<(), Failure> {
    let object = store.get(&format!("{}{host}", status::PREFIX))?;
    let object = object.ok_or_else(|| Error::new(Code::ObjectMissing, format!("host {host}")))?;
    let status: Status = io::parse(&object)?;
    println!("{}", pretty(&fetch_dump(&status.operators.to_string())?));
    Ok(())
}

/// Fetches the state of the process whose operators' port is at `address`.
pub fn fetch_dump(address: &str) -> Result<Value> {
    fetch_page(address, "dump")
}

/// Fetches a page of JSON from the operators' port at `address`.
pub fn fetch_page(address: &str, page: &str) -> Result<Value> {
    let unavailable = |e: minreq::Error| Error::new(Code::PeerUnavailable, e.to_string());
    let url = format!("http://{address}/{page}");
    let answer = minreq::get(url).with_timeout(DUMP_TIMEOUT_SECONDS).send().map_err(unavailable)?;
    serde_json::from_str(answer.as_str().map_err(unavailable)?)
        .map_err(|e| Error::new(Code::PeerUnavailable, e.to_string()))
}

fn show_usage(store: &dyn Store, number: Window, json: bool) -> Result<(), Failure> {
    let object = store.get(&window::key(number))?;
    let object =
        object.ok_or_else(|| Error::new(Code::ObjectMissing, format!("window {number}")))?;
    let sealed: SealedWindow = io::parse(&object)?;
    let lines = window::read_lines(store, &sealed)?;
    if json {
        println!("{}", json!({"window": sealed, "lines": lines}));
        return Ok(());
    }
    println!(
        "window {number}: {} to {} ms, sent: {}",
        sealed.from_ms, sealed.until_ms, sealed.sent
    );
    let rows: Vec<Vec<String>> = lines
        .iter()
        .map(|line| {
            let figures = &line.figures;
            let numbers = [figures.requests, figures.prompt.0, figures.completion.0];
            let workspace = line.workspace.to_string();
            [workspace].into_iter().chain(numbers.map(|n| n.to_string())).collect()
        })
        .collect();
    output::table(&["WORKSPACE", "REQUESTS", "PROMPT", "COMPLETION"], &rows);
    Ok(())
}

fn list_all(store: &dyn Store, prefix: &str) -> Result<Vec<Object>> {
    let mut all: Vec<Object> = Vec::new();
    loop {
        let after = all.last().map_or(String::new(), |object| object.key.clone());
        let page = store.list(prefix, &after, PAGE_OBJECTS)?;
        if page.is_empty() {
            return Ok(all);
        }
        all.extend(page);
    }
}

fn pretty(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("plain data has a JSON form")
}
