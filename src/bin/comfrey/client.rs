//! A client of the operators' API.

use std::net::SocketAddr;

use comfreyhead::prelude::*;
use comfreyhead::process::platform::{AnswerLimit, HttpClient, HttpFailure};
use http::Request;
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The limit of a response.
const RESPONSE_LIMIT: AnswerLimit = AnswerLimit {
    time: Duration::from_secs(20),
    bytes: 64 << 20,
};
/// The environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "COMFREY_TOKEN";
/// The environment variable with the address of an entry VM.
const ENTRY_VARIABLE: &str = "COMFREY_ENTRY";

/// A client of the operators' API that uses the first entry VM that responds.
pub(crate) struct OperatorClient {
    client: HttpClient,
    entries: Vec<SocketAddr>,
    token: String,
}

impl OperatorClient {
    /// Creates a client from the arguments and the environment.
    ///
    /// # Errors
    /// The token is not set, or no valid address of an entry VM is given.
    pub(crate) fn new(entries: &[SocketAddr]) -> Result<Self> {
        let missing = |what: &str| Error::Invalid(format!("{what}, see --help"));
        let token = std::env::var(TOKEN_VARIABLE)
            .map_err(|_| missing(&format!("{TOKEN_VARIABLE} is not set")))?;
        let mut entries = entries.to_vec();
        if entries.is_empty() {
            let text = std::env::var(ENTRY_VARIABLE).unwrap_or_default();
            let address = text.parse();
            entries.push(address.map_err(|_| missing("specify an entry VM with --entry"))?);
        }
        Ok(Self {
            client: HttpClient::http1(),
            entries,
            token,
        })
    }

    /// Gets `path` from the first entry VM that responds with success.
    ///
    /// # Errors
    /// No entry VM responds with success; the error is that of the last one.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut failure = None;
        for entry in &self.entries {
            match self.get_from(*entry, path).await {
                Ok(response) => return Ok(response),
                Err(err @ HttpFailure::Status(..)) if self.entries.len() == 1 => {
                    return Err(entry_error(*entry, &err));
                }
                Err(err) => failure = Some(entry_error(*entry, &err)),
            }
        }
        Err(failure.unwrap_or_else(|| Error::Invalid("no entry VM is specified".into())))
    }

    /// Posts `body` to the first entry VM that accepts a connection, and never to a second one,
    /// since the first may have processed the request.
    ///
    /// # Errors
    /// No entry VM accepts a connection, or the first that does rejects the request, or its
    /// response is lost.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        let text = serde_json::to_string(body).map_err(|err| Error::Invalid(err.to_string()))?;
        let mut failure = None;
        for entry in &self.entries {
            let request = Request::post(format!("http://{entry}{path}"))
                .header("content-type", "application/json")
                .header("authorization", format!("Bearer {}", self.token))
                .body(Full::from(text.clone()))
                .map_err(|err| Error::Invalid(err.to_string()))?;
            match self.client.json(request, RESPONSE_LIMIT).await {
                Ok(response) => return Ok(response),
                Err(err @ (HttpFailure::NotSent(_) | HttpFailure::NotListening(_))) => {
                    failure = Some(entry_error(*entry, &err));
                }
                Err(err) => return Err(entry_error(*entry, &err)),
            }
        }
        Err(failure.unwrap_or_else(|| Error::Invalid("no entry VM is specified".into())))
    }

    async fn get_from<T: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        path: &str,
    ) -> Result<T, HttpFailure> {
        let request = Request::get(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::default())
            .map_err(|err| HttpFailure::Decode(err.to_string()))?;
        self.client.json(request, RESPONSE_LIMIT).await
    }
}

fn entry_error(entry: SocketAddr, failure: &HttpFailure) -> Error {
    match failure {
        HttpFailure::Status(status, body) => {
            let body: Value = serde_json::from_slice(body).unwrap_or_default();
            let message = body["message"].as_str().unwrap_or("no reason given");
            Error::Peer(format!(
                "entry VM {entry} responded with status {status}: {message}"
            ))
        }
        HttpFailure::Lost(_) | HttpFailure::TooLong(_) => Error::Peer(format!(
            "entry VM {entry}: {failure}; check the history before sending it again"
        )),
        failure => Error::Peer(format!("entry VM {entry}: {failure}")),
    }
}
