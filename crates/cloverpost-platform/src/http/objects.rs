//! Client of the object store.

use bytes::Bytes;
use hyper::{Method, Response, StatusCode, Uri, header};

use crate::http::{Options, client};
use crate::{fault, objects};

/// Error code of a throttled request, which had no effect.
const SLOW_DOWN: &str = "<Code>SlowDown</Code>";

/// Error code of a missing bucket, as opposed to a missing object.
const NO_SUCH_BUCKET: &str = "<Code>NoSuchBucket</Code>";

/// Client of the object store.
#[derive(Clone, Debug)]
pub struct Objects(client::Client);

impl Objects {
    /// Creates a client of the object store under `base`.
    #[must_use]
    pub fn new(base: Uri, options: Options) -> Self {
        Self(client::Client::new(base, options))
    }

    fn request(&self, method: Method, name: &str) -> hyper::http::request::Builder {
        let bucket = &self.0.options().bucket;
        self.0.request(method, &format!("/{bucket}/{name}"))
    }

    async fn read(&self, name: &str) -> Result<Option<Bytes>, fault::Fault> {
        let request = self.request(Method::GET, name);
        let response = self.0.send(request, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK => Ok(Some(response.into_body())),
            StatusCode::NOT_FOUND if !has_code(&response, NO_SUCH_BUCKET) => Ok(None),
            _ => Err(client::unexpected_status(&response)),
        }
    }
}

impl objects::Objects for Objects {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, fault::Fault> {
        objects::validate_name(name)?;
        self.read(name).await.map_err(client::without_effect)
    }

    async fn create(&self, name: &str, body: Bytes) -> Result<bool, fault::Fault> {
        objects::validate_name(name)?;
        let request = self
            .request(Method::PUT, name)
            .header(header::IF_NONE_MATCH, "*");
        let response = self.0.send(request, body).await?;
        match response.status() {
            StatusCode::OK => Ok(true),
            StatusCode::PRECONDITION_FAILED => Ok(false),
            StatusCode::SERVICE_UNAVAILABLE if has_code(&response, SLOW_DOWN) => {
                Err(fault::Fault::without_effect("throttled"))
            }
            _ => Err(client::unexpected_status(&response)),
        }
    }
}

fn has_code(response: &Response<Bytes>, code: &str) -> bool {
    String::from_utf8_lossy(response.body()).contains(code)
}
