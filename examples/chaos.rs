//! Runs the chaos test: random faults under load, drawn from seeds, and a check of all properties.
//!
//! Usage: `cargo run --release --example chaos -- [--seed N] [--seeds COUNT] [--steps COUNT]`. A
//! step injects two faults at once and lasts about a second. Build the programs first with
//! `cargo build --release`.
#![forbid(unsafe_code)]

use anyhow::{Context as _, ensure};
use wasabi_standin::{chaos, rig::Programs};

const DEFAULT_STEPS: usize = 12;

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let option = |name: &str, default: u64| -> anyhow::Result<u64> {
        let at = args.iter().position(|arg| arg == name);
        at.and_then(|at| args.get(at + 1)).map_or(Ok(default), |text| Ok(text.parse()?))
    };
    let first = option("--seed", 1)?;
    let seeds = option("--seeds", 1)?;
    let steps = option("--steps", DEFAULT_STEPS as u64)? as usize;
    let executable = std::env::current_exe()?;
    let directory = executable
        .parent()
        .and_then(|directory| directory.parent())
        .context("the executable has no parent directory")?;
    let programs =
        Programs { router: directory.join("wasabirouter"), ctl: directory.join("wasabictl") };
    let mut broken = 0;
    for seed in first..first + seeds {
        let outcome = chaos::run(programs.clone(), seed, steps)?;
        println!(
            "seed {seed}: streams {} of {} whole, calls {} of {} answered, faults {:?}, broken {}",
            outcome.streams.1,
            outcome.streams.0,
            outcome.calls.1,
            outcome.calls.0,
            outcome.faults,
            outcome.violations.len()
        );
        if !outcome.violations.is_empty() {
            outcome.trace.iter().for_each(|line| println!("  {line}"));
            outcome.violations.iter().for_each(|line| println!("  BROKEN: {line}"));
        }
        broken += outcome.violations.len();
    }
    ensure!(broken == 0, "{broken} properties did not hold");
    Ok(())
}
