//! The state of gateways: the era of the store that each knows, its configuration and its duties.

use serde_json::{Value, json};
use wasabi_core::errors::{Code, Error, Result};

use crate::{
    commands::fetch_dump,
    output::{self, Failure},
};

/// Prints a line for each gateway that answers at its operators' port; fails if one does not.
pub fn run(addresses: &[String], json: bool) -> Result<(), Failure> {
    if addresses.is_empty() {
        return Err(Failure::Arguments("this command needs addresses of gateways".to_string()));
    }
    let dumps: Vec<(&String, Result<Value>)> =
        addresses.iter().map(|address| (address, fetch_dump(address))).collect();
    let answered = dumps.iter().filter_map(|(_, dump)| dump.as_ref().ok());
    if json {
        let gateways: Vec<Value> = answered.map(selection).collect();
        println!("{}", json!({"gateways": gateways}));
    } else {
        let rows: Vec<Vec<String>> = answered.map(row).collect();
        let columns =
            ["HOST", "STATE", "ERA", "SINCE_S", "STORE", "CONFIG", "DUTIES", "COLD", "EVACUATED"];
        output::table(&columns, &rows);
    }
    let silent: Vec<String> = dumps
        .iter()
        .filter_map(|(address, dump)| Some(format!("{address}: {}", dump.as_ref().err()?)))
        .collect();
    match silent.is_empty() {
        true => Ok(()),
        false => Err(Error::new(Code::PeerUnavailable, silent.join("; ")).into()),
    }
}

fn selection(dump: &Value) -> Value {
    let names = [
        "host",
        "incarnation",
        "ready",
        "stopping",
        "store",
        "config",
        "duties",
        "cold_servers",
        "evacuated",
    ];
    names.iter().map(|name| (name.to_string(), dump[*name].clone())).collect()
}

fn row(dump: &Value) -> Vec<String> {
    let store = &dump["store"];
    let state = match (dump["stopping"] == true, dump["ready"] == true) {
        (true, _) => "stopping",
        (_, true) => "ready",
        _ => "not ready",
    };
    let contents = match (store["restored"] == true, store["settled"] == true) {
        _ if store.is_null() => "-",
        (false, _) => "as it was",
        (true, false) => "restored, may be older",
        (true, true) => "restored",
    };
    let since = store["age_ms"].as_u64().map_or("-".to_string(), |ms| (ms / 1_000).to_string());
    vec![
        dump["host"].as_str().unwrap_or("-").to_string(),
        state.to_string(),
        number(&store["era"]),
        since,
        contents.to_string(),
        number(&dump["config"]["version"]),
        number(&dump["duties"]),
        number(&dump["cold_servers"]),
        names(&dump["evacuated"]),
    ]
}

fn number(value: &Value) -> String {
    value.as_u64().map_or("-".to_string(), |number| number.to_string())
}

fn names(value: &Value) -> String {
    let names = value.as_array().map(|names| names.iter().filter_map(Value::as_str).collect());
    match names {
        Some(names) if !Vec::is_empty(&names) => names.join(","),
        _ => "-".to_string(),
    }
}
