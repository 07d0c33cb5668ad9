//! Runs membership over the links.
//!
//! An actor on the control thread owns the [`membership::Fleet`] and performs its
//! actions. Other tasks read [`Handle::view`] without locking and can subscribe
//! to [`Handle::events`].

mod actor;
mod handle;

pub use handle::Handle;

use cloverpost_core::membership;
use ractor::{Actor, SpawnErr};

use crate::peer::Links;

/// Starts membership over `links` on the current runtime.
///
/// `listed` are the seed VMs, from the platform's list or the settings. The caller
/// passes incoming membership messages to [`Handle::receive`].
pub async fn start(
    links: Links,
    options: membership::Options,
    listed: Vec<membership::Member>,
) -> Result<Handle, SpawnErr> {
    let (state, view, events) = actor::State::new(links.clone(), options, listed);
    let (actor, _task) = Actor::spawn(None, actor::Members, state).await?;
    actor.send_interval(options.tick, || actor::Command::Tick);
    Ok(Handle::new(actor, links, view, events))
}
