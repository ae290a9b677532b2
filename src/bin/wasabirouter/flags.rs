//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Routes language-model traffic with service levels and priorities.
    cmd wasabirouter {
        /// Runs a host until it gets SIGTERM; a second one ends it at once.
        cmd run {
            /// The host's settings, a JSON file.
            required --settings path: PathBuf
        }
        /// Runs a gateway on the users' platform until it gets SIGTERM.
        cmd gateway {
            /// The gateway's settings, a JSON file; by default the one that the environment
            /// variable WASABIROUTER_SETTINGS names.
            optional --settings path: PathBuf
            /// Checks the settings, names every problem, and ends.
            optional --check
        }
        /// Checks settings and names every problem.
        cmd check {
            /// The host's settings, a JSON file.
            required --settings path: PathBuf
        }
    }
}
