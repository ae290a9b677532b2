//! Collects the log lines about one request from the logs of all hosts.

use std::{fs, path::PathBuf};

use serde_json::{Map, Value};
use wasabi_core::errors::{Code, Error};

use crate::output::Failure;

/// Fields that are omitted from the list of fields in a printed line: every line has them, or they
/// are printed elsewhere in it.
const OMITTED: [&str; 6] = ["at_ms", "host", "level", "message", "module", "request"];

/// Prints the lines about a request in `files`, oldest first.
///
/// Text before the JSON object of a line, such as a time and a host, is ignored.
pub fn run(id: &str, files: &[PathBuf], json: bool) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file)
            .map_err(|e| Failure::Arguments(format!("{}: {e}", file.display())))?;
        lines.extend(text.lines().filter_map(parse).filter(|line| line["request"] == id));
    }
    if lines.is_empty() {
        return Err(Error::new(Code::ObjectMissing, format!("request {id}")).into());
    }
    lines.sort_by_key(|line| line["at_ms"].as_u64());
    for line in &lines {
        match json {
            true => println!("{line}"),
            false => println!("{}", format_line(line)),
        }
    }
    Ok(())
}

fn parse(line: &str) -> Option<Value> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn format_line(line: &Value) -> String {
    let text = |name: &str| line[name].as_str().unwrap_or("?").to_string();
    let none = Map::new();
    let fields = line.as_object().unwrap_or(&none).iter();
    let fields = fields
        .filter(|(name, value)| !OMITTED.contains(&name.as_str()) && value.as_str() != Some(""));
    let fields: Vec<String> = fields
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text:?}"),
            None => format!("{name}={value}"),
        })
        .collect();
    format!("{} {} {}: {}", line["at_ms"], text("host"), text("message"), fields.join(" "))
}
