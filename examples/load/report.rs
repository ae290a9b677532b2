//! Summary of runs, as a table and as JSON.

use std::{collections::BTreeMap, fs, time::Duration};

use serde::Serialize;

use crate::{
    drive::{Outcome, RequestResult},
    workload::{Class, Workload},
};

const OUTPUT_DIR: &str = "target/load";

/// Summary of a run; shares are fractions of 1.
#[derive(Debug, Serialize)]
pub struct Summary {
    pub policy: String,
    pub seed: u64,
    pub classes: Vec<ClassSummary>,
    /// Tokens of attained requests, as a share of what the engines can generate in
    /// [`Workload::length`]; tokens received later do not count.
    pub goodput: f64,
    /// The same with the tokens of all requests.
    pub delivered: f64,
    /// Generated tokens that no caller received, as a share of those generated.
    pub wasted: f64,
    /// The smallest part of its fair share that a workspace received in a class, at most 1; see
    /// [`worst_workspace`].
    pub worst_workspace: f64,
    /// Mean CPU use of a host, as a share of a core.
    pub cpu_a_host: f64,
    /// The largest number of requests that ran or waited at one engine at the same time.
    pub peak_at_engine: usize,
}

/// Summary of a class.
#[derive(Debug, Serialize)]
pub struct ClassSummary {
    pub class: &'static str,
    pub requests: usize,
    /// The share of requests that were complete and within both targets.
    pub attained: f64,
    /// Requests refused with code 1201 (`LimitReached`) or 1202 (`Overloaded`).
    pub refused: usize,
    /// Other requests without a complete answer.
    pub broken: usize,
    /// Complete answers whose first token was late.
    pub late: usize,
    /// Complete answers whose first token was in time and whose mean token interval was too long.
    pub slow: usize,
    /// Over all requests with a first token; so is `longest_wait_ms`.
    pub first_token_p95_ms: u64,
    pub longest_wait_ms: u64,
}

/// Returns whether a request was complete and within the targets of its class.
pub fn meets_targets(class: &Class, result: &RequestResult) -> bool {
    let in_time = result.first.is_some_and(|first| first <= class.first_token_target);
    result.complete && in_time && result.mean_token_interval <= class.inter_token_target
}

/// Summarizes a run.
pub fn summarize(workload: &Workload, policy: &str, seed: u64, outcome: &Outcome) -> Summary {
    let class_of = |result: &RequestResult| workload.arrivals[result.arrival].class;
    let classes = workload.classes.iter().enumerate().map(|(i, class)| {
        let results: Vec<&RequestResult> =
            outcome.results.iter().filter(|result| class_of(result) == i).collect();
        class_summary(class, &results)
    });
    let attained_results =
        outcome.results.iter().filter(|r| meets_targets(&workload.classes[class_of(r)], r));
    let good: u64 = attained_results.map(|result| result.tokens_in_time).sum();
    let delivered: u64 = outcome.results.iter().map(|result| result.tokens).sum();
    let possible = workload.capacity() * workload.length.as_secs_f64();
    let in_time: u64 = outcome.results.iter().map(|result| result.tokens_in_time).sum();
    let wasted = outcome.generated.saturating_sub(delivered) as f64;
    let host_seconds = outcome.elapsed.as_secs_f64() * crate::workload::HOSTS as f64;
    Summary {
        policy: policy.to_string(),
        seed,
        classes: classes.collect(),
        goodput: good as f64 / possible,
        delivered: in_time as f64 / possible,
        wasted: wasted / outcome.generated.max(1) as f64,
        worst_workspace: worst_workspace(workload, outcome),
        cpu_a_host: outcome.cpu_seconds / host_seconds,
        peak_at_engine: outcome.peak_engine_load,
    }
}

fn class_summary(class: &Class, results: &[&RequestResult]) -> ClassSummary {
    let mut firsts: Vec<Duration> = results.iter().filter_map(|result| result.first).collect();
    firsts.sort();
    let p95 = firsts.get(firsts.len() * 95 / 100).copied().unwrap_or_default();
    let count = |test: &dyn Fn(&RequestResult) -> bool| results.iter().filter(|r| test(r)).count();
    let refused = count(&|result| matches!(result.error_code, Some(1201 | 1202)));
    ClassSummary {
        class: class.name,
        requests: results.len(),
        attained: count(&|r| meets_targets(class, r)) as f64 / results.len().max(1) as f64,
        refused,
        late: count(&|r| r.complete && r.first.is_some_and(|wait| wait > class.first_token_target)),
        slow: count(&|r| {
            let in_time = r.first.is_some_and(|first| first <= class.first_token_target);
            r.complete && in_time && r.mean_token_interval > class.inter_token_target
        }),
        broken: count(&|result| !result.complete) - refused,
        first_token_p95_ms: p95.as_millis() as u64,
        longest_wait_ms: firsts.last().copied().unwrap_or_default().as_millis() as u64,
    }
}

/// Returns the smallest part of its fair share that a workspace received in a class, at most 1.
///
/// The fair share is that of max-min fairness over the tokens that the class received: a workspace
/// that requests less than an equal share is due what it requests.
fn worst_workspace(workload: &Workload, outcome: &Outcome) -> f64 {
    let mut worst: f64 = 1.0;
    for class in 0..workload.classes.len() {
        let mut requested_tokens: BTreeMap<usize, f64> = BTreeMap::new();
        let mut received: BTreeMap<usize, f64> = BTreeMap::new();
        for result in &outcome.results {
            let arrival = &workload.arrivals[result.arrival];
            if arrival.class == class {
                *requested_tokens.entry(arrival.workspace).or_default() += arrival.tokens as f64;
                *received.entry(arrival.workspace).or_default() += result.tokens as f64;
            }
        }
        let shares = max_min_shares(&requested_tokens, received.values().sum());
        for (workspace, share) in shares.iter().filter(|(_, share)| **share > 0.0) {
            worst = worst.min(received[workspace] / share);
        }
    }
    worst
}

/// Divides `total` by max-min fairness.
fn max_min_shares(requested_tokens: &BTreeMap<usize, f64>, total: f64) -> BTreeMap<usize, f64> {
    let mut shares = BTreeMap::new();
    let mut remaining = total;
    let mut order: Vec<(&usize, &f64)> = requested_tokens.iter().collect();
    order.sort_by(|a, b| a.1.total_cmp(b.1));
    for (i, (workspace, requested)) in order.iter().enumerate() {
        let share = requested.min(remaining / (order.len() - i) as f64);
        remaining -= share;
        shares.insert(**workspace, share);
    }
    shares
}

/// Prints the summaries of a workload as a table, with a row per policy and class.
pub fn print(workload: &Workload, summaries: &[Summary]) {
    println!("workload {} of {} requests", workload.name, workload.arrivals.len());
    println!(
        "| policy | class | requests | attained | refused | broken | late | slow | first token p95 ms \
         | longest wait ms | goodput | delivered | wasted | worst workspace | CPU a host | peak at engine |"
    );
    println!(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for summary in summaries {
        for class in &summary.classes {
            println!(
                "| {} | {} | {} | {:.1}% | {} | {} | {} | {} | {} | {} | {:.1}% | {:.1}% | {:.1}% | {:.0}% | \
                 {:.1}% | {} |",
                summary.policy,
                class.class,
                class.requests,
                100.0 * class.attained,
                class.refused,
                class.broken,
                class.late,
                class.slow,
                class.first_token_p95_ms,
                class.longest_wait_ms,
                100.0 * summary.goodput,
                100.0 * summary.delivered,
                100.0 * summary.wasted,
                100.0 * summary.worst_workspace,
                100.0 * summary.cpu_a_host,
                summary.peak_at_engine,
            );
        }
    }
}

/// Writes the summaries of a workload as JSON.
pub fn write(workload: &Workload, seed: u64, summaries: &[Summary]) -> anyhow::Result<()> {
    fs::create_dir_all(OUTPUT_DIR)?;
    let path = format!("{OUTPUT_DIR}/{}-{seed}.json", workload.name);
    fs::write(path, serde_json::to_string_pretty(summaries)?)?;
    Ok(())
}
