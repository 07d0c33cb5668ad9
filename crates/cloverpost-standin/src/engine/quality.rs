//! Quality of answers.

use std::collections::HashMap;
use std::sync::Mutex;

use sha2::Digest;

use crate::engine::Target;

/// Share of bad answers of one version.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quality {
    /// The version.
    #[serde(flatten)]
    pub target: Target,
    /// Share of its answers that are bad, from 0 to 1.
    pub bad_share: f64,
}

/// Selects bad answers, deterministically for a request.
#[derive(Debug)]
pub struct AnswerSampler {
    seed: u64,
    shares: Mutex<HashMap<Target, f64>>,
}

impl AnswerSampler {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            shares: Mutex::default(),
        }
    }

    pub fn set(&self, quality: Quality) {
        let mut shares = self.shares.lock().expect("quality lock poisoned");
        shares.insert(quality.target, quality.bad_share);
    }

    /// Returns whether the answer of `target` to the request `request_id` with `digest` is bad.
    pub fn is_bad(&self, target: &Target, request_id: &str, digest: &str) -> bool {
        let shares = self.shares.lock().expect("quality lock poisoned");
        let share = shares.get(target).copied().unwrap_or(0.0);
        let text = format!("{} {target} {request_id} {digest}", self.seed);
        let hash = sha2::Sha256::digest(text);
        let sample = u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]);
        f64::from(sample) < share * f64::from(u32::MAX)
    }
}
