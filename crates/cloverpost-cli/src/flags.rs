//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// A model-aware router for versions and cascades.
    ///
    /// `cloverpost --version` prints the version.
    cmd cloverpost {
        /// Run an entry VM. Each flag may also stand in the environment:
        /// `--caller-addr` as `CLOVERPOST_CALLER_ADDR`.
        cmd serve {
            /// Check the settings and exit.
            optional --check
            /// Name of this VM; a replacement needs a new one.
            optional --vm-id name: String
            /// Availability zone that it stands in.
            optional --zone name: String
            /// Region that it stands in.
            optional --region name: String
            /// Where callers connect (127.0.0.1:8080).
            optional --caller-addr address: String
            /// Where operators connect (127.0.0.1:8081).
            optional --operator-addr address: String
            /// Where other VMs connect (127.0.0.1:8082).
            optional --peer-addr address: String
            /// Base URL of the platform's services.
            optional --platform-url url: String
            /// Key that VMs share. Better given in the environment.
            optional --peer-key secret: String
            /// The peer key before, while it is changed.
            optional --peer-key-previous secret: String
            /// Key that seals session tokens. Better given in the environment.
            optional --session-key secret: String
            /// The session key before, while it is changed.
            optional --session-key-previous secret: String
            /// Operators and the hashes of their keys: NAME=sha256:DIGITS,...
            optional --operator-keys list: String
            /// text or json (text).
            optional --log-format format: String
            /// off, error, warn, info, debug or trace (info).
            optional --log-level level: String
            /// Largest body of a request, in bytes (4194304).
            optional --max-body bytes: String
            /// Largest header block of a request, in bytes (65536).
            optional --max-headers bytes: String
            /// Longest time for headers to arrive (10s).
            optional --header-timeout duration: String
            /// Longest time for a body to arrive (30s).
            optional --body-timeout duration: String
            /// Most times that a repeatable request is sent (3).
            optional --max-attempts count: String
            /// Time between failing /readyz and refusing requests (2s).
            optional --drain-delay duration: String
            /// Longest wait for requests in flight on a planned stop (120s).
            optional --drain-limit duration: String
            /// Longest wait for the platform's services (2s).
            optional --platform-timeout duration: String
        }

        /// Run an entry VM on the users' platform.
        cmd gateway {
            /// Settings file (CLOVERPOST_CONFIG).
            optional --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
        }

        /// Tell the course of one request from VMs' logs.
        cmd explain {
            /// The request's id, as its lines bear it.
            required id: String
            /// Logs, a VM each; none: standard input.
            repeated files: PathBuf
        }

        /// Read and edit the catalogue of a running VM.
        cmd catalogue {
            /// Print the newest catalogue.
            cmd show {
                /// Operators' address of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator's key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
            /// Make FILE the next revision.
            cmd apply {
                /// The catalogue, as TOML.
                required file: PathBuf
                /// Revision that the edit was made from; the newest if absent.
                optional --base revision: String
                /// What changes, for the audit trail.
                optional --comment text: String
                /// Operators' address of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator's key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
            /// Take an entry out of service. Comments of the TOML are lost.
            cmd withdraw {
                /// Name of the entry.
                required entry: String
                /// End its sessions too, instead of letting them finish.
                optional --at-once
                /// What changes, for the audit trail.
                optional --comment text: String
                /// Operators' address of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator's key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
            /// Print who changed what, newest first.
            cmd history {
                /// Operators' address of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator's key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
            /// Print one revision and where it is in force.
            cmd status {
                /// Number of the revision.
                required revision: String
                /// Wait until it is in force on every VM.
                optional --wait
                /// Operators' address of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator's key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
        }

        /// Run a stand-in of what stands round the router. Not for production.
        cmd standin {
            /// A model engine.
            cmd engine {
                /// Where it listens (127.0.0.1:0).
                optional --addr address: String
                /// Versions it has loaded: MODEL@VERSION,...
                optional --loaded list: String
                /// Tokens of each answer (8).
                optional --tokens count: String
                /// Time to the first token (2ms).
                optional --first-token duration: String
                /// Time between tokens (1ms).
                optional --token-gap duration: String
                /// Requests that run at once (16).
                optional --concurrency count: String
                /// Platform stand-in to be listed at.
                optional --platform-url url: String
                /// Name on that list.
                optional --name name: String
                /// Availability zone on that list.
                optional --zone name: String
                /// Pool on that list.
                optional --pool name: String
            }
            /// A plain service that takes bookings.
            cmd service {
                /// Where it listens (127.0.0.1:0).
                optional --addr address: String
                /// Time that each call takes (1ms).
                optional --latency duration: String
                /// Platform stand-in to be listed at.
                optional --platform-url url: String
                /// Name on that list.
                optional --name name: String
                /// Availability zone on that list.
                optional --zone name: String
                /// Pool on that list.
                optional --pool name: String
            }
            /// The table, object, list, weight and rating services.
            cmd platform {
                /// Where it listens (127.0.0.1:0).
                optional --addr address: String
            }
        }

        /// Run the whole path in one process, on loopback.
        cmd demo {
            /// Entry VMs (3).
            optional --vms count: String
            /// Send so many mixed requests, check every promise and exit.
            optional --requests count: String
            /// Stop one VM abruptly midway.
            optional --kill
        }

        /// Measure.
        cmd bench {
            /// Overhead of one hop against calling the stand-in directly.
            cmd hop {
                /// Requests a second at each number of connections (200).
                optional --rate count: String
                /// Requests at each number of connections (2000).
                optional --requests count: String
            }
            /// The decisions against baselines, on virtual time.
            cmd policy {
                /// Scenario; a wrong name lists them all.
                optional --scenario name: String
                /// Seed; the same seed gives the same bytes (1).
                optional --seed number: String
                /// Play only this policy or baseline.
                optional --policy name: String
                /// Print JSON in place of a table.
                optional --json
                /// Draw the report into this file, as SVG.
                optional --plot file: PathBuf
            }
            /// Cost per unit of what a VM does for control.
            cmd slopes {
                /// End within a minute, with wider errors of processor time.
                optional --quick
                /// Write the report to this file too, as JSON.
                optional --json file: PathBuf
                /// Draw the report into this file, as SVG.
                optional --plot file: PathBuf
            }
        }
    }
}
