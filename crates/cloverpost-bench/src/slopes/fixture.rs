//! Benchmark inputs whose names and texts have realistic lengths.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};

use cloverpost_core::{id, membership, spread};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of availability zones.
const ZONES: usize = 18;
/// Regions that the availability zones belong to.
const REGIONS: [&str; 5] = [
    "northvale",
    "colombo-west",
    "southvale",
    "colombo-east",
    "midvale",
];
/// Port of peer links.
const PORT: u16 = 8082;

/// Returns a random number generator with a fixed seed.
pub fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

/// Parses a name that is known to be valid.
pub fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.expect("name should be valid")
}

/// Returns the name of the VM `index`.
pub fn vm(index: usize) -> id::Vm {
    parse_name(&format!("entry-{index:06}"))
}

/// Returns the zone of the VM `index`.
pub fn zone(index: usize) -> id::AvailabilityZone {
    let zone = index % ZONES;
    let letter = char::from(b'a' + u8::try_from(zone / REGIONS.len()).unwrap_or_default());
    parse_name(&format!("{}-{letter}", REGIONS[zone % REGIONS.len()]))
}

/// Returns the address of the VM `index`.
pub fn address(index: usize) -> SocketAddr {
    let low = u32::try_from(index).unwrap_or_default();
    SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0000 + low), PORT))
}

/// Returns the membership record of the VM `index`.
pub fn member(index: usize) -> membership::Member {
    membership::Member {
        vm: vm(index),
        zone: zone(index),
        address: address(index),
        incarnation: membership::Incarnation::new(3),
        state: membership::State::Alive,
    }
}

/// Returns the roster entry of the VM `index`.
pub fn roster_member(index: usize) -> spread::Member {
    spread::Member {
        vm: vm(index),
        run: id::Run::new(0x5eed_0000_0000 + index as u64),
        zone: zone(index),
    }
}

/// Returns a roster of `size` VMs.
pub fn roster(size: usize) -> spread::Roster {
    let roster = spread::Roster::default();
    (0..size).fold(roster, |roster, index| roster.with(roster_member(index)))
}

/// Returns the name of the organisation `index`.
pub fn organisation(index: usize) -> id::Organisation {
    parse_name(&format!("organisation-{index:04}"))
}

/// Returns the name of the entry `index`.
pub fn entry(index: usize) -> id::Entry {
    parse_name(&format!("brief-{index:04}"))
}

/// Returns a catalogue in TOML format. Each organisation may use up to ten entries; `price` is
/// the price of the first entry.
pub fn catalogue(entries: usize, organisations: usize, price: u64) -> String {
    let mut text = String::from(
        "[[class]]\nname = \"brief\"\nquality_target = 0.9\ntime_limit_ms = 20000\nvalue = 10\n\n\
         [[pool]]\nname = \"engines\"\nfencing = \"checked\"\nnot_started = [429]\n\n",
    );
    for index in 0..entries {
        let price = if index == 0 { price } else { 90 };
        let _ = write!(
            text,
            "[[entry]]\nname = \"{}\"\nmodel = \"brief\"\nversion = \"{index}\"\n\
             owner = \"drafting\"\nclass = \"brief\"\npool = \"engines\"\nprice = {price}\n\
             quality = 0.95\n\n",
            entry(index),
        );
    }
    for index in 0..organisations {
        let used: Vec<_> = (0..entries.min(10))
            .map(|at| format!("{:?}", entry(at).as_str()))
            .collect();
        let _ = write!(
            text,
            "[[organisation]]\nname = \"{}\"\nkeys = [\"sha256:{index:064x}\"]\n\
             entries = [{}]\nrequests_per_second = 100\n\n",
            organisation(index),
            used.join(", "),
        );
    }
    text
}
