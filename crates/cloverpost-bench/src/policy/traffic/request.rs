//! Requests and their dispatch to engines.

use cloverpost_core::time;

/// A request from a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) vm: usize,
    pub(super) prefix: u32,
    pub(super) output_tokens: u32,
    pub(super) arrived: time::Moment,
    pub(super) deadline: time::Moment,
}

/// A request sent to an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Dispatch {
    pub(super) request: Request,
    /// Engines start requests of higher priority first.
    pub(super) priority: u32,
    pub(super) started: time::Moment,
    /// Requests of the VM in flight on the engine, including this one.
    pub(super) in_flight: u32,
}
