//! The endpoints of the operators' API.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ClientErrorStatusCode, ConfigDropshot,
    HttpError, HttpResponseOk, HttpServer, Path, RequestContext, ServerBuilder, TypedBody,
    endpoint,
};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Logger;
use uuid::Uuid;

use crate::connection::PlanReport;
use crate::prelude::*;

use crate::process::distribution::InForceReport;

use super::context::OperatorContext;
use super::report::{
    ConfigReport, OpenOrders, PatchOrder, PatchReport, RecallOrder, RequestReport, SettleOrder,
    SettleReport, StatusReport, TargetReport, VersionReport,
};

/// The maximum body size of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// The version of the API.
const API_VERSION: &str = "0.1.0";

type Api = ApiDescription<OperatorContext>;
type Context = RequestContext<OperatorContext>;

/// The path parameters that select a version.
#[derive(Deserialize, JsonSchema)]
struct VersionPath {
    version: u64,
}

/// The path parameters that select a group.
#[derive(Deserialize, JsonSchema)]
struct GroupPath {
    group: String,
}

/// The path parameters that select a request.
#[derive(Deserialize, JsonSchema)]
struct RequestPath {
    request: Uuid,
}

/// Starts the operators' API on `address`.
///
/// # Errors
/// Fails if the address is in use or does not belong to this machine.
pub fn start_operator_api(
    address: SocketAddr,
    context: OperatorContext,
    log: &Logger,
) -> Result<HttpServer<OperatorContext>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let api = describe_api().map_err(|err| Error::Invalid(format!("operators' API: {err}")))?;
    let server_log = log.new(slog::o!("part" => "operators"));
    ServerBuilder::new(api, context, server_log)
        .config(config)
        .start()
        .map_err(|err| Error::Invalid(format!("operators' API on {address}: {err}")))
}

/// Renders the OpenAPI document of the operators' API.
///
/// # Errors
/// Fails if two endpoints conflict.
pub fn openapi_document() -> Result<String> {
    let api = describe_api().map_err(|err| Error::Invalid(format!("operators' API: {err}")))?;
    let version = API_VERSION
        .parse()
        .map_err(|err| Error::Invalid(format!("{err}")))?;
    let mut document = Vec::new();
    let written = api
        .openapi("comfreyhead operators' API", version)
        .write(&mut document);
    written.map_err(|err| Error::Invalid(format!("OpenAPI document: {err}")))?;
    Ok(String::from_utf8_lossy(&document).into_owned())
}

fn describe_api() -> Result<Api, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(live)?;
    api.register(ready)?;
    api.register(show_metrics)?;
    api.register(show_status)?;
    api.register(show_config)?;
    api.register(show_version)?;
    api.register(list_history)?;
    api.register(in_force)?;
    api.register(patch)?;
    api.register(recall)?;
    api.register(list_targets)?;
    api.register(explain)?;
    api.register(show_plan)?;
    api.register(open_orders)?;
    api.register(settle_order)?;
    Ok(api)
}

/// Tells that the process runs.
#[endpoint { method = GET, path = "/live" }]
async fn live(_context: Context) -> Result<HttpResponseOk<String>, HttpError> {
    Ok(HttpResponseOk("live".to_owned()))
}

/// Tells whether the process serves.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(context: Context) -> Result<HttpResponseOk<String>, HttpError> {
    if (context.context().health.is_ready)() {
        return Ok(HttpResponseOk("ready".to_owned()));
    }
    Err(HttpError::for_unavail(
        None,
        "the process does not serve".to_owned(),
    ))
}

/// Shows the metrics in the text format of Prometheus.
#[endpoint { method = GET, path = "/metrics" }]
async fn show_metrics(context: Context) -> Result<Response<Body>, HttpError> {
    let text = (context.context().health.metrics)();
    Response::builder()
        .status(StatusCode::OK)
        .header(http::header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(Body::from(text))
        .map_err(|err| HttpError::for_internal_error(err.to_string()))
}

/// Reports the state of the entry VM and what it sees of the others.
#[endpoint { method = GET, path = "/status" }]
async fn show_status(context: Context) -> Result<HttpResponseOk<StatusReport>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    Ok(HttpResponseOk(entry.status()))
}

/// Shows the version in force.
#[endpoint { method = GET, path = "/config" }]
async fn show_config(context: Context) -> Result<HttpResponseOk<ConfigReport>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    Ok(HttpResponseOk(entry.config_report()))
}

/// Shows a version that the history still reaches back to.
#[endpoint { method = GET, path = "/config/{version}" }]
async fn show_version(
    context: Context,
    path: Path<VersionPath>,
) -> Result<HttpResponseOk<ConfigReport>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    let number = VersionNumber(path.into_inner().version);
    let unknown = || {
        let message = format!("version {number} does not exist, or is older than the history");
        HttpError::for_not_found(None, message)
    };
    entry
        .version(number)
        .map(HttpResponseOk)
        .ok_or_else(unknown)
}

/// Lists the versions that can still be recalled, the oldest first.
#[endpoint { method = GET, path = "/history" }]
async fn list_history(context: Context) -> Result<HttpResponseOk<Vec<VersionReport>>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    Ok(HttpResponseOk(entry.history()))
}

/// Reports where a version is in force.
#[endpoint { method = GET, path = "/in-force/{version}" }]
async fn in_force(
    context: Context,
    path: Path<VersionPath>,
) -> Result<HttpResponseOk<InForceReport>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    Ok(HttpResponseOk(
        entry.in_force(VersionNumber(path.into_inner().version)),
    ))
}

/// Publishes a patch against a named version.
#[endpoint { method = POST, path = "/patches" }]
async fn patch(
    context: Context,
    body: TypedBody<PatchOrder>,
) -> Result<HttpResponseOk<PatchReport>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    Ok(HttpResponseOk(entry.patch(body.into_inner()).await))
}

/// Publishes a later version without the changes of a batch.
#[endpoint { method = POST, path = "/recalls" }]
async fn recall(
    context: Context,
    body: TypedBody<RecallOrder>,
) -> Result<HttpResponseOk<PatchReport>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    Ok(HttpResponseOk(entry.recall(body.into_inner()).await))
}

/// Reports the targets.
#[endpoint { method = GET, path = "/targets" }]
async fn list_targets(context: Context) -> Result<HttpResponseOk<Vec<TargetReport>>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    Ok(HttpResponseOk(entry.target_reports()))
}

/// Shows what the leader of a group would move and why, without doing it.
#[endpoint { method = GET, path = "/plans/{group}" }]
async fn show_plan(
    context: Context,
    path: Path<GroupPath>,
) -> Result<HttpResponseOk<PlanReport>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    let group = GroupName::from(path.into_inner().group);
    let unknown = || {
        let message = format!("no leader of the group {group} answers, or its loads are not known");
        HttpError::for_not_found(None, message)
    };
    entry
        .plan(&group)
        .await
        .map(HttpResponseOk)
        .ok_or_else(unknown)
}

/// Explains why a request was routed as it was.
#[endpoint { method = GET, path = "/requests/{request}" }]
async fn explain(
    context: Context,
    path: Path<RequestPath>,
) -> Result<HttpResponseOk<RequestReport>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    let request = RequestId(path.into_inner().request);
    let unknown = || {
        let message = format!(
            "{} does not know the request {request}",
            entry.settings().process.name
        );
        HttpError::for_not_found(None, message)
    };
    entry
        .explain(request)
        .map(HttpResponseOk)
        .ok_or_else(unknown)
}

/// Lists the orders without a known outcome.
#[endpoint { method = GET, path = "/orders/open" }]
async fn open_orders(context: Context) -> Result<HttpResponseOk<OpenOrders>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    let orders = entry.open_orders().await;
    orders
        .map(HttpResponseOk)
        .map_err(|err| HttpError::for_unavail(None, err.to_string()))
}

/// Records what an operator found out about an order.
#[endpoint { method = POST, path = "/orders/settle" }]
async fn settle_order(
    context: Context,
    body: TypedBody<SettleOrder>,
) -> Result<HttpResponseOk<SettleReport>, HttpError> {
    let entry = context.context().authorized(context.request.headers())?;
    match entry.settle_order(body.into_inner()).await {
        Ok(report) => Ok(HttpResponseOk(report)),
        Err(Error::Invalid(message)) => {
            let status = ClientErrorStatusCode::BAD_REQUEST;
            Err(HttpError::for_client_error(None, status, message))
        }
        Err(err) => Err(HttpError::for_unavail(None, err.to_string())),
    }
}
