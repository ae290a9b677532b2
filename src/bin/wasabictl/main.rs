//! The command-line client for operators.
#![forbid(unsafe_code)]

mod commands;
mod config;
mod evacuation;
mod explain;
mod flags;
mod gateways;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Wasabictl::from_env_or_exit();
    match commands::run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output::failure(&failure, flags.json);
            ExitCode::from(failure.exit_code())
        }
    }
}
