//! Soak test of real gateways, with faults of the systems around them that are drawn from seeds.
//!
//! Usage: `cargo run --release --example soak -- [--seed N] [--seeds COUNT] [--steps COUNT]
//! [--jobs COUNT] [--older PROGRAM] [--logs FOLDER]`. A step injects a fault and lasts 0.7 s. Build the program first with
//! `cargo build --release`. With an older program hosts run either, and are replaced by the other one.
#![forbid(unsafe_code)]

use std::{
    fmt::Write as _,
    fs,
    path::Path,
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    thread,
};

use anyhow::{Context as _, ensure};
use wasabi_stand::soak::{self, Outcome, Programs};

use flags::Soak;

/// The command line.
mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a soak test per seed and prints the results.
        cmd soak {
            /// The first seed.
            optional --seed seed: u64
            /// Number of seeds.
            optional --seeds count: u64
            /// Number of faults per seed.
            optional --steps steps: usize
            /// Number of seeds that run at the same time.
            optional --jobs jobs: usize
            /// An older program, as `.ci/older-build` builds it.
            optional --older older: String
            /// The folder for the logs of seeds that fail.
            optional --logs logs: PathBuf
        }
    }
}

const DEFAULT_STEPS: usize = 20;
const DEFAULT_JOBS: usize = 2;

fn main() -> anyhow::Result<()> {
    let flags = Soak::from_env_or_exit();
    let first = flags.seed.unwrap_or(1);
    let end = first + flags.seeds.unwrap_or(1);
    let steps = flags.steps.unwrap_or(DEFAULT_STEPS);
    let jobs = flags.jobs.unwrap_or(DEFAULT_JOBS);
    let executable = std::env::current_exe()?;
    let directory = executable
        .parent()
        .and_then(|directory| directory.parent())
        .context("the executable has no parent directory")?;
    let program = directory.join("wasabirouter").to_string_lossy().into_owned();
    let programs = Programs { today: &program, older: flags.older.as_deref() };
    let next = AtomicU64::new(first);
    let failed = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= end {
                        return;
                    }
                    failed.fetch_add(
                        usize::from(!run_seed(programs, seed, steps, flags.logs.as_deref())),
                        Ordering::SeqCst,
                    );
                }
            });
        }
    });
    let failed = failed.into_inner();
    ensure!(failed == 0, "{failed} seeds failed");
    Ok(())
}

/// Runs a seed and prints the result; returns whether all properties held.
fn run_seed(programs: Programs<'_>, seed: u64, steps: usize, logs: Option<&Path>) -> bool {
    match soak::run(programs, seed, steps) {
        Ok(outcome) => {
            let (made, served) = outcome.requests;
            let (today, older) = outcome.starts;
            println!(
                "seed {seed}: {served} of {made} served whole, starts {today} of today's and {older} of \
                 the older build, broken {:?}",
                outcome.violations
            );
            if !outcome.violations.is_empty() {
                outcome.trace.iter().for_each(|line| println!("  {seed}: {line}"));
                let path = logs.map(|logs| logs.join(format!("{seed}.log")));
                if let Some(Err(e)) = path.map(|path| write_logs(&path, &outcome)) {
                    println!("seed {seed}: logs not written: {e}");
                }
            }
            outcome.violations.is_empty()
        }
        Err(e) => {
            println!("seed {seed}: could not be run: {e:#}");
            false
        }
    }
}

/// Writes the log lines of all hosts, each with the number of its host and process.
fn write_logs(path: &Path, outcome: &Outcome) -> std::io::Result<()> {
    let mut text = String::new();
    for (process, (host, lines)) in outcome.logs.iter().enumerate() {
        for line in lines {
            // Writing to a string does not fail.
            let _ = writeln!(text, "g{host} {process} {line}");
        }
    }
    fs::write(path, text)
}
