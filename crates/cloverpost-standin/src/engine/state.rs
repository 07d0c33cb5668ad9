//! State of an engine.

use std::sync::Arc;

use crate::engine::Options;
use crate::engine::load::LoadReporter;
use crate::engine::order::OrderProcessor;
use crate::engine::quality::AnswerSampler;
use crate::engine::queue::Queue;
use crate::engine::replica::{self, Replicas};
use crate::host::Controls;

/// State shared by the requests to an engine.
#[derive(Debug)]
pub struct State {
    pub options: Options,
    pub controls: Controls,
    pub queue: Arc<Queue>,
    pub replicas: Arc<Replicas>,
    pub orders: Arc<OrderProcessor>,
    pub load: LoadReporter,
    pub sampler: AnswerSampler,
}

impl State {
    pub fn new(options: Options, controls: Controls) -> Self {
        let replicas = Arc::new(Replicas::default());
        for target in &options.loaded {
            replicas.set(target.clone(), replica::State::Loaded);
        }
        for target in &options.sleeping {
            replicas.set(target.clone(), replica::State::Sleeping);
        }
        let queue = Arc::new(Queue::new(&options));
        let lag = options.report_lag;
        Self {
            load: LoadReporter::new(lag, queue.clone(), replicas.clone(), controls.clone()),
            orders: Arc::new(OrderProcessor::new(&options, replicas.clone())),
            sampler: AnswerSampler::new(options.seed),
            options,
            controls,
            queue,
            replicas,
        }
    }
}
