//! Decodes release notes, reporting all problems at once.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use wasabi_core::note::{Names, Note, Objects};

use crate::state::Problem;

/// Decodes a release note from JSON text; on failure returns every problem found.
pub fn note(text: &str) -> Result<Note, Vec<Problem>> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| vec![Problem::invalid("", e.to_string())])?;
    let Value::Object(mut fields) = value else {
        return Err(vec![Problem::invalid("", "a note is a JSON object")]);
    };
    let mut problems = Vec::new();
    let id = field(&mut fields, "id", &mut problems);
    let base = field(&mut fields, "base", &mut problems);
    let added = objects(&mut fields, "added", &mut problems);
    let changed = objects(&mut fields, "changed", &mut problems);
    let withdrawn = names(&mut fields, &mut problems);
    problems.extend(fields.keys().map(|name| Problem::invalid(name, "is not a field of a note")));
    let (Some(id), Some(base), true) = (id, base, problems.is_empty()) else {
        return Err(problems);
    };
    Ok(Note { id, base, added, changed, withdrawn })
}

fn field<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    name: &str,
    problems: &mut Vec<Problem>,
) -> Option<T> {
    let Some(value) = fields.remove(name) else {
        problems.push(Problem::invalid(name, "is missing"));
        return None;
    };
    decode(value, name, problems)
}

fn decode<T: DeserializeOwned>(value: Value, path: &str, problems: &mut Vec<Problem>) -> Option<T> {
    match serde_json::from_value(value) {
        Ok(read) => Some(read),
        Err(e) => {
            problems.push(Problem::invalid(path, e.to_string()));
            None
        }
    }
}

fn section(
    fields: &mut Map<String, Value>,
    name: &str,
    problems: &mut Vec<Problem>,
) -> Map<String, Value> {
    match fields.remove(name) {
        None => Map::new(),
        Some(Value::Object(kinds)) => kinds,
        Some(_) => {
            problems.push(Problem::invalid(name, "must be an object"));
            Map::new()
        }
    }
}

fn items<T: DeserializeOwned>(
    kinds: &mut Map<String, Value>,
    path: &str,
    kind: &str,
    problems: &mut Vec<Problem>,
) -> Vec<T> {
    let path = format!("{path}.{kind}");
    match kinds.remove(kind) {
        None => Vec::new(),
        Some(Value::Array(values)) => {
            let values = values.into_iter().enumerate();
            values.filter_map(|(i, v)| decode(v, &format!("{path}[{i}]"), problems)).collect()
        }
        Some(_) => {
            problems.push(Problem::invalid(path, "must be an array"));
            Vec::new()
        }
    }
}

/// Decodes the objects or names of each kind in one section of a note.
macro_rules! decode_section {
    ($fields:expr, $name:expr, $section:ident, $problems:expr) => {{
        let mut kinds = section($fields, $name, $problems);
        let read = $section {
            classes: items(&mut kinds, $name, "classes", $problems),
            workspaces: items(&mut kinds, $name, "workspaces", $problems),
            keys: items(&mut kinds, $name, "keys", $problems),
            pools: items(&mut kinds, $name, "pools", $problems),
            routes: items(&mut kinds, $name, "routes", $problems),
        };
        report_unknown_kinds(&kinds, $name, $problems);
        read
    }};
}

fn objects(fields: &mut Map<String, Value>, name: &str, problems: &mut Vec<Problem>) -> Objects {
    decode_section!(fields, name, Objects, problems)
}

fn names(fields: &mut Map<String, Value>, problems: &mut Vec<Problem>) -> Names {
    decode_section!(fields, "withdrawn", Names, problems)
}

fn report_unknown_kinds(kinds: &Map<String, Value>, path: &str, problems: &mut Vec<Problem>) {
    let unknown = kinds.keys();
    problems.extend(
        unknown.map(|kind| Problem::invalid(format!("{path}.{kind}"), "is not a kind of object")),
    );
}
