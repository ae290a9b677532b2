//! The command line.
//!
//! `xflags` names types after the last command, so two commands cannot both have the first name `check`.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Operates a wasabirouter deployment.
    ///
    /// Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 the note or the configuration is not
    /// valid, 4 the note
    /// conflicts with an accepted one, 5 the platform or the host did not answer, 6 there is no
    /// such object.
    ///
    /// Example: wasabictl --platform http://127.0.0.1:7000 note apply note.json
    cmd wasabictl {
        /// The base address of the platform's object API.
        optional --platform url: String
        /// Prints JSON for scripts in place of tables.
        optional --json

        /// Checks, applies and lists release notes.
        cmd note {
            /// Checks a note against the configuration in force, and changes nothing.
            cmd check {
                /// The note, a JSON file.
                required file: PathBuf
            }
            /// Applies a note; applying the same note again changes nothing.
            cmd apply {
                /// The note, a JSON file.
                required file: PathBuf
            }
            /// Lists the notes in the log.
            cmd log {}
        }
        /// Handles configurations of gateways.
        cmd config {
            /// Checks a configuration before it is sent: errors, entries without effect, limits that contradict
            /// each other, and the differences from the configuration in force. Ends with 3 if it should not be
            /// sent. `check` is its short name.
            cmd check-config check {
                /// The configuration, a JSON file in the format of the platform.
                required file: PathBuf
                /// The configuration in force, a file of the same format.
                optional --against file: PathBuf
                /// The address for operators of a gateway that has the configuration in force.
                optional --gateway address: String
            }
        }
        /// Shows which hosts have which revision, and who holds which lease.
        cmd status {}
        /// Shows objects of a kind: classes, workspaces, keys, pools or routes.
        cmd get {
            /// The kind.
            required kind: String
            /// The name of one object.
            optional name: String
        }
        /// Makes keys.
        cmd key {
            /// Prints a new key, which is stored nowhere, and the entry for a note's `added.keys`.
            cmd new {
                /// The workspace that the key is for.
                required workspace: String
            }
        }
        /// Shows the state of a host's process.
        cmd dump {
            /// The host's name.
            required host: String
        }
        /// Shows of gateways the era of the store, the configuration in force, who has the duties, and which
        /// servers are restricted.
        cmd gateways {
            /// Their addresses for operators.
            repeated address: String
        }
        /// Sends no more requests to the servers of a failure domain, or ends that.
        cmd evacuate {
            /// The address of the platform's store.
            required --objects address: SocketAddr
            /// Ends the evacuation.
            optional --end
            /// The failure domain.
            required domain: String
        }
        /// Prints what all hosts logged about one request, oldest first.
        cmd explain {
            /// The request's id.
            required id: String
            /// Log files of the hosts.
            repeated file: PathBuf
        }
        /// Shows a sealed usage window.
        cmd usage {
            /// The window's number.
            required window: u64
        }
    }
}
