//! The catalogue of the demo.

/// Pool of the engines.
pub const ENGINES: &str = "engines";
/// Pool of the booking service.
pub const SERVICES: &str = "services";
/// Key of the organisation that may use every entry.
pub const HARROWGATE_KEY: &str = "demo-harrowgate-key";
/// Key of the organisation that may use only the small version.
pub const COLOMBO_KEY: &str = "demo-colombo-key";
/// Entry that the demo withdraws.
pub const OLD: &str = "brief-old";
/// Cheap entry whose quality is below the target of the class.
pub const SMALL: &str = "brief-small";
/// Entry whose quality meets the target of the class.
pub const LARGE: &str = "brief-large";
/// Entry of the booking service.
pub const ROSTER: &str = "roster";
/// Class of the model entries.
pub const CLASS: &str = "brief";

/// The catalogue in TOML format.
pub const TEXT: &str = r#"
[[class]]
name = "brief"
quality_target = 0.9
time_limit_ms = 20000
value = 10

[[class]]
name = "rostering"
time_limit_ms = 10000
value = 20

[[pool]]
name = "engines"
fencing = "checked"
not_started = [429]

[[pool]]
name = "services"

[[entry]]
name = "brief-old"
model = "brief"
version = "0"
owner = "drafting"
class = "brief"
pool = "engines"
price = 200
quality = 0.95

[[entry]]
name = "brief-small"
model = "brief"
version = "1"
owner = "drafting"
class = "brief"
pool = "engines"
price = 10
quality = 0.8

[[entry]]
name = "brief-large"
model = "brief"
version = "2"
owner = "drafting"
class = "brief"
pool = "engines"
price = 90
quality = 0.97

[[entry]]
name = "roster"
kind = "service"
version = "1"
owner = "rostering"
class = "rostering"
pool = "services"
price = 1

[[organisation]]
name = "harrowgate"
keys = ["sha256:603e7b63295641146457cbceb945575b2dbaa82bd7453f0d3d8d70bb609a8e89"]
entries = ["brief-old", "brief-small", "brief-large", "roster"]

[[organisation]]
name = "colombo"
keys = ["sha256:dcebf56a93d53e0e9ad9d41757ad0f58b64abda6cfb3035b3e92393595aad9c0"]
entries = ["brief-small"]
"#;
