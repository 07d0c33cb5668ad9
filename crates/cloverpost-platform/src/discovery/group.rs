//! Target groups.

use std::fmt;

use cloverpost_core::id;

use crate::vms;

const ENTRY: &str = "entry";
const UPSTREAM: &str = "upstream";
const LIVE: &str = "live";
const LEAVING: &str = "leaving";

/// A target group, which describes one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Group {
    /// Address of the VM as `ip:port`, exactly one.
    pub targets: Vec<String>,
    /// Labels of the VM.
    pub labels: Labels,
}

/// Labels of a group. As in Prometheus, an absent label is equivalent to an empty one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Labels {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// `entry` or `upstream`, or another value for machines that are not part of the router.
    pub role: String,
    /// Pool of the upstream, empty for other roles.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub pool: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// A group of a router VM or upstream with an invalid target or label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidGroup {
    /// Name of the VM.
    name: String,
    /// Target or label that is invalid.
    field: &'static str,
}

impl Group {
    /// Converts the group to a VM, or to `None` if its role is neither `entry` nor `upstream`.
    pub fn into_vm(self) -> Result<Option<vms::Vm>, InvalidGroup> {
        let role = match self.labels.role.as_str() {
            ENTRY => vms::Role::Entry,
            UPSTREAM => vms::Role::Upstream(self.pool()?),
            _ => return Ok(None),
        };
        let [target] = self.targets.as_slice() else {
            return Err(self.invalid("want one target"));
        };
        let vm = vms::Vm {
            name: self.parse(&self.labels.name, "name")?,
            address: self.parse(target, "target")?,
            zone: self.parse(&self.labels.zone, "zone")?,
            role,
            state: self.state()?,
        };
        Ok(Some(vm))
    }

    fn pool(&self) -> Result<id::Pool, InvalidGroup> {
        self.parse(&self.labels.pool, "pool")
    }

    fn state(&self) -> Result<vms::State, InvalidGroup> {
        match self.labels.state.as_str() {
            LIVE => Ok(vms::State::Live),
            LEAVING => Ok(vms::State::Leaving),
            _ => Err(self.invalid("state")),
        }
    }

    fn parse<T: std::str::FromStr>(
        &self,
        text: &str,
        field: &'static str,
    ) -> Result<T, InvalidGroup> {
        text.parse().map_err(|_| self.invalid(field))
    }

    fn invalid(&self, field: &'static str) -> InvalidGroup {
        InvalidGroup {
            name: self.labels.name.clone(),
            field,
        }
    }
}

impl From<vms::Vm> for Group {
    fn from(vm: vms::Vm) -> Self {
        let (role, pool) = match vm.role {
            vms::Role::Entry => (ENTRY, String::new()),
            vms::Role::Upstream(pool) => (UPSTREAM, pool.to_string()),
        };
        let state = match vm.state {
            vms::State::Live => LIVE,
            vms::State::Leaving => LEAVING,
        };
        Self {
            targets: vec![vm.address.to_string()],
            labels: Labels {
                name: vm.name.to_string(),
                zone: vm.zone.to_string(),
                role: role.to_owned(),
                pool,
                state: state.to_owned(),
            },
        }
    }
}

impl fmt::Display for InvalidGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "VM `{}` of the list: bad {}", self.name, self.field)
    }
}

impl std::error::Error for InvalidGroup {}
