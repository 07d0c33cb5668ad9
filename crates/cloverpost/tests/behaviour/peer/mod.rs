//! Links between VMs.

mod authentication;
pub mod fixture;
mod links;
mod members;
mod tunnels;
