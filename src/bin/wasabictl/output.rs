//! Output of the client: failures, exit codes and tables.

use serde_json::{Value, json};
use wasabi_config::{log::AcceptError, state::Problem};
use wasabi_core::errors::{Code, Error};

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The arguments are not valid; the text says why.
    Arguments(String),
    /// The note is not valid or conflicts with an accepted one.
    Problems(Vec<Problem>),
    /// A checked file is not valid; what is wrong with it has been printed.
    Reported,
    /// Any other failure.
    Error(Error),
}

impl Failure {
    /// Returns the exit code; the help text in `flags` lists the meanings.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_) => 2,
            Self::Problems(problems) => {
                let conflict =
                    |p: &Problem| matches!(p.code, Code::NoteConflict | Code::NoteReused);
                if problems.iter().all(conflict) { 4 } else { 3 }
            }
            Self::Reported => 3,
            Self::Error(e) => match e.code {
                Code::StoreUnavailable | Code::StoreBusy | Code::PeerUnavailable => 5,
                Code::ObjectMissing => 6,
                _ => 1,
            },
        }
    }
}

impl From<Error> for Failure {
    fn from(e: Error) -> Self {
        Self::Error(e)
    }
}

impl From<AcceptError> for Failure {
    fn from(error: AcceptError) -> Self {
        match error {
            AcceptError::Problems(problems) => Self::Problems(problems),
            AcceptError::Store(e) => Self::Error(e),
        }
    }
}

/// Prints a failure: to standard error as text, or to standard output as JSON.
pub fn failure(failure: &Failure, as_json: bool) {
    if as_json {
        if !matches!(failure, Failure::Reported) {
            println!("{}", failure_json(failure));
        }
        return;
    }
    match failure {
        Failure::Reported => {}
        Failure::Arguments(text) => eprintln!("{text}"),
        Failure::Problems(problems) => problems.iter().for_each(|p| eprintln!("{p}")),
        Failure::Error(e) => eprintln!("{e}"),
    }
}

fn failure_json(failure: &Failure) -> Value {
    let problem = |p: &Problem| json!({"code": p.code.number(), "path": p.path, "text": p.text});
    match failure {
        Failure::Reported => json!({"problems": []}),
        Failure::Arguments(text) => json!({"problems": [{"text": text}]}),
        Failure::Problems(problems) => {
            json!({"problems": problems.iter().map(problem).collect::<Vec<_>>()})
        }
        Failure::Error(e) => {
            json!({"problems": [{"code": e.code.number(), "text": e.to_string()}]})
        }
    }
}

/// Prints rows under headings, each column as wide as its widest cell; every row needs a cell for
/// each heading.
pub fn table(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([headings[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let line = |cells: &[String]| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(&headings.iter().map(ToString::to_string).collect::<Vec<_>>());
    rows.iter().for_each(|row| line(row));
}
