//! VM list.

use cloverpost_platform::vms::Vms as _;
use cloverpost_platform::{discovery, memory};
use hyper::StatusCode;

use crate::platform::reply;

/// Returns the VM list.
pub async fn list(vms: &memory::Vms) -> Result<reply::Reply, reply::NoResponse> {
    match vms.list().await {
        Ok(list) => {
            let groups: Vec<_> = list.into_iter().map(discovery::Group::from).collect();
            Ok(reply::json(StatusCode::OK, "application/json", &groups))
        }
        Err(fault) => reply::fault_response(&fault, reply::status(StatusCode::SERVICE_UNAVAILABLE)),
    }
}
