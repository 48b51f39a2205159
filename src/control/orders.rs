//! Sends the orders that placement decides on to the engines (`docs/design.md`, 3.8).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use slog::info;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock;
use crate::control::state::{Control, ControlState};
use crate::decisions::ownership_keys::PLACEMENT_KEY;
use crate::decisions::placement::{FencingNumber, Order, OrderAnswer, OrderKind, OwnershipContext};
use crate::http::{self, Call};
use crate::units::{ModelName, VmId};

/// Interval between decisions. Engines take seconds to carry out an order.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for an engine to answer an order. It is shorter than the time for which a new owner of
/// placement waits, so that no order of an earlier owner arrives after that wait.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Body of the request `POST /v1/orders`.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    order: &'static str,
    model: &'a ModelName,
    fencing: [u64; 3],
}

/// Body of an engine's answer that refuses an order because its fencing number is too low.
#[derive(Debug, Deserialize)]
struct FencedBody {
    fencing: [u64; 3],
}

/// Decides on orders and sends them whenever this VM is the owner of placement, until the task is
/// dropped.
pub async fn issue_orders(control: Rc<Control>) {
    let mut ticks = interval(DECISION_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let orders = control
            .state
            .borrow_mut()
            .decide_orders(&control.context.vm);
        for (order, address) in orders {
            spawn_local(issue_order(control.clone(), order, address));
        }
    }
}

impl ControlState {
    fn decide_orders(&mut self, me: &VmId) -> Vec<(Order, SocketAddr)> {
        let now = clock::now();
        let Some(catalogue) = self.catalogue.clone() else {
            return Vec::new();
        };
        let Some(epoch) = self.membership.ownership_epoch(now, PLACEMENT_KEY) else {
            return Vec::new();
        };
        let context = OwnershipContext {
            now,
            me,
            list: self.membership.list(),
            epoch,
        };
        let orders = self.placement.decide(context, &catalogue);
        let address_of = |order: &Order| catalogue.endpoint(&order.engine).map(|it| it.address);
        let addressed = orders.into_iter().filter_map(|order| {
            let address = address_of(&order)?;
            Some((order, address))
        });
        addressed.collect()
    }
}

async fn issue_order(control: Rc<Control>, order: Order, address: SocketAddr) {
    let (verb, model) = match &order.kind {
        OrderKind::Load(model) => ("load", model),
        OrderKind::Unload(model) => ("unload", model),
    };
    info!(control.logger(), "placement: {verb} {model} at {}: {}", order.engine, order.reason;
        "decision" => "placement", "fencing" => order.number.to_string());
    let answer = send_order(&order, verb, model, address).await;
    info!(control.logger(), "placement: {} answered {answer:?}", order.engine;
        "decision" => "placement", "fencing" => order.number.to_string());
    let mut state = control.state.borrow_mut();
    state
        .placement
        .on_answer(&order.engine, order.number, answer);
}

async fn send_order(
    order: &Order,
    verb: &'static str,
    model: &ModelName,
    engine_address: SocketAddr,
) -> OrderAnswer {
    let number = order.number;
    let body = OrderBody {
        order: verb,
        model,
        fencing: [number.list_version.0, number.term, number.sequence],
    };
    let Ok(body) = serde_json::to_vec(&body) else {
        return OrderAnswer::Refused;
    };
    let remaining = order.send_before.since(clock::now());
    let mut call = Call::get(engine_address, "/v1/orders", remaining.min(ORDER_TIMEOUT));
    call.method = Method::POST;
    call.headers = &[("content-type", "application/json")];
    call.body = Bytes::from(body);
    let Ok((status, body)) = http::fetch(&call, ORDER_TIMEOUT).await else {
        return OrderAnswer::Unknown;
    };
    match status {
        status if status.is_success() => OrderAnswer::Accepted,
        StatusCode::CONFLICT => parse_fenced(&body),
        _ => OrderAnswer::Refused,
    }
}

fn parse_fenced(body: &[u8]) -> OrderAnswer {
    let Ok(body) = serde_json::from_slice::<FencedBody>(body) else {
        return OrderAnswer::Refused;
    };
    let [list_version, term, sequence] = body.fencing;
    OrderAnswer::Fenced(FencingNumber {
        list_version: crate::units::Version(list_version),
        term,
        sequence,
    })
}
