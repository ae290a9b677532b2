//! Checks a configuration before it is sent: what can never take effect, and what contradicts itself.

use std::{collections::BTreeMap, fmt, time::Duration};

use crate::{
    catalog::{Catalog, Engine, Route, Scaling, Service},
    data,
    errors::Code,
    units::Revision,
};

/// The greatest rank that engines can tell from a lower one.
const MAX_RANK: u8 = 9;

data! {
    /// What is wrong with an entry of a configuration.
    pub struct Finding {
        /// The location, for example `routes/NAME/target`. Never contains an API key.
        pub path: String,
        /// The code of the problem.
        pub code: Code,
        /// How bad it is.
        pub severity: Severity,
        /// The description for the operator.
        pub text: String,
    }

    /// Whether a configuration should be sent in spite of a finding.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Severity {
        /// It should not be sent: requests would be lost, or served otherwise than it says.
        Error,
        /// It can be sent; an entry has no effect, or less than it may seem.
        Warning,
    }
}

impl Finding {
    /// Creates a finding of severity [`Severity::Error`].
    pub fn error(code: Code, path: impl Into<String>, text: impl Into<String>) -> Self {
        Self { path: path.into(), code, severity: Severity::Error, text: text.into() }
    }

    /// Creates a finding of severity [`Severity::Warning`].
    pub fn warning(code: Code, path: impl Into<String>, text: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, ..Self::error(code, path, text) }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}: {}", self.code.number(), self.path, self.text)
    }
}

/// Returns all findings in a configuration, in the order of its entries.
pub fn check(catalog: &Catalog) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_routes(catalog, &mut findings);
    for (name, service) in &catalog.services {
        check_service(catalog, name, service, &mut findings);
    }
    check_limits(catalog, &mut findings);
    check_keys(catalog, &mut findings);
    findings
}

/// Checks that hosts would take a configuration in place of the one in force.
pub fn check_version(new: Revision, in_force: Revision) -> Option<Finding> {
    let text = format!("{new} is not greater than {in_force}, the version in force");
    (new <= in_force).then(|| Finding::error(Code::ConfigVersionOld, "version", text))
}

fn check_routes(catalog: &Catalog, findings: &mut Vec<Finding>) {
    let mut names = BTreeMap::new();
    for (number, route) in catalog.routes.iter().enumerate() {
        let path = format!("routes/{}", route.name);
        if let Some(first) = names.insert(&route.name, number) {
            let text = format!("routes {first} and {number} have this name");
            findings.push(Finding::error(Code::ConfigDuplicate, &path, text));
        }
        // Of routes that match equally well, requests get the last one; see `Catalog::route`.
        let same = |other: &&Route| {
            other.path == route.path && other.host.eq_ignore_ascii_case(&route.host)
        };
        if let Some(last) = catalog.routes[number + 1..].iter().rfind(same) {
            let text = format!("never matches: route {} has the same host and prefix", last.name);
            findings.push(Finding::error(Code::ConfigUnused, &path, text));
        }
        check_match(catalog, route, &path, findings);
        check_times(route, &path, findings);
        check_backends(catalog, route, &path, findings);
    }
}

fn check_match(catalog: &Catalog, route: &Route, path: &str, findings: &mut Vec<Finding>) {
    let unused = |field: &str, text: &str| {
        Finding::error(
            Code::ConfigUnused,
            format!("{path}/{field}"),
            format!("never matches: {text}"),
        )
    };
    let is_host_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    if route.host.is_empty() || !route.host.bytes().all(is_host_byte) {
        findings.push(unused("host", "it is compared with a host name without its port"));
    }
    if !route.path.starts_with('/') || route.path.contains(['?', '#', ' ']) {
        findings.push(unused("path", "it is compared with a path, which begins with a slash"));
    }
    if !route.path.ends_with('/') {
        let text = "also matches longer names: it does not end with a slash";
        findings.push(Finding::warning(Code::ConfigConflict, format!("{path}/path"), text));
    }
    if catalog.requires_keys && !route.open && catalog.keys.is_empty() {
        findings.push(unused("open", "requests need a key, and there is none"));
    }
    if route.rank > MAX_RANK {
        let text = format!("{} counts as {MAX_RANK} at engines", route.rank);
        findings.push(Finding::warning(Code::ConfigValueReplaced, format!("{path}/rank"), text));
    }
}

fn check_times(route: &Route, path: &str, findings: &mut Vec<Finding>) {
    let mut conflict = |field: &str, text: String| {
        findings.push(Finding::error(Code::ConfigConflict, format!("{path}/{field}"), text));
    };
    if route.timeout.is_zero() {
        conflict("timeout", "no request can be served in no time".to_string());
    }
    if route.target.is_zero() {
        conflict("target", "no response can meet a target of 0".to_string());
    }
    if route.target > route.timeout {
        conflict("target", exceeds(route.target, route.timeout));
    }
    let Some(gap) = route.target_gap else { return };
    if gap.is_zero() {
        conflict("target_gap", "no stream can meet a target of 0".to_string());
    }
    if gap > route.timeout {
        conflict("target_gap", exceeds(gap, route.timeout));
    }
    if !route.kind.is_stream() {
        let text = "has no effect: the route has no streams";
        findings.push(Finding::warning(Code::ConfigUnused, format!("{path}/target_gap"), text));
    }
}

fn exceeds(target: Duration, timeout: Duration) -> String {
    format!("{target:?} is longer than the timeout, {timeout:?}")
}

fn check_backends(catalog: &Catalog, route: &Route, path: &str, findings: &mut Vec<Finding>) {
    let total: u64 = route.backends.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 || total > u64::from(u32::MAX) {
        let text = format!("the weights sum to {total}; the sum must be 1 to {}", u32::MAX);
        findings.push(Finding::error(Code::ConfigConflict, format!("{path}/services"), text));
    }
    for (number, (service, weight)) in route.backends.iter().enumerate() {
        let path = format!("{path}/services/{service}");
        if !catalog.services.contains_key(service.as_str()) {
            let text = "there is no such service";
            findings.push(Finding::error(Code::ConfigReferenceMissing, &path, text));
        }
        if *weight == 0 && total > 0 {
            let text = "gets no requests of this route: its weight is 0";
            findings.push(Finding::warning(Code::ConfigUnused, &path, text));
        }
        if route.backends[..number].iter().any(|(other, _)| other == service) {
            let text = "the route names this service twice; the weights add up";
            findings.push(Finding::warning(Code::ConfigDuplicate, &path, text));
        }
    }
}

fn check_service(catalog: &Catalog, name: &str, service: &Service, findings: &mut Vec<Finding>) {
    let path = format!("services/{name}");
    let mut backends = catalog.routes.iter().flat_map(|route| &route.backends);
    if !backends.any(|(backend, _)| backend.as_str() == name) {
        let text = "gets no requests: no route names it";
        findings.push(Finding::warning(Code::ConfigUnused, &path, text));
    }
    let mut conflict = |field: &str, text: String| {
        findings.push(Finding::error(Code::ConfigConflict, format!("{path}/{field}"), text));
    };
    if service.max_connections == 0 {
        conflict("max_connections", "no request can be sent over no connection".to_string());
    }
    if let Some(Engine { slots, memory, .. }) = service.engine {
        if slots == 0 {
            conflict("engine/slots", "an engine without slots runs nothing".to_string());
        }
        if memory.0 == 0 {
            conflict("engine/memory", "an engine without memory runs nothing".to_string());
        }
    }
    let Some(Scaling { min, max, reclaimable_price_ratio, prices, .. }) = &service.scaling else {
        return;
    };
    if min > max {
        conflict("scaling/min", format!("{min} is greater than the maximum, {max}"));
    }
    if let Some(ratio) = reclaimable_price_ratio.filter(|ratio| !(0.0..=1.0).contains(ratio)) {
        let text = format!("{ratio} is not a part of the full price");
        conflict("scaling/reclaimable_price_ratio", text);
    }
    for (domain, price) in prices.iter().filter(|(_, price)| !(0.0..).contains(*price)) {
        conflict(&format!("scaling/prices/{domain}"), format!("{price} is not a price"));
    }
    if prices.is_empty() && *max > 0 {
        let text = "no server can be ordered: no domain has a price";
        findings.push(Finding::warning(Code::ConfigUnused, format!("{path}/scaling"), text));
    }
}

fn check_limits(catalog: &Catalog, findings: &mut Vec<Finding>) {
    let limits = &catalog.limits;
    let zeros = [
        ("max_head", limits.max_head.0 == 0),
        ("head_timeout", limits.head_timeout.is_zero()),
        ("idle_timeout", limits.idle_timeout.is_zero()),
    ];
    for (field, _) in zeros.iter().filter(|(_, is_zero)| *is_zero) {
        let text = "0 lets no request through";
        findings.push(Finding::error(Code::ConfigConflict, format!("limits/{field}"), text));
    }
    if limits.max_body.0 == 0 {
        let text = "0 lets no request with a body through";
        findings.push(Finding::warning(Code::ConfigConflict, "limits/max_body", text));
    }
    if limits.head_timeout > limits.idle_timeout {
        let text = format!(
            "{:?} has no effect beyond the idle timeout, {:?}",
            limits.head_timeout, limits.idle_timeout
        );
        findings.push(Finding::warning(Code::ConfigConflict, "limits/head_timeout", text));
    }
}

/// Checks the workspaces; nothing that is returned contains a key.
fn check_keys(catalog: &Catalog, findings: &mut Vec<Finding>) {
    let mut ranks = BTreeMap::new();
    for owner in catalog.keys.values() {
        ranks.insert(&owner.workspace, owner.rank);
    }
    if catalog.keys.contains_key("") {
        let text = "a key is empty";
        findings.push(Finding::error(Code::ConfigConflict, "workspaces", text));
    }
    let some_have_ranks = ranks.values().any(Option::is_some);
    for (workspace, rank) in ranks {
        let path = format!("workspaces/{workspace}/rank");
        match rank {
            None if some_have_ranks => {
                let text = "is missing, while others have one; the rank of the route stands in";
                findings.push(Finding::warning(Code::ConfigConflict, path, text));
            }
            Some(rank) if rank > MAX_RANK => {
                let text = format!("{rank} counts as {MAX_RANK} at engines");
                findings.push(Finding::warning(Code::ConfigValueReplaced, path, text));
            }
            _ => {}
        }
    }
}
