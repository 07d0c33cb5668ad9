//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// A model-aware router for versions and cascades.
    ///
    /// `cloverpost --version` prints the version.
    cmd cloverpost {
        /// Run an entry VM. Each flag may also be set in the environment, for example
        /// `--caller-addr` as `CLOVERPOST_CALLER_ADDR`.
        cmd serve {
            /// Check the settings and exit.
            optional --check
            /// Unique name of this VM; a replacement VM needs a new name.
            optional --vm-id name: String
            /// Availability zone of this VM.
            optional --zone name: String
            /// Region of this VM.
            optional --region name: String
            /// Listen address for callers (127.0.0.1:8080).
            optional --caller-addr address: String
            /// Listen address for operators (127.0.0.1:8081).
            optional --operator-addr address: String
            /// Listen address for other VMs (127.0.0.1:8082).
            optional --peer-addr address: String
            /// Base URL of the platform services.
            optional --platform-url url: String
            /// Key shared by the VMs. Prefer the environment variable.
            optional --peer-key secret: String
            /// Previous peer key, accepted during key rotation.
            optional --peer-key-previous secret: String
            /// Key that protects session tokens. Prefer the environment variable.
            optional --session-key secret: String
            /// Previous session key, accepted during key rotation.
            optional --session-key-previous secret: String
            /// Operators and the hashes of their keys: NAME=sha256:DIGITS,...
            optional --operator-keys list: String
            /// Log format: text or json (text).
            optional --log-format format: String
            /// Log level: off, error, warn, info, debug or trace (info).
            optional --log-level level: String
            /// Maximum size of a request body, in bytes (4194304).
            optional --max-body bytes: String
            /// Maximum size of the request headers, in bytes (65536).
            optional --max-headers bytes: String
            /// Timeout for receiving request headers (10s).
            optional --header-timeout duration: String
            /// Timeout for receiving a request body (30s).
            optional --body-timeout duration: String
            /// Maximum number of attempts for a retryable request (3).
            optional --max-attempts count: String
            /// Delay between failing /readyz and refusing requests (2s).
            optional --drain-delay duration: String
            /// Maximum wait for requests in flight during a graceful shutdown (120s).
            optional --drain-limit duration: String
            /// Timeout for calls to the platform services (2s).
            optional --platform-timeout duration: String
        }

        /// Run an entry VM on the users' platform.
        cmd gateway {
            /// Settings file (CLOVERPOST_CONFIG).
            optional --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
        }

        /// Show what happened to one request, from the logs of the VMs.
        cmd explain {
            /// Id of the request, as it appears in the logs.
            required id: String
            /// Log files, one per VM; reads standard input if none are given.
            repeated files: PathBuf
        }

        /// Read and edit the catalogue of a running VM.
        cmd catalogue {
            /// Print the latest catalogue.
            cmd show {
                /// URL of the operator interface of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
            /// Publish FILE as the next revision.
            cmd apply {
                /// Catalogue in TOML format.
                required file: PathBuf
                /// Revision that the edit is based on (the latest).
                optional --base revision: String
                /// Description of the change, for the audit trail.
                optional --comment text: String
                /// URL of the operator interface of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
            /// Withdraw an entry from service. Comments in the TOML are lost.
            cmd withdraw {
                /// Name of the entry.
                required entry: String
                /// End its sessions immediately instead of letting them finish.
                optional --at-once
                /// Description of the change, for the audit trail.
                optional --comment text: String
                /// URL of the operator interface of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
            /// Print the revision history, newest first.
            cmd history {
                /// URL of the operator interface of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
            /// Print one revision and the VMs on which it is in force.
            cmd status {
                /// Revision number.
                required revision: String
                /// Wait until it is in force on every VM.
                optional --wait
                /// URL of the operator interface of a VM (CLOVERPOST_OPERATOR_URL).
                optional --url url: String
                /// Operator key (CLOVERPOST_OPERATOR_KEY).
                optional --key key: String
            }
        }

        /// Run a stand-in for an upstream or the platform. Not for production.
        cmd standin {
            /// A model engine.
            cmd engine {
                /// Listen address (127.0.0.1:0).
                optional --addr address: String
                /// Loaded model versions: MODEL@VERSION,...
                optional --loaded list: String
                /// Tokens per answer (8).
                optional --tokens count: String
                /// Time to the first token (2ms).
                optional --first-token duration: String
                /// Time between tokens (1ms).
                optional --token-gap duration: String
                /// Maximum number of concurrent requests (16).
                optional --concurrency count: String
                /// URL of the platform stand-in to register with.
                optional --platform-url url: String
                /// Name to register under.
                optional --name name: String
                /// Availability zone to register.
                optional --zone name: String
                /// Pool to register in.
                optional --pool name: String
            }
            /// A booking service without a model.
            cmd service {
                /// Listen address (127.0.0.1:0).
                optional --addr address: String
                /// Latency of each call (1ms).
                optional --latency duration: String
                /// URL of the platform stand-in to register with.
                optional --platform-url url: String
                /// Name to register under.
                optional --name name: String
                /// Availability zone to register.
                optional --zone name: String
                /// Pool to register in.
                optional --pool name: String
            }
            /// The platform services: table, objects, discovery, weights and ratings.
            cmd platform {
                /// Listen address (127.0.0.1:0).
                optional --addr address: String
            }
        }

        /// Run a whole site in one process, on loopback.
        cmd demo {
            /// Number of entry VMs (3).
            optional --vms count: String
            /// Send this many mixed requests, check every promise and exit.
            optional --requests count: String
            /// Kill one VM halfway through.
            optional --kill
        }

        /// Run a benchmark.
        cmd bench {
            /// Latency that one hop adds compared with calling the engine directly.
            cmd hop {
                /// Requests per second at each connection count (200).
                optional --rate count: String
                /// Requests at each connection count (2000).
                optional --requests count: String
            }
            /// Routing policies compared with baselines, in simulated time.
            cmd policy {
                /// Scenario; an invalid name prints the list.
                optional --scenario name: String
                /// Random seed; the same seed gives byte-identical output (1).
                optional --seed number: String
                /// Run only this policy or baseline.
                optional --policy name: String
                /// Print JSON instead of a table.
                optional --json
                /// Write a plot of the report to this file, as SVG.
                optional --plot file: PathBuf
            }
            /// Control-plane cost of a VM per unit.
            cmd slopes {
                /// Finish within a minute, with larger errors of CPU time.
                optional --quick
                /// Also write the report to this file, as JSON.
                optional --json file: PathBuf
                /// Write a plot of the report to this file, as SVG.
                optional --plot file: PathBuf
            }
        }
    }
}
