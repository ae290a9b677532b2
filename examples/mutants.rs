//! Mutation test: disables one mechanism at a time, in a copy of the source tree, and checks that
//! the test of the corresponding property then fails.
//!
//! `cargo run --release --example mutants [-- NAME...]` runs all mutants of `tests/mutants.json`,
//! or those named, and ends with an error if a test passes without its mechanism.
#![forbid(unsafe_code)]

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Stdio},
};

use anyhow::{Context as _, ensure};
use serde::Deserialize;

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
    let requested: Vec<String> = std::env::args().skip(1).collect();
    let mutants: Vec<Mutant> = serde_json::from_str(&fs::read_to_string(MUTANTS_FILE)?)?;
    let tree = copy_tree()?;
    let selected = mutants.iter().filter(|m| requested.is_empty() || requested.contains(&m.name));
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

/// Applies a mutant, runs its test, and restores the file; returns whether the test failed.
fn is_killed(tree: &Path, mutant: &Mutant) -> anyhow::Result<bool> {
    let path = tree.join(&mutant.file);
    let text = fs::read_to_string(&path)?;
    let matches = text.matches(&mutant.from).count();
    ensure!(matches == 1, "{}: `from` occurs {matches} times in the file", mutant.name);
    fs::write(&path, text.replace(&mutant.from, &mutant.to))?;
    let built = cargo(tree, mutant, &["--no-run"])?;
    let passed = built && cargo(tree, mutant, &[])?;
    fs::write(&path, text)?;
    ensure!(built, "{} does not build within {COMMAND_TIMEOUT_S} s", mutant.name);
    Ok(!passed)
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
