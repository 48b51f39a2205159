//! `primrosewalk send`: asks a VM for an address, sends one request there and prints the answer.

use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, bail};
use bytes::Bytes;
use clap::Args;
use comfy_table::Table;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::{Method, Response};
use serde::Deserialize;
use serde_json::Value;

use crate::cli::sse::EventReader;
use crate::http::{self, Call};
use crate::units::PipelineName;

/// How long to wait after the deadline for the refusal that the fleet sends then. Also the timeout
/// of the calls that ask for an address or a request id.
const REFUSAL_WAIT: Duration = Duration::from_secs(2);

/// Options of `primrosewalk send`.
#[derive(Debug, Args)]
pub struct SendOptions {
    /// Caller address of any VM in the fleet.
    #[arg(long, env = "PRIMROSEWALK_VM_ADDRESS")]
    vm_address: SocketAddr,
    /// API key of the organisation; without a key only open pipelines accept the request.
    #[arg(long, env = "PRIMROSEWALK_KEY", hide_env_values = true)]
    key: Option<String>,
    /// Name of the pipeline to run.
    #[arg(long)]
    pipeline: PipelineName,
    /// Input of the pipeline as JSON, or - to read it from standard input.
    #[arg(long, default_value = "{}")]
    input: String,
    /// Deadline for the complete answer, in milliseconds from sending the request.
    #[arg(long, default_value_t = 3_000)]
    deadline_ms: u64,
    /// Id of an earlier request to send again; its stored answer is returned, and it never runs
    /// twice.
    #[arg(long)]
    request_id: Option<String>,
    /// Print tokens as they are generated.
    #[arg(long)]
    stream: bool,
    /// Print the complete answer as JSON instead of text and a table.
    #[arg(long)]
    json: bool,
}

/// Answer to `GET /v1/address`.
#[derive(Debug, Deserialize)]
struct AddressAnswer {
    address: SocketAddr,
    /// Present only if the address is that of the VM that answers.
    request_id: Option<String>,
}

/// Sends the request and prints the answer. A refusal is returned as an error with its code and
/// outcome.
pub async fn send(options: SendOptions) -> anyhow::Result<()> {
    let input = read_input(&options.input)?;
    let target = request_address(&options).await?;
    let deadline_ms = options.deadline_ms.to_string();
    let mut headers = vec![
        ("content-type", "application/json"),
        ("x-deadline-ms", deadline_ms.as_str()),
    ];
    headers.extend(options.key.as_deref().map(|key| ("x-key", key)));
    let request_id = options
        .request_id
        .as_deref()
        .or(target.request_id.as_deref());
    headers.extend(request_id.map(|id| ("x-request-id", id)));
    if options.stream {
        headers.push(("accept", "text/event-stream"));
    }
    let path = format!("/v1/pipelines/{}", options.pipeline);
    let call = Call {
        address: target.address,
        own_ip: None,
        method: Method::POST,
        path: &path,
        headers: &headers,
        body: input,
        head_timeout: Duration::from_millis(options.deadline_ms) + REFUSAL_WAIT,
    };
    let response = http::send(&call).await?;
    if options.stream && response.status().is_success() {
        return print_stream(response, options.json).await;
    }
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    let answer: Value = serde_json::from_slice(&body)
        .with_context(|| format!("the answer ({status}) is not JSON"))?;
    print_answer(&answer, options.json)
}

/// Returns the input, read from standard input if it is `-`, after a check that it is JSON.
fn read_input(input: &str) -> anyhow::Result<Bytes> {
    let mut text = input.to_owned();
    if input == "-" {
        text.clear();
        std::io::stdin().read_to_string(&mut text)?;
    }
    let _: Value = serde_json::from_str(&text).context("the input is not JSON")?;
    Ok(Bytes::from(text))
}

/// Asks for the address to send the request to and, if `--request-id` is not given, for a new id.
async fn request_address(options: &SendOptions) -> anyhow::Result<AddressAnswer> {
    let headers: Vec<_> = options
        .key
        .as_deref()
        .map(|key| ("x-key", key))
        .into_iter()
        .collect();
    let mut call = Call::get(options.vm_address, "/v1/address", REFUSAL_WAIT);
    call.headers = &headers;
    let (status, body) = http::fetch(&call, REFUSAL_WAIT).await?;
    if !status.is_success() {
        return Err(refusal_from_body(&body));
    }
    let mut answer: AddressAnswer = serde_json::from_slice(&body)
        .context("the answer to GET /v1/address is not as documented")?;
    if answer.request_id.is_none() && options.request_id.is_none() {
        let mut call = Call::get(answer.address, "/v1/request-ids", REFUSAL_WAIT);
        call.method = Method::POST;
        call.headers = &headers;
        let (status, body) = http::fetch(&call, REFUSAL_WAIT).await?;
        if !status.is_success() {
            return Err(refusal_from_body(&body));
        }
        let issued: Value = serde_json::from_slice(&body)?;
        answer.request_id = issued["request_id"].as_str().map(str::to_owned);
    }
    Ok(answer)
}

/// Returns the refusal in a body as an error, or an error that quotes a body of another shape.
fn refusal_from_body(body: &[u8]) -> anyhow::Error {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    parse_refusal(&answer)
        .unwrap_or_else(|| anyhow::anyhow!("unexpected answer: {}", String::from_utf8_lossy(body)))
}

/// Returns the refusal in an answer as an error, or `None` if the answer is not a refusal.
fn parse_refusal(answer: &Value) -> Option<anyhow::Error> {
    let error = answer.get("error")?;
    let field = |name: &str| error[name].as_str().unwrap_or("-").to_owned();
    Some(anyhow::anyhow!(
        "{} ({}): {} [request {}]",
        field("code"),
        field("outcome"),
        field("message"),
        field("request_id"),
    ))
}

fn print_answer(answer: &Value, json: bool) -> anyhow::Result<()> {
    if let Some(error) = parse_refusal(answer) {
        if json {
            println!("{answer}");
        }
        return Err(error);
    }
    if json {
        println!("{answer}");
        return Ok(());
    }
    println!("{}", display_value(&answer["output"]));
    print_summary(answer);
    Ok(())
}

/// Formats a JSON value for people: strings without quotes, other values as JSON.
fn display_value(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Prints the id of the request and a table of its stages.
fn print_summary(answer: &Value) {
    let mut table = Table::new();
    table.set_header(["stage", "endpoint", "attempts", "elapsed ms"]);
    for stage in answer["stages"].as_array().into_iter().flatten() {
        let columns = ["stage", "endpoint", "attempts", "elapsed_ms"];
        table.add_row(columns.map(|column| display_value(&stage[column])));
    }
    println!("request {}\n{table}", display_value(&answer["request_id"]));
}

/// Prints the tokens of a stream as they arrive, and then its `end` event.
async fn print_stream(response: Response<Incoming>, json: bool) -> anyhow::Result<()> {
    let mut body = response.into_body();
    let mut reader = EventReader::default();
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame?.into_data() else {
            continue;
        };
        for event in reader.push(&bytes) {
            let data: Value = serde_json::from_str(&event.data).unwrap_or(Value::Null);
            match event.name.as_str() {
                "token" => {
                    print!("{}", display_value(data.get("text").unwrap_or(&data)));
                    std::io::stdout().flush()?;
                }
                "end" => {
                    println!();
                    if json {
                        println!("{data}");
                    } else {
                        print_summary(&data);
                    }
                    return Ok(());
                }
                "error" => return Err(refusal_from_body(event.data.as_bytes())),
                _ => {}
            }
        }
    }
    bail!("the stream ended without an end event; the answer is incomplete")
}
