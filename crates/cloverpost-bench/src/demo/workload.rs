//! The mixed requests of a demo run.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller::{Caller, Error, Reply};
use crate::demo::balancer::{Balancer, Rotation};
use crate::site::catalogue;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A chat request without streaming, for a class of work.
    Plain,
    /// A streamed chat request for a class of work.
    Streamed,
    /// A streamed chat request for the entry that is withdrawn halfway through.
    Withdrawn,
    /// A chat request for an entry that the organisation may not use.
    Forbidden,
    /// Two chat requests of one session.
    Session,
    /// A booking that is sent again to another VM after it has an outcome.
    Booking,
}

/// A request with the results of all its attempts.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Kind of the request.
    pub kind: Kind,
    /// Prompt of a chat request, or idempotency key and content of a booking.
    pub prompt: String,
    /// The attempts in order.
    pub attempts: Vec<Attempt>,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// VM that the request was sent to.
    pub vm: SocketAddr,
    /// The reply, or why there was none.
    pub result: Result<Reply, Error>,
}

impl Exchange {
    /// Returns the replies of all attempts.
    pub fn replies(&self) -> impl Iterator<Item = &Reply> {
        self.attempts
            .iter()
            .filter_map(|attempt| attempt.result.as_ref().ok())
    }

    /// Returns whether the last reply was a complete response or a refusal.
    pub fn is_settled(&self) -> bool {
        let last = self.replies().last();
        last.is_some_and(|reply| !reply.is_success() || reply.is_complete())
    }
}

/// Status of a request whose idempotency key is in progress.
const IN_PROGRESS: u16 = 409;
/// Status of a VM that is shutting down or cannot serve the request now.
const UNAVAILABLE: u16 = 503;
/// Maximum number of attempts of a chat request.
const MAX_CHAT_ATTEMPTS: usize = 3;
/// Maximum number of attempts of a booking.
const MAX_BOOKING_ATTEMPTS: usize = 60;
/// Delay before a booking is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Repeating sequence of request kinds.
const KINDS: [Kind; 10] = [
    Kind::Plain,
    Kind::Streamed,
    Kind::Withdrawn,
    Kind::Plain,
    Kind::Forbidden,
    Kind::Streamed,
    Kind::Session,
    Kind::Booking,
    Kind::Plain,
    Kind::Streamed,
];

impl Kind {
    /// Returns the kind of the request `index`.
    pub fn of(index: usize) -> Self {
        KINDS[index % KINDS.len()]
    }
}

/// Sends requests on behalf of both organisations.
#[derive(Clone, Debug)]
pub struct Workload {
    harrowgate: Caller,
    colombo: Caller,
}

impl Workload {
    /// Creates the callers, without connections.
    pub fn new() -> Self {
        Self {
            harrowgate: Caller::new(catalogue::HARROWGATE_KEY),
            colombo: Caller::new(catalogue::COLOMBO_KEY),
        }
    }

    /// Returns the caller of the organisation that may use every entry.
    pub fn harrowgate(&self) -> &Caller {
        &self.harrowgate
    }

    /// Sends the request `index` through the VMs of `balancer`.
    pub async fn send(&self, index: usize, balancer: &Balancer) -> Exchange {
        let kind = Kind::of(index);
        let mut exchange = Exchange {
            kind,
            prompt: format!("request-{index}"),
            attempts: Vec::new(),
        };
        let mut rotation = balancer.rotation(index);
        match kind {
            Kind::Plain => {
                self.chat(&mut exchange, &mut rotation, catalogue::CLASS, false, None)
                    .await;
            }
            Kind::Streamed => {
                self.chat(&mut exchange, &mut rotation, catalogue::CLASS, true, None)
                    .await;
            }
            Kind::Withdrawn => {
                self.chat(&mut exchange, &mut rotation, catalogue::OLD, true, None)
                    .await;
            }
            Kind::Forbidden => self.forbidden(&mut exchange, &mut rotation).await,
            Kind::Session => self.session(&mut exchange, &mut rotation).await,
            Kind::Booking => self.booking(&mut exchange, &mut rotation).await,
        }
        exchange
    }

    /// Sends a chat request to one VM after another until it needs no further attempt.
    async fn chat(
        &self,
        exchange: &mut Exchange,
        rotation: &mut Rotation<'_>,
        model: &str,
        stream: bool,
        session: Option<&str>,
    ) {
        for _ in 0..MAX_CHAT_ATTEMPTS {
            let vm = rotation.next();
            let result = self
                .harrowgate
                .chat(vm, model, &exchange.prompt, stream, session)
                .await;
            if exchange.record(vm, result) {
                return;
            }
        }
    }

    async fn forbidden(&self, exchange: &mut Exchange, rotation: &mut Rotation<'_>) {
        for _ in 0..MAX_CHAT_ATTEMPTS {
            let vm = rotation.next();
            let caller = &self.colombo;
            let result = caller
                .chat(vm, catalogue::LARGE, &exchange.prompt, false, None)
                .await;
            if exchange.record(vm, result) {
                return;
            }
        }
    }

    async fn session(&self, exchange: &mut Exchange, rotation: &mut Rotation<'_>) {
        self.chat(exchange, rotation, catalogue::CLASS, false, None)
            .await;
        let token = exchange
            .replies()
            .last()
            .and_then(|reply| reply.header("cloverpost-session"))
            .map(str::to_owned);
        self.chat(exchange, rotation, catalogue::CLASS, true, token.as_deref())
            .await;
    }

    /// Sends a booking to one VM after another until two attempts have ended with an outcome.
    async fn booking(&self, exchange: &mut Exchange, rotation: &mut Rotation<'_>) {
        let mut settled = 0;
        for _ in 0..MAX_BOOKING_ATTEMPTS {
            let vm = rotation.next();
            let what = exchange.prompt.clone();
            let result = self
                .harrowgate
                .book(vm, catalogue::ROSTER, Some(&what), &what)
                .await;
            let in_progress = result
                .as_ref()
                .is_ok_and(|reply| reply.status == IN_PROGRESS);
            if exchange.record(vm, result) && !in_progress {
                settled += 1;
            }
            if settled == 2 {
                return;
            }
            if settled == 0 || in_progress {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

impl Exchange {
    /// Records an attempt. Returns whether no further attempt is needed: the response is complete,
    /// or the refusal is one that other VMs would give too.
    fn record(&mut self, vm: SocketAddr, result: Result<Reply, Error>) -> bool {
        let done = match &result {
            Ok(reply) if reply.is_success() => reply.is_complete(),
            Ok(reply) => reply.status != UNAVAILABLE,
            Err(_) => false,
        };
        self.attempts.push(Attempt { vm, result });
        done
    }
}
