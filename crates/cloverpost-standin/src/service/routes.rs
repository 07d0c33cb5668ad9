//! Routes of a service.

use std::collections::BTreeMap;
use std::sync::Mutex;

use http::{Method, Response, StatusCode};
use tokio::time;

use crate::host::{self, Body, Call, Controls, JsonResponse, reply};
use crate::journal::RunGuard;
use crate::script::Fault;
use crate::service::{Booking, Options};

/// Paths of the lists.
const LISTS: [&str; 2] = ["/bookings", "/orders"];

/// State and request handler of a service.
#[derive(Debug)]
pub struct Routes {
    options: Options,
    controls: Controls,
    lists: Mutex<BTreeMap<String, Vec<Booking>>>,
}

impl Routes {
    pub fn new(options: Options, controls: Controls) -> Self {
        Self {
            options,
            controls,
            lists: Mutex::default(),
        }
    }

    async fn create(&self, call: &Call, fault: Option<Fault>) -> Response<Body> {
        let Ok(details) = serde_json::from_slice(&call.body) else {
            return reply::not_started(StatusCode::BAD_REQUEST, "body is not JSON");
        };
        let mut run = self
            .controls
            .journal()
            .start(call.new_run(call.head.uri.path()));
        let booking = self.add(call, fault.as_ref(), details);
        time::sleep(self.options.latency).await;
        // The booking remains even if the response is lost.
        run.finish();
        self.send(call, fault, run, StatusCode::CREATED, &booking)
            .await
    }

    async fn read(&self, call: &Call, fault: Option<Fault>) -> Response<Body> {
        let path = call.head.uri.path();
        let run = self.controls.journal().start(call.new_run(path));
        time::sleep(self.options.latency).await;
        let list = self.list(path);
        self.send(call, fault, run, StatusCode::OK, &list).await
    }

    async fn availability(&self, call: &Call, fault: Option<Fault>) -> Response<Body> {
        let run = self.controls.journal().start(call.new_run("/availability"));
        time::sleep(self.options.latency).await;
        let booked = self.list("/bookings").len();
        let free = self.options.capacity.saturating_sub(booked);
        let availability = serde_json::json!({ "free": free, "request": call.request_id() });
        self.send(call, fault, run, StatusCode::OK, &availability)
            .await
    }

    async fn send(
        &self,
        call: &Call,
        fault: Option<Fault>,
        run: RunGuard,
        status: StatusCode,
        value: &impl serde::Serialize,
    ) -> Response<Body> {
        let json = JsonResponse {
            call,
            controls: &self.controls,
            fault,
            run: Some(run),
        };
        json.send(status, value).await
    }

    fn add(&self, call: &Call, fault: Option<&Fault>, details: serde_json::Value) -> Booking {
        let mut lists = self.lists.lock().expect("list lock poisoned");
        let list = lists.entry(call.head.uri.path().to_owned()).or_default();
        let booking = Booking {
            id: list.len() + 1,
            request: call.request_id().map(str::to_owned),
            details,
        };
        list.push(booking.clone());
        if fault == Some(&Fault::OtherResponse) {
            let other = host::other_request_id(call, &self.controls);
            return Booking {
                request: Some(other),
                ..booking
            };
        }
        booking
    }

    fn list(&self, path: &str) -> Vec<Booking> {
        let lists = self.lists.lock().expect("list lock poisoned");
        lists.get(path).cloned().unwrap_or_default()
    }
}

impl host::Handler for Routes {
    async fn handle(&self, call: Call) -> Response<Body> {
        let fault = match host::admit(&call, &self.controls).await {
            Ok(fault) => fault,
            Err(response) => return response,
        };
        match (&call.head.method, call.head.uri.path()) {
            (&Method::POST, path) if LISTS.contains(&path) => self.create(&call, fault).await,
            (&Method::GET, path) if LISTS.contains(&path) => self.read(&call, fault).await,
            (&Method::GET, "/availability") => self.availability(&call, fault).await,
            _ => reply::not_started(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
