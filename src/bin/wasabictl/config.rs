//! Checks a configuration of the gateways before it is sent.

use std::{fs, path::Path};

use serde_json::{Value, json};
use wasabi_core::{
    catalog::Catalog,
    catalog_check::{self, Finding, Severity},
    catalog_diff::{self, Difference},
    errors::{Code, Error},
    units::Revision,
};
use wasabi_platform::catalog;

use crate::{
    commands::fetch_page,
    flags::CheckConfig,
    output::{self, Failure},
};

/// Checks the file that the flags name, prints what is wrong with it and how it differs from the configuration
/// in force, and fails if it should not be sent.
pub fn check(flags: &CheckConfig, json: bool) -> Result<(), Failure> {
    let (new, mut findings) = match read(&flags.file)? {
        Ok((new, lost)) => (Some(new), lost),
        Err(error) => (None, vec![Finding::error(error.code, "", error.detail)]),
    };
    let mut differences = None;
    if let Some(new) = &new {
        findings.extend(catalog_check::check(new));
        differences = compare(flags, new, &mut findings)?;
    }
    print(&findings, differences.as_deref(), json);
    match findings.iter().any(|finding| finding.severity == Severity::Error) {
        true => Err(Failure::Reported),
        false => Ok(()),
    }
}

/// Reads a configuration; the inner result is that of decoding it.
fn read(path: &Path) -> Result<Result<(Catalog, Vec<Finding>), Error>, Failure> {
    let text = fs::read_to_string(path)
        .map_err(|e| Failure::Arguments(format!("{}: {e}", path.display())))?;
    let value = serde_json::from_str(&text);
    let value = value.map_err(|e| Error::new(Code::NoteInvalid, e.to_string()));
    Ok(value.and_then(|value| catalog::decode_with_findings(&value)))
}

/// Returns the differences from the configuration in force, if the flags say where that is.
fn compare(
    flags: &CheckConfig,
    new: &Catalog,
    findings: &mut Vec<Finding>,
) -> Result<Option<Vec<Difference>>, Failure> {
    let (in_force, keys) = match (&flags.against, &flags.gateway) {
        (Some(_), Some(_)) => {
            let text = "--against and --gateway exclude each other";
            return Err(Failure::Arguments(text.to_string()));
        }
        (Some(path), None) => {
            let (old, _) = read(path)??;
            (catalog_diff::summary(&old), catalog_diff::compare_keys(&old, new))
        }
        (None, Some(address)) => (fetch_page(address, "config")?, Vec::new()),
        (None, None) => return Ok(None),
    };
    if let Some(version) = in_force["version"].as_u64() {
        findings.extend(catalog_check::check_version(new.version, Revision(version)));
    }
    let mut differences = catalog_diff::compare(&in_force, &catalog_diff::summary(new));
    differences.extend(keys);
    Ok(Some(differences))
}

fn print(findings: &[Finding], differences: Option<&[Difference]>, json: bool) {
    if json {
        let finding = |finding: &Finding| {
            let Finding { path, code, severity, text } = finding;
            json!({"severity": severity, "code": code.number(), "path": path, "text": text})
        };
        let findings: Vec<Value> = findings.iter().map(finding).collect();
        println!("{}", json!({"findings": findings, "differences": differences}));
        return;
    }
    let row = |finding: &Finding| {
        let severity = match finding.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        let code = format!("E{}", finding.code.number());
        vec![severity.to_string(), code, finding.path.clone(), finding.text.clone()]
    };
    match findings {
        [] => println!("no findings"),
        _ => {
            let rows: Vec<Vec<String>> = findings.iter().map(row).collect();
            output::table(&["SEVERITY", "CODE", "PATH", "TEXT"], &rows);
        }
    }
    let row = |difference: &Difference| {
        let text = |value: &Value| match value {
            Value::Null => "-".to_string(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        vec![difference.path.clone(), text(&difference.before), text(&difference.after)]
    };
    match differences {
        None => {}
        Some([]) => println!("no differences from the configuration in force"),
        Some(differences) => {
            let rows: Vec<Vec<String>> = differences.iter().map(row).collect();
            output::table(&["PATH", "IN FORCE", "NEW"], &rows);
        }
    }
}
