//! Dispatches requests of callers to their handlers.

use std::sync::Arc;

use cloverpost_core::catalogue;
use cloverpost_core::id;
use cloverpost_core::refusal::{Code, Refusal};
use cloverpost_platform::Platform;
use http::{Method, Response, header};
use hyper::body::Incoming;

use crate::front::disconnect::Disconnect;
use crate::front::{Body, Context, State, auth, chat, models, response, service, upload};

/// Handles a request of a caller, to which the router gives the id `request`.
///
/// Run it in its own task, so that a disconnect of the caller does not cancel calls that
/// must complete.
pub async fn handle<P: Platform>(
    context: Context<P>,
    request: id::Request,
    incoming: http::Request<Incoming>,
    mut caller: Disconnect,
) -> Response<Body> {
    let state = &context.state;
    state.metrics.in_flight.inc();
    let (head, body) = incoming.into_parts();
    let mut upload = upload::Upload::new(body, &state.settings.limits);
    let result = dispatch(&context, request, &head, &mut upload, &mut caller).await;
    // A client that sent `Expect: 100-continue` sends no body after a refusal.
    if !head.headers.contains_key(header::EXPECT) {
        upload.discard();
    }
    state.metrics.in_flight.dec();
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            let labels = [refusal.code.as_str(), &refusal.ran.to_string()];
            state.metrics.refused.with_label_values(&labels).inc();
            response::refusal(&refusal)
        }
    };
    response::set_request_id(&mut response, request);
    if state.is_draining() {
        response::close_connection(&mut response);
    }
    response
}

async fn dispatch<P: Platform>(
    context: &Context<P>,
    request: id::Request,
    head: &http::request::Parts,
    upload: &mut upload::Upload,
    caller: &mut Disconnect,
) -> Result<Response<Body>, Refusal> {
    let state = &context.state;
    let catalogue = admit(state)?;
    check_size(head, state.settings.limits.max_headers)?;
    let organisation = auth::organisation(&head.headers, &catalogue)?;
    let path = head.uri.path();
    if path == "/v1/models" {
        require_method(head, &Method::GET)?;
        return Ok(models::list(&catalogue, organisation));
    }
    if path == chat::PATH {
        require_method(head, &Method::POST)?;
        let body = upload.read().await?;
        return chat::handle(
            state,
            &catalogue,
            organisation,
            request,
            head,
            &body,
            caller,
        )
        .await;
    }
    if path.starts_with(service::PREFIX) {
        let body = upload.read().await?;
        return service::handle(context, &catalogue, organisation, request, head, body).await;
    }
    Err(Refusal::not_run(
        Code::UnknownPath,
        format!("no such path: {path}"),
    ))
}

/// Returns the catalogue for a request, or refuses it if this VM accepts no requests.
fn admit(state: &State) -> Result<Arc<catalogue::Catalogue>, Refusal> {
    if state.is_refusing() {
        return Err(Refusal::not_run(Code::Stopping, "this VM is stopping"));
    }
    let snapshot = state.snapshot.load();
    if !snapshot.is_confirmed(state.clock.now()) {
        let message = "this VM's catalogue is not confirmed";
        return Err(Refusal::not_run(Code::Unconfirmed, message));
    }
    if let Some(code) = state.billing.refusal() {
        let message = "this VM holds as many unwritten bills as it may";
        return Err(Refusal::not_run(code, message));
    }
    Ok(Arc::clone(&snapshot.catalogue))
}

/// Refuses a request whose path and headers exceed `limit` bytes.
fn check_size(head: &http::request::Parts, limit: usize) -> Result<(), Refusal> {
    let header_size =
        |(name, value): (&http::HeaderName, &http::HeaderValue)| name.as_str().len() + value.len();
    let headers: usize = head.headers.iter().map(header_size).sum();
    if headers + head.uri.path().len() <= limit {
        return Ok(());
    }
    let message = format!("the headers are over {limit} bytes");
    Err(Refusal::not_run(Code::HeadersTooLarge, message))
}

/// Refuses a request whose method is not `method`.
fn require_method(head: &http::request::Parts, method: &Method) -> Result<(), Refusal> {
    if head.method == method {
        return Ok(());
    }
    let message = format!("{} takes {method} only", head.uri.path());
    Err(Refusal::not_run(Code::WrongMethod, message))
}
