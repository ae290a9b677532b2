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
        /// Checks settings and names every problem.
        cmd check {
            /// The host's settings, a JSON file.
            required --settings path: PathBuf
        }
    }
}
