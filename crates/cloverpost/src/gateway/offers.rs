//! Bodies that are given up when the memory that they hold is needed.
//!
//! Once the response to a request has begun, its body serves only to send the request again if the
//! response breaks off. That is rare, so the body is offered: it is released as soon as another request
//! would wait for its memory. The request that was offered first is likely to end first, so it is the
//! first to lose its body.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use prometheus::IntCounter;

use crate::gateway::retained::Retained;

/// The offered bodies. Clones share them.
#[derive(Clone, Debug)]
pub struct Offers {
    state: Arc<Mutex<State>>,
    given_up: IntCounter,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// In the order in which they were offered.
    bodies: BTreeMap<u64, Body>,
}

#[derive(Debug)]
struct Body {
    request: String,
    retained: Retained,
}

impl Offers {
    /// Creates an empty set; `given_up` counts released bodies.
    #[must_use]
    pub fn new(given_up: IntCounter) -> Self {
        Self {
            state: Arc::default(),
            given_up,
        }
    }

    /// Offers the body `retained` of `request` until the result is dropped.
    #[must_use]
    pub fn add(&self, request: &str, retained: Retained) -> Offer {
        let mut state = self.state();
        let number = state.next;
        state.next += 1;
        let request = request.to_owned();
        state.bodies.insert(number, Body { request, retained });
        drop(state);
        Offer {
            offers: self.clone(),
            number,
        }
    }

    /// Releases bodies until `needed` bytes are released or none is left.
    pub fn release(&self, needed: usize) {
        let mut released = 0;
        while released < needed {
            let Some((_, body)) = self.state().bodies.pop_first() else {
                return;
            };
            let bytes = body.retained.len();
            body.retained.release();
            released += bytes;
            self.given_up.inc();
            log::info!(
                id = body.request.as_str(), bytes;
                "body given up for another request: this one is not sent again"
            );
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An offered body, which is no longer offered once this is dropped.
#[derive(Debug)]
pub struct Offer {
    offers: Offers,
    number: u64,
}

impl Drop for Offer {
    fn drop(&mut self) {
        self.offers.state().bodies.remove(&self.number);
    }
}
