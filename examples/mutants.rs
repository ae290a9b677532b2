//! Switches mechanisms off one at a time, in a copy of the tree, and shows that the test of the
//! property that each carries then fails.
//!
//! `cargo run --release --example mutants [-- NAME...]` runs all mutants of `tests/mutants.json`, or
//! those named, and ends with an error if a test passes without its mechanism.
#![forbid(unsafe_code)]

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Stdio},
};

use anyhow::{Context as _, ensure};
use serde::Deserialize;

const LIST: &str = "tests/mutants.json";
const WORK: &str = "target/mutants";
/// Seconds that a waiting test waits, since most of these wait in vain.
const PATIENCE: &str = "12";
const LIMIT: &str = "60";

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
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let mutants: Vec<Mutant> = serde_json::from_str(&fs::read_to_string(LIST)?)?;
    let tree = copy_tree()?;
    let chosen = mutants.iter().filter(|m| wanted.is_empty() || wanted.contains(&m.name));
    let mut survivors = Vec::new();
    for mutant in chosen {
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

fn copy_tree() -> anyhow::Result<PathBuf> {
    let tree = Path::new(WORK).join("tree");
    let listed = Command::new("git").args(["ls-files"]).output().context("git")?;
    for file in String::from_utf8(listed.stdout)?.lines() {
        let target = tree.join(file);
        fs::create_dir_all(target.parent().context("no folder")?)?;
        let text = fs::read(file)?;
        if fs::read(&target).ok().as_ref() != Some(&text) {
            fs::write(&target, text)?;
        }
    }
    Ok(tree)
}

fn is_killed(tree: &Path, mutant: &Mutant) -> anyhow::Result<bool> {
    let path = tree.join(&mutant.file);
    let text = fs::read_to_string(&path)?;
    let found = text.matches(&mutant.from).count();
    ensure!(found == 1, "{}: its text is there {found} times", mutant.name);
    fs::write(&path, text.replace(&mutant.from, &mutant.to))?;
    let built = cargo(tree, mutant, &["--no-run"])?;
    let passed = built && cargo(tree, mutant, &[])?;
    fs::write(&path, text)?;
    ensure!(built, "{} does not build", mutant.name);
    Ok(!passed)
}

fn cargo(tree: &Path, mutant: &Mutant, more: &[&str]) -> anyhow::Result<bool> {
    let status = Command::new("timeout")
        .args(["-s", "KILL", LIMIT, "cargo", "test", "-q"])
        .args(more)
        .args(&mutant.test)
        .current_dir(tree)
        .env("CARGO_TARGET_DIR", "../target")
        .env("WASABI_TEST_PATIENCE_S", PATIENCE)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status()?;
    Ok(status.success())
}
