//! The daemon of a host: `run` starts a host, `gateway` a gateway (crate `wasabi_gateway`), the
//! process of one entry host on the users' platform.
#![forbid(unsafe_code)]

mod flags;

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use flags::{Gateway, Wasabirouter, WasabirouterCmd};
use wasabi_gateway::settings as gateway_settings;
use wasabi_logs::{self as logs, Queue};
use wasabi_node::{
    host,
    settings::{self, Settings},
};
use wasabi_platform::names;

const EXIT_SETTINGS: u8 = 2;
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let flags = Wasabirouter::from_env_or_exit();
    match flags.subcommand {
        WasabirouterCmd::Run(run) => load(&run.settings).map_or_else(|code| code, run_host),
        WasabirouterCmd::Gateway(gateway) => run_gateway(gateway),
        WasabirouterCmd::Check(check) => match load(&check.settings) {
            Ok(_) => {
                println!("the settings are valid");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
    }
}

fn run_gateway(flags: Gateway) -> ExitCode {
    let default_path = || env::var_os(names::SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = flags.settings.or_else(default_path) else {
        eprintln!("no settings: give --settings or set {}", names::SETTINGS_VARIABLE);
        return ExitCode::from(EXIT_SETTINGS);
    };
    let text = match read(&path) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let stated_memory = env::var(names::MEMORY_VARIABLE).ok().filter(|text| !text.is_empty());
    let memory = stated_memory.map(|text| text.parse()).transpose().map_err(|e| vec![e]);
    let cold_bound = env::var(names::COLD_BOUND_VARIABLE).ok().map(|text| text.parse());
    let cold_bound = cold_bound.transpose().map_err(|e| vec![e]);
    let evacuate_ms = env::var(names::EVACUATE_VARIABLE).ok().filter(|text| !text.is_empty());
    let evacuate_within = evacuate_ms.map(|text| gateway_settings::milliseconds(&text));
    let evacuate_within = evacuate_within.transpose().map_err(|e| vec![e]);
    let regions = env::var(names::REGIONS_VARIABLE).ok().filter(|text| !text.is_empty());
    let regions = regions.map(|text| gateway_settings::regions(&text));
    let regions = regions.transpose().map_err(|e| vec![e]);
    let parsed = gateway_settings::parse(&text).and_then(|settings| {
        Ok(gateway_settings::Settings {
            memory: settings.memory.or(memory?),
            learn_speed: settings.learn_speed
                || env::var(names::LEARN_SPEED_VARIABLE).is_ok_and(|text| text == "true"),
            share_capacity: settings.share_capacity
                || env::var(names::SHARE_CAPACITY_VARIABLE).is_ok_and(|text| text == "true"),
            evacuate_within: settings.evacuate_within.or(evacuate_within?),
            regions: match settings.regions.is_empty() {
                true => regions?.unwrap_or_default(),
                false => settings.regions,
            },
            cold_bound: settings.cold_bound.or(cold_bound?),
            ..settings
        })
    });
    let settings = match parsed {
        Ok(settings) => settings,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if flags.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    let queue = logs::start(settings.host.as_str());
    finish(wasabi_gateway::run::run(path, settings), &queue)
}

fn read(path: &Path) -> Result<String, ExitCode> {
    fs::read_to_string(path).map_err(|e| {
        eprintln!("{}: {e}", path.display());
        ExitCode::from(EXIT_SETTINGS)
    })
}

/// Reads and parses the settings of a host; on failure prints the problems and returns the exit
/// code.
fn load(path: &Path) -> Result<Settings, ExitCode> {
    let text = read(path)?;
    settings::parse(&text).map_err(|problems| {
        problems.iter().for_each(|problem| eprintln!("{problem}"));
        ExitCode::from(EXIT_SETTINGS)
    })
}

fn run_host(settings: Settings) -> ExitCode {
    let queue = logs::start(settings.host.as_str());
    finish(host::run(settings, queue.clone()), &queue)
}

/// Logs an error, writes the buffered log lines and returns the exit code.
fn finish(result: anyhow::Result<()>, queue: &Queue) -> ExitCode {
    if let Err(e) = &result {
        log::error!("{e:#}");
    }
    queue.finish();
    if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) }
}
