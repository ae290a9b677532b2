//! The cases of the review that are scripts, and their stand-ins: `stand CASE FOLDER`.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod caller;
mod engine;
mod entry;
mod fleet;
mod http;
mod json;
mod large;
mod leaving;
mod lossy;
mod platform;
mod relay;
mod silent;
mod spoiled;
mod taken_up;
mod unread;
mod upgraded;
mod versions;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// No case may take longer.
const TIME_LIMIT: Duration = Duration::from_secs(118);

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, argument] = &words[..] else {
        eprintln!("stand CASE FOLDER");
        return ExitCode::from(2);
    };
    if case == "mind" {
        return fleet::mind().map_or(ExitCode::from(2), |()| ExitCode::SUCCESS);
    }
    if case == "engine" {
        return engine::run(argument).map_or(ExitCode::from(2), |()| ExitCode::SUCCESS);
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(argument);
    let broken = match case.as_str() {
        "entry" => entry::run(folder, trouble),
        "leaving" => leaving::run(folder, trouble),
        "large" => large::run(folder, trouble),
        "leaving-plain" => leaving::run_plain(folder, trouble),
        "lossy" => lossy::run(folder, trouble),
        "silent" => silent::run(folder, trouble),
        "spoiled" => spoiled::run(folder, trouble),
        "taken-up" => taken_up::run(folder, trouble),
        "versions" => versions::run(folder, trouble),
        "upgraded" => upgraded::run(folder, trouble),
        "unread" => unread::run(folder, trouble),
        other => Err(std::io::Error::other(format!("no case {other}"))),
    };
    match broken {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
