//! A soak of real gateways under faults from outside, drawn from seeds.
//!
//! `cargo run --release --example soak -- --seed N [--seeds COUNT] [--steps STEPS] [--jobs JOBS]`; a
//! step injects a fault and lasts 0.7 s. Build the program first: `cargo build --release`.
#![forbid(unsafe_code)]

use std::{
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    thread,
};

use anyhow::{Context as _, ensure};
use wasabi_stand::soak;

use flags::Soak;

/// The command line.
mod flags {
    xflags::xflags! {
        /// Runs soaks and prints what each seed showed.
        cmd soak {
            /// The first seed.
            optional --seed seed: u64
            /// How many seeds.
            optional --seeds count: u64
            /// Faults a seed.
            optional --steps steps: usize
            /// Seeds at a time.
            optional --jobs jobs: usize
        }
    }
}

const STEPS: usize = 20;
const JOBS: usize = 2;

fn main() -> anyhow::Result<()> {
    let flags = Soak::from_env_or_exit();
    let first = flags.seed.unwrap_or(1);
    let end = first + flags.seeds.unwrap_or(1);
    let steps = flags.steps.unwrap_or(STEPS);
    let jobs = flags.jobs.unwrap_or(JOBS);
    let here = std::env::current_exe()?;
    let folder = here.parent().and_then(|folder| folder.parent()).context("no folder")?;
    let program = folder.join("wasabirouter").to_string_lossy().into_owned();
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
                    failed.fetch_add(usize::from(!report(&program, seed, steps)), Ordering::SeqCst);
                }
            });
        }
    });
    let failed = failed.into_inner();
    ensure!(failed == 0, "{failed} seeds failed");
    Ok(())
}

/// Runs a seed and prints what it showed; returns whether every promise held.
fn report(program: &str, seed: u64, steps: usize) -> bool {
    match soak::run(program, seed, steps) {
        Ok(outcome) => {
            let (made, served) = outcome.requests;
            println!("seed {seed}: {served} of {made} served whole, broken {:?}", outcome.broken);
            if !outcome.broken.is_empty() {
                outcome.trace.iter().for_each(|line| println!("  {seed}: {line}"));
            }
            outcome.broken.is_empty()
        }
        Err(e) => {
            println!("seed {seed}: could not be run: {e:#}");
            false
        }
    }
}
