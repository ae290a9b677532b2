//! The daemon that runs on every entry host.
#![forbid(unsafe_code)]

mod flags;

use std::{fs, path::Path, process::ExitCode};

use flags::{Wasabirouter, WasabirouterCmd};
use wasabi_node::{
    host, logs,
    settings::{self, Settings},
};

const EXIT_SETTINGS: u8 = 2;
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let flags = Wasabirouter::from_env_or_exit();
    match flags.subcommand {
        WasabirouterCmd::Run(run) => load(&run.settings).map_or_else(|code| code, start),
        WasabirouterCmd::Check(check) => match load(&check.settings) {
            Ok(_) => {
                println!("the settings are valid");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
    }
}

fn load(path: &Path) -> Result<Settings, ExitCode> {
    let text = fs::read_to_string(path).map_err(|e| {
        eprintln!("{}: {e}", path.display());
        ExitCode::from(EXIT_SETTINGS)
    })?;
    settings::parse(&text).map_err(|problems| {
        problems.iter().for_each(|problem| eprintln!("{problem}"));
        ExitCode::from(EXIT_SETTINGS)
    })
}

fn start(settings: Settings) -> ExitCode {
    logs::start(settings.host.as_str());
    match host::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
