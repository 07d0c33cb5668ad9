//! Admission of requests.

use http::{Response, StatusCode};

use crate::host::{Body, Call, Controls, Phase, reply};
use crate::script::{Fault, Point};

/// Admits a request for work and returns the fault to apply later, or returns the response to a
/// rejected one.
pub async fn admit(call: &Call, controls: &Controls) -> Result<Option<Fault>, Response<Body>> {
    if controls.phase() == Phase::Refusing {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(reply::not_started(status, "leaving"));
    }
    let fault = controls.script().take(call.head.uri.path(), &call.body);
    apply_fault(fault, call, controls).await
}

/// Admits a control request, such as a poll of the load, in any phase.
pub async fn admit_control(
    call: &Call,
    controls: &Controls,
) -> Result<Option<Fault>, Response<Body>> {
    let path = call.head.uri.path();
    let fault = controls.script().take_for_path(path, &call.body);
    apply_fault(fault, call, controls).await
}

/// Rejects the request or applies its fault, if that is set for a point before the start.
async fn apply_fault(
    fault: Option<Fault>,
    call: &Call,
    controls: &Controls,
) -> Result<Option<Fault>, Response<Body>> {
    let Some(fault) = fault else {
        return Ok(None);
    };
    if let Fault::Reject {
        status,
        not_started,
    } = fault
    {
        return Err(scripted_rejection(status, not_started));
    }
    if !fault
        .trigger(Point::BeforeStart, &call.connection, controls)
        .await
    {
        return Err(Response::new(Body::full("")));
    }
    Ok(Some(fault))
}

fn scripted_rejection(status: u16, not_started: bool) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if not_started {
        reply::not_started(status, "refused by script")
    } else {
        reply::error(status, "refused by script")
    }
}
