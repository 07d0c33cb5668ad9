//! Request routing.

use bytes::Bytes;
use cloverpost_platform::{http as clients, memory};
use hyper::{Request, StatusCode};

use crate::platform::{control, objects, rating, reply, table, vms, weights};

/// Routes a request to the services, with the faults of its client.
pub async fn handle(
    platform: memory::Platform,
    request: Request<Bytes>,
) -> Result<reply::Reply, reply::NoResponse> {
    let view = client_view(&platform, &request);
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (request.method().as_str(), segments.as_slice()) {
        ("POST", [""]) => table::handle(&view.table, &request).await,
        ("POST", ["rate"]) => rating::handle(&view.rater, request.body()).await,
        ("POST", ["weights", model, version]) => {
            weights::handle(&view.weights, model, version).await
        }
        ("GET", ["vms"]) => vms::list(&view.vms).await,
        ("POST", ["faults"]) => Ok(control::faults(&platform, request.body())),
        ("PUT", ["vms"]) => Ok(control::set(&platform.vms, request.body())),
        ("POST", ["vms"]) => Ok(control::add(&platform.vms, request.body())),
        ("DELETE", ["vms", name]) => Ok(control::remove(&platform.vms, name)),
        ("POST", ["vms", name, "leaving"]) => Ok(control::mark_leaving(&platform.vms, name)),
        ("GET", [_, name @ ..]) if !name.is_empty() => {
            objects::get(&view.objects, &name.join("/")).await
        }
        ("PUT", [_, name @ ..]) if !name.is_empty() => {
            objects::put(&view.objects, &name.join("/"), &request).await
        }
        _ => Ok(reply::status(StatusCode::NOT_FOUND)),
    }
}

/// Returns the view of the client named in the request.
fn client_view(platform: &memory::Platform, request: &Request<Bytes>) -> memory::Platform {
    let client = request.headers().get(clients::CLIENT_HEADER);
    match client.and_then(|name| name.to_str().ok()) {
        Some(name) => platform.client(name),
        None => platform.clone(),
    }
}
