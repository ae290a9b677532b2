//! Measures what each role costs against its size, at four sizes each, and writes the table of
//! `docs/CAPACITY.md`.
//!
//! `cargo run --release --example slopes [-- ROLE...]` measures all roles, or those named, and keeps
//! the figures of the others. Build the programs first: `cargo build --release`.
#![forbid(unsafe_code)]

mod hosts;
mod inside;

use std::fs;

use anyhow::Context as _;
use wasabi_standin::{
    rig::Programs,
    slopes::{self, Slope},
};

const DATA: &str = "docs/capacity.json";
const PAGE: &str = "docs/CAPACITY.md";
const BEGIN: &str = "<!-- measured: written by examples/slopes -->\n";
const END: &str = "<!-- end of measured -->\n";

fn main() -> anyhow::Result<()> {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let programs = programs()?;
    let mut known: Vec<Slope> = match fs::read_to_string(DATA) {
        Ok(text) => serde_json::from_str(&text)?,
        Err(_) => Vec::new(),
    };
    for (role, measure) in roles() {
        if !wanted.is_empty() && !wanted.iter().any(|name| name == role) {
            continue;
        }
        let measured = measure(&programs)?;
        known.retain(|slope| slope.role != role);
        print!("{}", slopes::table(&measured));
        known.extend(measured);
    }
    fs::write(DATA, serde_json::to_string_pretty(&known)? + "\n")?;
    write_page(&slopes::table(&known))
}

type Measure = fn(&Programs) -> anyhow::Result<Vec<Slope>>;

fn roles() -> Vec<(&'static str, Measure)> {
    vec![
        ("config", |_| inside::config()),
        ("usage", |_| inside::usage()),
        ("fleet", |_| inside::fleet()),
        ("entry", hosts::entry),
        ("home", hosts::home),
        ("once", hosts::once),
        ("host", hosts::idle),
    ]
}

fn write_page(table: &str) -> anyhow::Result<()> {
    let page = fs::read_to_string(PAGE)?;
    let (before, rest) = page.split_once(BEGIN).context("the page has no place for the table")?;
    let (_, after) = rest.split_once(END).context("the page has no end of the table")?;
    fs::write(PAGE, format!("{before}{BEGIN}{table}{END}{after}"))?;
    Ok(())
}

fn programs() -> anyhow::Result<Programs> {
    let here = std::env::current_exe()?;
    let folder = here.parent().and_then(|folder| folder.parent()).context("no folder")?;
    Ok(Programs { router: folder.join("wasabirouter"), ctl: folder.join("wasabictl") })
}
