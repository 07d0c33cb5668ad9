//! Registration of VMs with a platform stand-in.

use bytes::Bytes;
use cloverpost_platform::{discovery, vms};
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;

use crate::site::Error;

/// Adds `vm` to the discovery list of the platform stand-in at `platform`.
pub async fn register(platform: &str, vm: &vms::Vm) -> Result<(), Error> {
    let failed = |reason: String| Error::Platform(reason);
    let group = discovery::Group::from(vm.clone());
    let body = serde_json::to_vec(&group).map_err(|error| failed(error.to_string()))?;
    let request = Request::post(format!("{}/vms", platform.trim_end_matches('/')))
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| failed(error.to_string()))?;
    let client = legacy::Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await;
    let response = response.map_err(|error| failed(error.to_string()))?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(failed(format!(
        "registration failed with status {}",
        response.status()
    )))
}
