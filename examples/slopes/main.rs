//! Measures how the cost of each role grows with its size, at four sizes each, and writes the table
//! in `docs/CAPACITY.md`.
//!
//! `cargo run --release --example slopes [-- ROLE...]` measures all roles, or only those named, and
//! keeps the earlier results of the others. Build the programs first: `cargo build --release`.
#![forbid(unsafe_code)]

mod hosts;
mod in_process;

use std::fs;

use anyhow::Context as _;
use wasabi_standin::{
    rig::Programs,
    slopes::{self, Measurement},
};

const DATA_FILE: &str = "docs/capacity.json";
const PAGE_FILE: &str = "docs/CAPACITY.md";
const TABLE_BEGIN: &str = "<!-- measured: written by examples/slopes -->\n";
const TABLE_END: &str = "<!-- end of measured -->\n";

fn main() -> anyhow::Result<()> {
    let requested: Vec<String> = std::env::args().skip(1).collect();
    let programs = programs()?;
    let mut measurements: Vec<Measurement> = match fs::read_to_string(DATA_FILE) {
        Ok(text) => serde_json::from_str(&text)?,
        Err(_) => Vec::new(),
    };
    for (role, measure) in roles() {
        if !requested.is_empty() && !requested.iter().any(|name| name == role) {
            continue;
        }
        let measured = measure(&programs)?;
        measurements.retain(|measurement| measurement.role != role);
        print!("{}", slopes::table(&measured));
        measurements.extend(measured);
    }
    fs::write(DATA_FILE, serde_json::to_string_pretty(&measurements)? + "\n")?;
    write_page(&slopes::table(&measurements))
}

type Measure = fn(&Programs) -> anyhow::Result<Vec<Measurement>>;

/// Returns the roles, each with the function that measures it.
fn roles() -> Vec<(&'static str, Measure)> {
    vec![
        ("config", |_| in_process::config()),
        ("usage", |_| in_process::usage()),
        ("fleet", |_| in_process::fleet()),
        ("entry", hosts::entry),
        ("home", hosts::home),
        ("once", hosts::claims),
        ("host", hosts::idle),
    ]
}

/// Replaces the table in the page, between its two markers.
fn write_page(table: &str) -> anyhow::Result<()> {
    let page = fs::read_to_string(PAGE_FILE)?;
    let (before, rest) = page
        .split_once(TABLE_BEGIN)
        .context("the page has no marker for the start of the table")?;
    let (_, after) =
        rest.split_once(TABLE_END).context("the page has no marker for the end of the table")?;
    fs::write(PAGE_FILE, format!("{before}{TABLE_BEGIN}{table}{TABLE_END}{after}"))?;
    Ok(())
}

fn programs() -> anyhow::Result<Programs> {
    let executable = std::env::current_exe()?;
    let directory = executable
        .parent()
        .and_then(|directory| directory.parent())
        .context("the executable has no parent directory")?;
    Ok(Programs { router: directory.join("wasabirouter"), ctl: directory.join("wasabictl") })
}
