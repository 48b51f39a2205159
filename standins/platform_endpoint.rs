//! Stand-in for an endpoint of the users' platform: a plain service (`docs/platform.md`).

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use hyper::StatusCode;
use primrosewalk::units::EndpointName;

use crate::http::{self, Call, Reply};

/// Flags of `platform-endpoint`.
#[derive(Args)]
pub struct PlatformEndpointOptions {
    /// Address to listen on.
    #[arg(long, value_name = "ADDR")]
    listen: SocketAddr,
    /// Id under which the endpoint is registered.
    #[arg(long)]
    id: EndpointName,
    /// Service time of each request, in milliseconds.
    #[arg(long, default_value_t = 5)]
    service_ms: u64,
}

/// Serves the endpoint until the process ends.
pub async fn run(options: PlatformEndpointOptions) -> anyhow::Result<()> {
    let listener = http::bind(options.listen).await?;
    let service_time = Duration::from_millis(options.service_ms);
    http::serve(listener, move |call| {
        let id = options.id.clone();
        async move { Some(answer(&id, &call, service_time).await) }
    })
    .await
}

/// Runs a request, unless the caller expects another endpoint at this address.
async fn answer(id: &EndpointName, call: &Call, service_time: Duration) -> Reply {
    let expected = call.header("expect-instance");
    if !expected.is_empty() && expected != id.as_str() {
        return http::status(StatusCode::MISDIRECTED_REQUEST);
    }
    tokio::time::sleep(service_time).await;
    let request_id = call.header("request-id");
    let mut reply = http::bytes(StatusCode::OK, format!("answer to {request_id}"));
    http::set_header(&mut reply, "request-id", &request_id);
    http::set_header(&mut reply, "response-signature", &format!("{id}.1"));
    http::set_header(&mut reply, "instance-id", id.as_str());
    reply
}
