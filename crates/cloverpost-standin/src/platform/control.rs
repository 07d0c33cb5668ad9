//! Control interface.

use bytes::Bytes;
use cloverpost_core::id;
use cloverpost_platform::vms::Vm;
use cloverpost_platform::{discovery, memory};
use hyper::StatusCode;

use crate::platform::{faults, reply};

/// Reason to reject a control request.
enum Error {
    /// The body is invalid.
    Invalid(String),
    /// The VM is not listed.
    UnknownVm,
}

/// Configures faults.
pub fn faults(platform: &memory::Platform, body: &Bytes) -> reply::Reply {
    respond(parse::<faults::Faults>(body).map(|faults| faults.apply(platform)))
}

/// Replaces the VM list.
pub fn set(vms: &memory::Vms, body: &Bytes) -> reply::Reply {
    let list = parse::<Vec<discovery::Group>>(body)
        .and_then(|groups| groups.into_iter().map(parse_vm).collect::<Result<_, _>>());
    respond(list.map(|list| vms.set(list)))
}

/// Adds a VM to the list.
pub fn add(vms: &memory::Vms, body: &Bytes) -> reply::Reply {
    respond(parse(body).and_then(parse_vm).map(|vm| vms.add(vm)))
}

/// Removes a VM from the list.
pub fn remove(vms: &memory::Vms, name: &str) -> reply::Reply {
    respond(find(vms, name).map(|name| vms.remove(&name)))
}

/// Marks a VM as leaving.
pub fn mark_leaving(vms: &memory::Vms, name: &str) -> reply::Reply {
    respond(find(vms, name).map(|name| vms.mark_leaving(&name)))
}

fn parse<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Invalid(error.to_string()))
}

fn parse_vm(group: discovery::Group) -> Result<Vm, Error> {
    let vm = group.into_vm();
    let vm = vm.map_err(|error| Error::Invalid(error.to_string()))?;
    vm.ok_or_else(|| Error::Invalid("role: want `entry` or `upstream`".to_owned()))
}

fn find(vms: &memory::Vms, name: &str) -> Result<id::Vm, Error> {
    let names = vms.current().into_iter().map(|vm| vm.name);
    let mut matching = names.filter(|listed| listed.as_str() == name);
    matching.next().ok_or(Error::UnknownVm)
}

fn respond(result: Result<(), Error>) -> reply::Reply {
    match result {
        Ok(()) => reply::status(StatusCode::NO_CONTENT),
        Err(Error::Invalid(reason)) => reply::text(StatusCode::BAD_REQUEST, reason),
        Err(Error::UnknownVm) => reply::status(StatusCode::NOT_FOUND),
    }
}
