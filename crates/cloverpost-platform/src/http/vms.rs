//! Client of the VM list.

use bytes::Bytes;
use hyper::{Method, Uri};

use crate::http::{Options, client};
use crate::vms::{self, Vm};
use crate::{discovery, fault};

/// Client of the VM list.
#[derive(Clone, Debug)]
pub struct Vms(client::Client);

impl Vms {
    /// Creates a client of the VM list under `base`.
    #[must_use]
    pub fn new(base: Uri, options: Options) -> Self {
        Self(client::Client::new(base, options))
    }

    async fn groups(&self) -> Result<Vec<discovery::Group>, fault::Fault> {
        let request = self.0.request(Method::GET, "/vms");
        let response = self.0.send(request, Bytes::new()).await?;
        client::parse_json(&response)
    }
}

impl vms::Vms for Vms {
    async fn list(&self) -> Result<Vec<Vm>, fault::Fault> {
        let groups = self.groups().await.map_err(client::without_effect)?;
        // An invalid group fails the read, because omitting it would make its VM appear removed.
        groups
            .into_iter()
            .filter_map(|group| group.into_vm().transpose())
            .collect::<Result<_, _>>()
            .map_err(|error| fault::Fault::without_effect(error.to_string()))
    }
}
