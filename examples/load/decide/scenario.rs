//! Scenarios of the simulation: hosts, engines, and the requests of callers.

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use rand_distr::{Distribution as _, Exp, LogNormal, Zipf};
use wasabi_core::call::{Part, Prompt};
use wasabi_standin::batch::Parameters;

/// A request class.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    /// Mean requests per second outside bursts.
    pub rate: f64,
    /// Target of the first event, in milliseconds.
    pub target_ms: f64,
    /// The longest time between events of a request that counts as on time, in milliseconds.
    pub max_gap_ms: f64,
    /// Time after which the caller gives up, in milliseconds.
    pub timeout_ms: f64,
    /// Value of a request on time, and of a late one.
    pub value: (f64, f64),
    /// Rank, from which the urgency of a request is derived; 0 is the most urgent.
    pub rank: u8,
    /// Mean tokens of the three parts of a prompt: shared by many sessions, shared by the requests
    /// of a session, and not shared.
    pub parts: [f64; 3],
    /// Number of different first parts, and of sessions.
    pub distinct_parts: [u64; 2],
    /// Mean tokens of the answer, and the standard deviation of their logarithm.
    pub output: (f64, f64),
    /// Bursts: start and end in milliseconds, and the factor on the rate.
    pub bursts: &'static [(f64, f64, f64)],
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub hosts: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Engines per failure domain.
    pub engines_per_domain: usize,
    pub engine_parameters: Parameters,
    /// Factors on the step durations of engines, assigned in turn.
    pub slowness: &'static [f64],
    pub classes: Vec<Class>,
    /// Time during which requests arrive.
    pub length_ms: f64,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub at_ms: f64,
    /// The index of the host that receives it.
    pub host: usize,
    /// Index into [`Scenario::classes`].
    pub class: usize,
    pub prompt: Prompt,
    /// Tokens of the answer.
    pub output: u32,
}

const ENGINE_PARAMETERS: Parameters = Parameters {
    slots: 64,
    memory_tokens: 471_098,
    tokens_per_ms: 56.9,
    chunk_tokens: 2_048,
    step_ms: 3.09,
    step_ms_per_running: 0.102,
    attention_ms_per_million_pairs: 0.165,
    first_event_delay_ms: 13.0,
    event_tokens: 7,
    slowness: 1.0,
};

/// Budget breakdowns: long prompts and short answers.
const LONG_PROMPTS: Class = Class {
    name: "long",
    rate: 252.0,
    target_ms: 600.0,
    max_gap_ms: 500.0,
    timeout_ms: 5_000.0,
    value: (2.1, 1.0),
    rank: 1,
    parts: [2_520.0, 3_780.0, 2_890.0],
    distinct_parts: [4, 2_084],
    output: (52.0, 1.4),
    bursts: &[(500.0, 9_500.0, 2.2), (17_500.0, 19_500.0, 2.0)],
};

/// Interactive streams: short prompts and long answers.
const SHORT_PROMPTS: Class = Class {
    name: "short",
    rate: 133.0,
    target_ms: 300.0,
    max_gap_ms: 300.0,
    timeout_ms: 12_000.0,
    value: (2.8, 0.45),
    rank: 0,
    parts: [119.0, 79.0, 628.0],
    distinct_parts: [80, 635],
    output: (291.0, 0.69),
    bursts: &[(11_000.0, 16_000.0, 1.9)],
};

/// Returns the scenario with this name; `None` if there is none.
pub fn by_name(name: &str) -> Option<Scenario> {
    let large = Scenario {
        name: "large",
        hosts: 74,
        domains: 3,
        engines_per_domain: 27,
        engine_parameters: ENGINE_PARAMETERS,
        slowness: &[1.0, 1.0, 1.3],
        classes: vec![LONG_PROMPTS, SHORT_PROMPTS],
        length_ms: 30_000.0,
    };
    match name {
        "large" => Some(large),
        "large-calm" => {
            let calm = |class: &Class| Class { bursts: &[], ..*class };
            Some(Scenario {
                name: "large-calm",
                classes: large.classes.iter().map(calm).collect(),
                ..large
            })
        }
        "small" => Some(Scenario {
            name: "small",
            hosts: 7,
            engines_per_domain: 8,
            engine_parameters: Parameters { event_tokens: 5, ..ENGINE_PARAMETERS },
            classes: vec![
                Class {
                    rate: 65.0,
                    target_ms: 500.0,
                    max_gap_ms: 400.0,
                    distinct_parts: [4, 625],
                    ..LONG_PROMPTS
                },
                Class { rate: 44.0, max_gap_ms: 250.0, distinct_parts: [40, 190], ..SHORT_PROMPTS },
            ],
            ..large
        }),
        "four-domains" => Some(Scenario {
            name: "four-domains",
            hosts: 89,
            domains: 4,
            engines_per_domain: 46,
            engine_parameters: Parameters {
                slots: 24,
                memory_tokens: 264_004,
                event_tokens: 8,
                ..ENGINE_PARAMETERS
            },
            slowness: &[1.0],
            classes: vec![
                Class {
                    rate: 517.0,
                    target_ms: 500.0,
                    timeout_ms: 4_000.0,
                    value: (2.1, 0.21),
                    distinct_parts: [4, 1_897],
                    ..LONG_PROMPTS
                },
                Class {
                    rate: 200.0,
                    value: (2.8, 0.084),
                    distinct_parts: [80, 954],
                    ..SHORT_PROMPTS
                },
            ],
            ..large
        }),
        "stylists" => Some(stylists(large)),
        "sixteen-slots" => Some(sixteen_slots(large)),
        "uneven" => Some(Scenario {
            name: "uneven",
            engine_parameters: Parameters {
                slots: 32,
                tokens_per_ms: 36.1,
                step_ms: 3.79,
                step_ms_per_running: 0.16,
                ..ENGINE_PARAMETERS
            },
            slowness: &[0.55, 0.9, 1.0, 1.2, 0.7],
            ..sixteen_slots(large)
        }),
        _ => None,
    }
}

/// Engines of 16 slots, and streams that tolerate a gap of 250 ms at 7 tokens an event.
fn sixteen_slots(base: Scenario) -> Scenario {
    let short = Class { max_gap_ms: 250.0, distinct_parts: [40, 190], ..SHORT_PROMPTS };
    let long =
        Class { target_ms: 500.0, max_gap_ms: 400.0, distinct_parts: [4, 625], ..LONG_PROMPTS };
    Scenario {
        name: "sixteen-slots",
        hosts: 14,
        engines_per_domain: 12,
        engine_parameters: Parameters { slots: 16, ..ENGINE_PARAMETERS },
        classes: vec![Class { rate: 95.0, ..long }, Class { rate: 80.0, ..short }],
        ..base
    }
}

/// Briefs whose first part alone is shared, by callers of all domains, beside reviews and chat.
fn stylists(base: Scenario) -> Scenario {
    Scenario {
        name: "stylists",
        hosts: 83,
        domains: 4,
        engines_per_domain: 31,
        engine_parameters: Parameters {
            slots: 32,
            memory_tokens: 587_667,
            tokens_per_ms: 56.1,
            chunk_tokens: 1_024,
            step_ms: 6.45,
            step_ms_per_running: 0.0967,
            attention_ms_per_million_pairs: 0.309,
            first_event_delay_ms: 93.0,
            event_tokens: 4,
            slowness: 1.0,
        },
        slowness: &[1.0],
        classes: vec![
            Class {
                name: "brief",
                rate: 133.0,
                target_ms: 2_000.0,
                max_gap_ms: 600.0,
                timeout_ms: 12_000.0,
                value: (1.5, 0.79),
                rank: 2,
                parts: [13_300.0, 16.0, 3_720.0],
                distinct_parts: [731, 731],
                output: (120.0, 1.4),
                bursts: &[(500.0, 9_500.0, 2.5), (17_500.0, 23_500.0, 2.0)],
            },
            Class {
                name: "review",
                rate: 76.6,
                target_ms: 1_200.0,
                max_gap_ms: 250.0,
                timeout_ms: 6_000.0,
                value: (2.3, 1.2),
                rank: 1,
                distinct_parts: [4, 365],
                bursts: &[],
                ..LONG_PROMPTS
            },
            Class {
                name: "chat",
                rate: 91.1,
                target_ms: 1_200.0,
                max_gap_ms: 150.0,
                timeout_ms: 15_000.0,
                value: (2.3, 0.36),
                rank: 0,
                parts: [210.0, 140.0, 1_110.0],
                distinct_parts: [80, 974],
                output: (172.0, 0.89),
                bursts: &[(11_000.0, 16_000.0, 2.3)],
            },
        ],
        ..base
    }
}

/// Draws the requests of a scenario, ordered by time.
pub fn requests(scenario: &Scenario, seed: u64) -> anyhow::Result<Vec<Request>> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (number, class) in scenario.classes.iter().enumerate() {
        let firsts = draw_token_counts(&mut random, class.distinct_parts[0], class.parts[0], 0.4)?;
        let sessions =
            draw_token_counts(&mut random, class.distinct_parts[1], class.parts[1], 0.7)?;
        let session = Zipf::new(class.distinct_parts[1] as f64, 0.3)?;
        let mut at_ms = 0.0;
        while at_ms < scenario.length_ms {
            let burst = class.bursts.iter().find(|(from, to, _)| (*from..*to).contains(&at_ms));
            let rate = class.rate * burst.map_or(1.0, |(_, _, factor)| *factor);
            at_ms += Exp::new(rate / 1e3)?.sample(&mut random);
            let own =
                draw_log_normal(&mut random, class.parts[2], 1.0)?.clamp(16.0, 39_600.0) as u32;
            let session = session.sample(&mut random) as u64;
            let first = session % class.distinct_parts[0];
            let id = |kind: u64, thing: u64| (number as u64) << 56 | kind << 48 | thing;
            let parts = vec![
                Part { id: id(1, first), tokens: firsts[first as usize] },
                Part { id: id(2, session), tokens: sessions[session as usize - 1] },
                Part { id: id(3, requests.len() as u64), tokens: own },
            ];
            let output = draw_log_normal(&mut random, class.output.0, class.output.1)?;
            let output = output.clamp(8.0, class.output.0 * 4.0) as u32;
            let tokens = parts.iter().map(|part| part.tokens).sum();
            let host = random.random_range(0..scenario.hosts);
            let prompt = Prompt { tokens, output, parts };
            requests.push(Request { at_ms, host, class: number, prompt, output });
        }
    }
    requests.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    Ok(requests)
}

/// Draws token counts from a log-normal distribution, clamped to between 16 and three times the
/// mean.
fn draw_token_counts(
    random: &mut StdRng,
    count: u64,
    mean: f64,
    spread: f64,
) -> anyhow::Result<Vec<u32>> {
    (0..count)
        .map(|_| Ok(draw_log_normal(random, mean, spread)?.clamp(16.0, mean * 3.0) as u32))
        .collect()
}

/// Draws from a log-normal distribution with this mean; `spread` is the standard deviation of the
/// logarithm.
fn draw_log_normal(random: &mut StdRng, mean: f64, spread: f64) -> anyhow::Result<f64> {
    Ok(LogNormal::new(mean.ln() - spread * spread / 2.0, spread)?.sample(random))
}
