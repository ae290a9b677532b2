//! Plays one case against gateways that run as processes: `stand-3 CASE RECORD`. Exits with 1 if the rule of the
//! case was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the environment it
//! does the same without the disruption.

mod cases;
mod client;
mod engine;
mod gateway;
mod http;
mod json;
mod platform;
mod proxy;
mod record;
mod store;
mod world;

use std::{env, path::Path, process::exit, thread, time::Duration};

use record::Record;

/// A case that takes longer is given up.
const LONGEST: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: stand-3 CASE RECORD");
        exit(2);
    };
    let record = Record::new();
    thread::spawn(|| {
        thread::sleep(LONGEST);
        gateway::kill_all();
        eprintln!("the case took too long");
        exit(2);
    });
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "restored-versions" => cases::restored_versions(trouble, &record),
        "restored-key" => cases::restored_key(trouble, &record),
        "shared-part" => cases::shared_part(trouble, &record),
        "idle-peers" => cases::idle_peers(trouble, &record),
        "streams-in-outage" => cases::streams_in_outage(trouble, &record),
        _ => Err(format!("no case {case}")),
    };
    let (status, text) = match outcome {
        Ok((true, text)) => (0, format!("the rule held: {text}")),
        Ok((false, text)) => (1, format!("the rule was broken: {text}")),
        Err(text) => (2, format!("the case could not run: {text}")),
    };
    record.add(&text);
    println!("{text}");
    if let Err(e) = record.save(Path::new(path)) {
        eprintln!("record not written: {e}");
        exit(2);
    }
    exit(status);
}
