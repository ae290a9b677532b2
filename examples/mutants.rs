//! Mutation test: disables one mechanism at a time, in a copy of the source tree, and checks that
//! the test of the corresponding property then fails.
//!
//! `cargo run --release --example mutants [-- NAME...]` runs all mutants of `tests/mutants.json`,
//! or those named, and ends with an error if a test passes without its mechanism.
//!
//! With `--adversary SEEDS`, plays the adversary against the program without the mechanism instead, and prints
//! the first seed that shows it.
#![forbid(unsafe_code)]

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Stdio},
};

use anyhow::{Context as _, ensure};
use serde::Deserialize;
use wasabi_stand::soak::{Programs, adversary};

use flags::Mutants;

/// The command line.
mod flags {
    xflags::xflags! {
        /// Disables one mechanism at a time.
        cmd mutants {
            /// The mutants; all by default.
            repeated names: String
            /// Number of seeds that the adversary plays against each.
            optional --adversary seeds: u64
        }
    }
}

const MUTANTS_FILE: &str = "tests/mutants.json";
const WORK_DIR: &str = "target/mutants";
/// Shortens the waits of tests, most of which are expected to time out here.
const TEST_WAIT_TIMEOUT_S: &str = "12";
/// After this time a `cargo test` command is killed, which counts as a failure.
const COMMAND_TIMEOUT_S: &str = "60";

/// An entry of the list: replacing `from` by `to` in `file` must make the test fail.
#[derive(Deserialize)]
struct Mutant {
    name: String,
    property: String,
    file: String,
    from: String,
    to: String,
    /// Arguments of `cargo test`.
    test: Vec<String>,
}

fn main() -> anyhow::Result<()> {
    let flags = Mutants::from_env_or_exit();
    let requested = flags.names;
    let mutants: Vec<Mutant> = serde_json::from_str(&fs::read_to_string(MUTANTS_FILE)?)?;
    let tree = copy_tree()?;
    let selected = mutants.iter().filter(|m| requested.is_empty() || requested.contains(&m.name));
    if let Some(seeds) = flags.adversary {
        for mutant in selected {
            let found = match find_by_adversary(&tree, mutant, seeds)? {
                Some(seed) => format!("seed {seed}"),
                None => format!("not in {seeds} seeds"),
            };
            println!("| {} | {} | {found} |", mutant.property, mutant.name);
        }
        return Ok(());
    }
    let mut survivors = Vec::new();
    for mutant in selected {
        let killed = is_killed(&tree, mutant)?;
        let verdict = if killed { "fails, as it should" } else { "PASSES" };
        println!(
            "| {} | {} | {} | {verdict} |",
            mutant.property,
            mutant.name,
            mutant.test.join(" ")
        );
        if !killed {
            survivors.push(mutant.name.as_str());
        }
    }
    ensure!(survivors.is_empty(), "tests that pass without their mechanism: {survivors:?}");
    Ok(())
}

/// Copies the tracked files; files that are already there with the same content are not written, so
/// that cargo does not rebuild them.
fn copy_tree() -> anyhow::Result<PathBuf> {
    let tree = Path::new(WORK_DIR).join("tree");
    let listing = Command::new("git").args(["ls-files"]).output().context("git")?;
    for file in String::from_utf8(listing.stdout)?.lines() {
        let target = tree.join(file);
        fs::create_dir_all(target.parent().context("the file has no parent directory")?)?;
        let text = fs::read(file)?;
        if fs::read(&target).ok().as_ref() != Some(&text) {
            fs::write(&target, text)?;
        }
    }
    Ok(tree)
}

/// Runs `action` while a mutant is applied.
fn with_mutant<T>(
    tree: &Path,
    mutant: &Mutant,
    action: impl FnOnce() -> anyhow::Result<T>,
) -> anyhow::Result<T> {
    let path = tree.join(&mutant.file);
    let text = fs::read_to_string(&path)?;
    let matches = text.matches(&mutant.from).count();
    ensure!(matches == 1, "{}: `from` occurs {matches} times in the file", mutant.name);
    fs::write(&path, text.replace(&mutant.from, &mutant.to))?;
    let result = action();
    fs::write(&path, text)?;
    result
}

/// Runs the test of a mutant; returns whether it failed.
fn is_killed(tree: &Path, mutant: &Mutant) -> anyhow::Result<bool> {
    with_mutant(tree, mutant, || {
        let built = cargo(tree, mutant, &["--no-run"])?;
        let passed = built && cargo(tree, mutant, &[])?;
        ensure!(built, "{} does not build within {COMMAND_TIMEOUT_S} s", mutant.name);
        Ok(!passed)
    })
}

/// Returns the first seed with which the adversary shows a mutant.
fn find_by_adversary(tree: &Path, mutant: &Mutant, seeds: u64) -> anyhow::Result<Option<u64>> {
    with_mutant(tree, mutant, || {
        let status = Command::new("cargo")
            .args(["build", "-q", "--bin", "wasabirouter"])
            .current_dir(tree)
            .env("CARGO_TARGET_DIR", "../target")
            .status()?;
        ensure!(status.success(), "{} does not build", mutant.name);
        let program = Path::new(WORK_DIR).join("target/debug/wasabirouter");
        let programs = Programs { today: &program.to_string_lossy(), older: None };
        for seed in 1..=seeds {
            let outcome = adversary::play(programs, seed, &adversary::draw(seed))?;
            if !outcome.violations.is_empty() {
                println!("{}: {:?} {:?}", mutant.name, outcome.trace, outcome.violations);
                return Ok(Some(seed));
            }
        }
        Ok(None)
    })
}

/// Runs the test of a mutant; returns whether the command succeeded.
fn cargo(tree: &Path, mutant: &Mutant, extra_args: &[&str]) -> anyhow::Result<bool> {
    let status = Command::new("timeout")
        .args(["-s", "KILL", COMMAND_TIMEOUT_S, "cargo", "test", "-q"])
        .args(extra_args)
        .args(&mutant.test)
        .current_dir(tree)
        .env("CARGO_TARGET_DIR", "../target")
        .env("WASABI_TEST_PATIENCE_S", TEST_WAIT_TIMEOUT_S)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status()?;
    Ok(status.success())
}
