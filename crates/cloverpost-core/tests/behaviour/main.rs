//! Behaviour of the decisions, module by module.

mod balance;
mod billing;
mod budget;
mod capacity;
mod catalogue;
mod choice;
mod claim;
mod cold;
mod directory;
mod dispatch;
mod escalation;
mod evidence;
mod exposure;
mod id;
mod lease;
mod limit;
mod membership;
mod order;
mod overload;
mod plan;
mod poison;
mod refusal;
mod rollout;
mod session;
mod spread;
mod throttle;
