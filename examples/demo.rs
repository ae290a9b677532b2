//! Runs the stand-ins and a host in this process with a sample release note, makes a call, and
//! prints further calls to try.
//!
//! With `--once` it exits after the first call was checked; otherwise it runs until Ctrl-C.
#![forbid(unsafe_code)]

use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

use anyhow::{Context as _, ensure};
use wasabi_config::{log, parse};
use wasabi_core::{
    io::Store,
    time::{self, Clock as _, System},
};
use wasabi_logs::Queue;
use wasabi_node::{host, settings};
use wasabi_remote::{http::Endpoint, store::Client};
use wasabi_standin::{
    caller::Call,
    engine::{self, Engine, Profile},
    platform::Platform,
    process::wait_until,
    rig, sample,
    service::Service,
};

const PROMPT: &str = "cost the travel line of the grant";
const TOKENS: u64 = 12;

fn main() -> anyhow::Result<()> {
    let once = std::env::args().any(|arg| arg == "--once");
    let platform = Platform::start()?;
    let engine = Engine::start("engine-0", Profile::default())?;
    let service = Service::start("service-0")?;
    let domain = "tn-north-a".parse()?;
    let sample = sample::build(&[engine.server(&domain, false)], &[service.server(&domain)]);
    let store = Client::new(Endpoint::new(&platform.url(), Duration::from_secs(2)));
    let note = parse::note(&sample.note.to_string())
        .map_err(|problems| anyhow::anyhow!("{problems:?}"))?;
    let receipt = log::accept(&store, &note, "demo", time::unix_ms(System.wall()))
        .map_err(|refusal| anyhow::anyhow!("{refusal:?}"))?;
    println!("note {} is revision {}", note.id, receipt.revision);

    let callers = start_host(&platform)?;
    let call = Call::chat(&sample.lab.secret, "costing", PROMPT, TOKENS);
    let stream = call.stream(callers)?;
    println!("answer: {}", stream.text);
    ensure!(stream.complete && stream.text == engine::answer(PROMPT, TOKENS), "a wrong answer");
    wait_until("usage is reported", || !usage_lines(&platform).is_empty())?;
    for line in usage_lines(&platform) {
        println!("usage: {line}");
    }
    print_calls(callers, &sample, &platform);
    if once {
        println!("the demo has checked itself");
        return Ok(());
    }
    println!("Ctrl-C ends the demo");
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}

/// Starts a host and waits until its configuration is in force; returns its address for callers.
fn start_host(platform: &Platform) -> anyhow::Result<SocketAddr> {
    let text = rig::settings("demo", &platform.url()).to_string();
    let settings = settings::parse(&text).map_err(|problems| anyhow::anyhow!("{problems:?}"))?;
    thread::spawn(move || {
        if let Err(e) = host::run(settings, Queue::start(io::sink())) {
            eprintln!("{e:#}");
        }
        std::process::exit(0);
    });
    let objects = Arc::new(Client::new(Endpoint::new(&platform.url(), Duration::from_secs(2))));
    let mut callers = None;
    wait_until("the host is up", || {
        callers = objects.get("host/demo").ok().flatten().and_then(|object| {
            let status: wasabi_node::status::Status = wasabi_core::io::parse(&object).ok()?;
            (status.revision.0 > 0).then_some(status.callers)
        });
        callers.is_some()
    })?;
    callers.context("the host reported no address for callers")
}

/// Returns the lines of all usage reports so far.
fn usage_lines(platform: &Platform) -> Vec<String> {
    let reports = platform.reports();
    let lines = reports.iter().flat_map(|report| &report.lines);
    let text = |line: &wasabi_core::io::UsageLine| {
        let totals = &line.figures;
        format!(
            "{}: {} requests, {} prompt tokens, {} tokens",
            line.workspace, totals.requests, totals.prompt, totals.completion
        )
    };
    lines.map(text).collect()
}

/// Prints commands that call the host.
fn print_calls(callers: SocketAddr, sample: &sample::Sample, platform: &Platform) {
    let key = &sample.lab.secret;
    println!("\ntry:");
    println!(
        "  curl -N http://{callers}/v1/chat/completions -H 'authorization: Bearer {key}' \
         -d '{{\"model\": \"costing\", \"stream\": true, \"messages\": \"hello\"}}'"
    );
    println!("  curl http://{callers}/v1/models -H 'x-api-key: {key}'");
    println!(
        "  curl http://{callers}/records/1 -H 'x-api-key: {key}' -H 'idempotency-key: a' -d '{{}}'"
    );
    println!("  curl http://{callers}/status");
    println!("  cargo run --bin wasabictl -- --platform {} status\n", platform.url());
}
