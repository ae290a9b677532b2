//! The daemon that runs on every entry host.
#![forbid(unsafe_code)]

mod flags;

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use flags::{Gateway, Wasabirouter, WasabirouterCmd};
use wasabi_logs::{self as logs, Ring};
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
        WasabirouterCmd::Run(run) => load(&run.settings).map_or_else(|code| code, start),
        WasabirouterCmd::Gateway(gateway) => serve(gateway),
        WasabirouterCmd::Check(check) => match load(&check.settings) {
            Ok(_) => {
                println!("the settings are valid");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
    }
}

fn serve(flags: Gateway) -> ExitCode {
    let named = || env::var_os(names::SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = flags.settings.or_else(named) else {
        eprintln!("no settings: give --settings or set {}", names::SETTINGS_VARIABLE);
        return ExitCode::from(EXIT_SETTINGS);
    };
    let text = match read(&path) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let settings = match wasabi_gateway::settings::parse(&text) {
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
    let ring = logs::start(settings.host.as_str());
    ended(wasabi_gateway::run::run(path, settings), &ring)
}

fn read(path: &Path) -> Result<String, ExitCode> {
    fs::read_to_string(path).map_err(|e| {
        eprintln!("{}: {e}", path.display());
        ExitCode::from(EXIT_SETTINGS)
    })
}

fn load(path: &Path) -> Result<Settings, ExitCode> {
    let text = read(path)?;
    settings::parse(&text).map_err(|problems| {
        problems.iter().for_each(|problem| eprintln!("{problem}"));
        ExitCode::from(EXIT_SETTINGS)
    })
}

fn start(settings: Settings) -> ExitCode {
    let ring = logs::start(settings.host.as_str());
    ended(host::run(settings, ring.clone()), &ring)
}

/// Writes the last lines and returns the exit code.
fn ended(run: anyhow::Result<()>, ring: &Ring) -> ExitCode {
    if let Err(e) = &run {
        log::error!("{e:#}");
    }
    ring.finish();
    if run.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) }
}
