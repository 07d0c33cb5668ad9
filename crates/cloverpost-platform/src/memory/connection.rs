//! Connections of clients to in-memory services.

use std::collections;
use std::sync::{Arc, Mutex};

use tokio::time;

use crate::fault;
use crate::memory::faults::{Delivery, Faults};
use crate::memory::lock;

/// Applies the faults of the service and of the client to each call.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    service: Faults,
    client: Option<Faults>,
    clients: Arc<Mutex<collections::HashMap<String, Faults>>>,
}

impl Connection {
    /// Returns the connection of the client `name`. Connections of one name share their faults.
    pub fn client(&self, name: &str) -> Self {
        let mut clients = lock::lock(&self.clients);
        let client = clients.entry(name.to_owned()).or_default().clone();
        Self {
            client: Some(client),
            ..self.clone()
        }
    }

    /// Returns the faults of the client, or of the service if no client is set.
    pub fn faults(&self) -> &Faults {
        self.client.as_ref().unwrap_or(&self.service)
    }

    /// Performs a call without side effects.
    pub async fn read<T>(&self, read: impl FnOnce() -> T) -> Result<T, fault::Fault> {
        if !self.all_faults().all(Faults::read) {
            return Err(fault::Fault::without_effect("unavailable"));
        }
        self.half_delay().await;
        let result = read();
        self.half_delay().await;
        Ok(result)
    }

    /// Performs a call that may have side effects.
    pub async fn write<T>(
        &self,
        write: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T, fault::Fault> {
        let delivery = self.delivery();
        if delivery == Delivery::Rejected {
            return Err(fault::Fault::without_effect("unavailable"));
        }
        self.half_delay().await;
        let result = match delivery {
            Delivery::Rejected | Delivery::RequestLost => None,
            Delivery::RequestDelayed(delay) => {
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    write();
                });
                None
            }
            Delivery::ResponseLost => {
                write();
                None
            }
            Delivery::Delivered => Some(write()),
        };
        self.half_delay().await;
        result.ok_or_else(|| fault::Fault::with_unknown_effect("response lost"))
    }

    /// Determines the delivery of a write: the client's faults take precedence.
    fn delivery(&self) -> Delivery {
        self.all_faults()
            .map(Faults::write)
            .find(|delivery| *delivery != Delivery::Delivered)
            .unwrap_or(Delivery::Delivered)
    }

    /// Sleeps for half of the configured delay.
    async fn half_delay(&self) {
        let delay = self.all_faults().map(Faults::delay).sum::<time::Duration>() / 2;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
    }

    fn all_faults(&self) -> impl Iterator<Item = &Faults> {
        self.client.iter().chain([&self.service])
    }
}
