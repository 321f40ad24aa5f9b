//! An HTTP client that calls the entry VMs of the deployment.

use std::net::SocketAddr;

use bytes::Bytes;
use comfreyhead::prelude::*;
use comfreyhead::process::platform::{HttpClient, HttpFailure};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::Value;

use super::fleet::{CALLER_TOKEN, Fleet};

/// The timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends requests of one client account to any entry VM.
pub(crate) struct Caller {
    client: HttpClient,
    entries: Vec<SocketAddr>,
}

/// The complete answer to a request.
pub(crate) struct CallerAnswer {
    /// The value of the outcome header, empty if it is missing.
    pub(crate) outcome: String,
    /// The JSON body.
    pub(crate) body: Value,
}

impl Caller {
    /// Creates a caller for the entry VMs of a deployment.
    pub(crate) fn new(fleet: &Fleet) -> Self {
        Self::of(fleet.callers())
    }

    /// Creates a caller for the given entry VM addresses.
    pub(crate) fn of(entries: Vec<SocketAddr>) -> Self {
        let client = HttpClient::http1();
        Self { client, entries }
    }

    /// Posts a body to the entry VM with index `entry` and returns the complete answer.
    pub(crate) async fn post(
        &self,
        entry: usize,
        path: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Result<CallerAnswer> {
        let response = self.send(entry, path, body, headers).await?;
        let outcome = response.headers().get("x-comfreyhead-outcome");
        let outcome = outcome
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let bytes = collect(response).await?;
        let body = serde_json::from_slice(&bytes)
            .map_err(|err| Error::Invalid(format!("the answer is not valid JSON: {err}")))?;
        Ok(CallerAnswer { outcome, body })
    }

    /// Posts a body to the entry VM with index `entry` and returns the text of the event stream.
    pub(crate) async fn stream(&self, entry: usize, path: &str, body: &Value) -> Result<String> {
        let response = self.send(entry, path, body, &[]).await?;
        Ok(String::from_utf8_lossy(&collect(response).await?).into_owned())
    }

    async fn send(
        &self,
        entry: usize,
        path: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Result<Response<Incoming>> {
        let mut request = Request::post(format!("http://{}{path}", self.entries[entry]))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {CALLER_TOKEN}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body.to_string()));
        let request = request.map_err(|err| Error::Invalid(err.to_string()))?;
        let answer: Result<_, HttpFailure> = self.client.send(request, REQUEST_TIMEOUT).await;
        answer.map_err(|err| Error::Peer(format!("{path}: {err}")))
    }
}

async fn collect(response: Response<Incoming>) -> Result<Bytes> {
    let body = response.into_body().collect().await;
    Ok(body.map_err(|err| Error::Peer(err.to_string()))?.to_bytes())
}
