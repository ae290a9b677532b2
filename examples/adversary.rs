//! Plays moves that the users' pages allow, drawn from seeds, against real gateways.
//!
//! Usage: `cargo run --release --example adversary -- [--seed N] [--seeds COUNT] [--jobs COUNT] [--program PROGRAM]
//! [--until-broken]`. Build the program first with `cargo build --release`. A run that breaks a promise is shrunk to the
//! fewest moves. The last lines count the runs by kind of move, as `docs/ADVERSARY.md` has them.
#![forbid(unsafe_code)]

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

use anyhow::{Context as _, ensure};
use wasabi_stand::soak::{
    Programs, adversary,
    moves::{Kind, Move},
};

use flags::Adversary;

/// The command line.
mod flags {
    xflags::xflags! {
        /// Plays the moves of each seed and prints what breaks a promise.
        cmd adversary {
            /// The first seed.
            optional --seed seed: u64
            /// Number of seeds.
            optional --seeds count: u64
            /// Number of seeds that run at the same time.
            optional --jobs jobs: usize
            /// The program of the hosts; that beside the example by default.
            optional --program program: String
            /// End with the first seed that breaks a promise.
            optional --until-broken
        }
    }
}

const DEFAULT_JOBS: usize = 2;

fn main() -> anyhow::Result<()> {
    let flags = Adversary::from_env_or_exit();
    let first = flags.seed.unwrap_or(1);
    let end = first + flags.seeds.unwrap_or(1);
    let program = match flags.program {
        Some(program) => program,
        None => {
            let executable = std::env::current_exe()?;
            let directory = executable.parent().and_then(|directory| directory.parent());
            let directory = directory.context("the executable has no parent directory")?;
            directory.join("wasabirouter").to_string_lossy().into_owned()
        }
    };
    let programs = Programs { today: &program, older: None };
    let (next, over) = (AtomicU64::new(first), AtomicBool::new(false));
    let (broken, counts) = (Mutex::new(Vec::new()), Mutex::new(BTreeMap::new()));
    thread::scope(|scope| {
        for _ in 0..flags.jobs.unwrap_or(DEFAULT_JOBS) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= end || over.load(Ordering::SeqCst) {
                        return;
                    }
                    let moves = adversary::draw(seed);
                    for next in &moves {
                        *counts.lock().expect("no panic").entry(name(next.kind)).or_insert(0) += 1;
                    }
                    if !run_seed(programs, seed, &moves) {
                        broken.lock().expect("no panic").push(seed);
                        over.store(flags.until_broken, Ordering::SeqCst);
                    }
                }
            });
        }
    });
    let counts: BTreeMap<String, usize> = counts.into_inner().expect("no panic");
    for (kind, sentence) in Kind::SENTENCES {
        println!("| {kind} | {sentence} | {} |", counts.get(kind).copied().unwrap_or(0));
    }
    let broken = broken.into_inner().expect("no panic");
    ensure!(broken.is_empty(), "seeds that broke a promise: {broken:?}");
    Ok(())
}

/// Returns the name of a kind of move, without its numbers.
fn name(kind: Kind) -> String {
    let text = format!("{kind:?}");
    text.split('(').next().unwrap_or_default().to_string()
}

/// Plays a seed and prints what it breaks; returns whether it broke nothing.
fn run_seed(programs: Programs<'_>, seed: u64, moves: &[Move]) -> bool {
    let shown = |moves: &[Move]| moves.iter().map(Move::to_string).collect::<Vec<_>>().join("; ");
    match adversary::play(programs, seed, moves) {
        Ok(outcome) if outcome.violations.is_empty() => {
            let (made, served) = outcome.requests;
            println!("seed {seed}: {served} of {made} served whole; {}", shown(moves));
            true
        }
        Ok(outcome) => {
            println!("seed {seed} broke {:?}; {}", outcome.violations, shown(moves));
            match adversary::shrink(programs, seed, moves) {
                Ok(fewest) => println!("seed {seed} shrunk to {}", shown(&fewest)),
                Err(e) => println!("seed {seed} not shrunk: {e}"),
            }
            false
        }
        Err(e) => {
            println!("seed {seed} could not be played: {e}");
            false
        }
    }
}
