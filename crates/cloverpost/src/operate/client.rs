//! Client of the operator API.

use bytes::Bytes;
use cloverpost_core::id;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::operate::Error;

/// Calls the operator API of one VM with one operator's key.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    key: String,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// A catalogue revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Catalogue {
    /// Revision number; 0 if there is none yet.
    pub revision: id::Revision,
    /// Catalogue text, as TOML.
    pub text: String,
}

impl Client {
    /// Creates a client for the VM at `base`, such as `http://127.0.0.1:8081`.
    #[must_use]
    pub fn new(base: &str, key: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            key: key.to_owned(),
            http: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Reads the newest catalogue.
    pub async fn show(&self) -> Result<Catalogue, Error> {
        let (parts, body) = self.call(self.request(Method::GET, "/catalogue")?).await?;
        let revision = parts
            .headers
            .get(header::ETAG)
            .and_then(|tag| tag.to_str().ok())
            .and_then(|tag| tag.trim_matches('"').parse().ok())
            .ok_or(Error::MalformedResponse("ETag holds no catalogue revision"))?;
        let text = String::from_utf8(body.to_vec());
        let text = text.map_err(|_| Error::MalformedResponse("catalogue is not valid UTF-8"))?;
        Ok(Catalogue { revision, text })
    }

    /// Writes `text` as the revision that follows `base` and returns its number.
    ///
    /// Idempotent for a given `edit` id: retries do not create a second revision.
    pub async fn apply(
        &self,
        base: id::Revision,
        edit: id::Edit,
        comment: &str,
        text: String,
    ) -> Result<id::Revision, Error> {
        let mut request = self.request(Method::PUT, "/catalogue")?;
        *request.body_mut() = Full::new(Bytes::from(text));
        let headers = request.headers_mut();
        insert_header(headers, header::IF_MATCH, &format!("\"{base}\""))?;
        insert_header(
            headers,
            http::HeaderName::from_static("cloverpost-edit"),
            &edit.to_string(),
        )?;
        insert_header(
            headers,
            http::HeaderName::from_static("cloverpost-comment"),
            comment,
        )?;
        let (_, body) = self.call(request).await?;
        let document: serde_json::Value = serde_json::from_slice(&body)
            .map_err(|_| Error::MalformedResponse("body is not valid JSON"))?;
        document["revision"]
            .as_u64()
            .map(id::Revision::new)
            .ok_or(Error::MalformedResponse("body has no `revision` number"))
    }

    /// Reads the JSON document at `path`.
    pub async fn read(&self, path: &str) -> Result<serde_json::Value, Error> {
        let (_, body) = self.call(self.request(Method::GET, path)?).await?;
        serde_json::from_slice(&body)
            .map_err(|_| Error::MalformedResponse("body is not valid JSON"))
    }

    fn request(&self, method: Method, path: &str) -> Result<Request<Full<Bytes>>, Error> {
        Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::default())
            .map_err(|error| Error::Unreachable(error.to_string()))
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(http::response::Parts, Bytes), Error> {
        let response = self.http.request(request).await;
        let response = response.map_err(|error| Error::Unreachable(error.to_string()))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await;
        let body = body
            .map_err(|error| Error::Unreachable(error.to_string()))?
            .to_bytes();
        if parts.status.is_success() {
            return Ok((parts, body));
        }
        Err(Error::Refused {
            status: parts.status.as_u16(),
            message: error_message(&body),
        })
    }
}

fn insert_header(
    headers: &mut http::HeaderMap,
    name: http::HeaderName,
    value: &str,
) -> Result<(), Error> {
    let value =
        http::HeaderValue::try_from(value).map_err(|_| Error::InvalidHeader(name.clone()))?;
    headers.insert(name, value);
    Ok(())
}

/// The message of an error response, or its whole body if it has none.
fn error_message(body: &[u8]) -> String {
    let parsed: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    parsed
        .and_then(|body| body["error"]["message"].as_str().map(str::to_owned))
        .unwrap_or_else(|| String::from_utf8_lossy(body).into_owned())
}
