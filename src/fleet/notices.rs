//! Notices of endpoints that the traffic of a VM shares: which endpoints take calls now.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use slog::{Logger, info};

use crate::clock;
use crate::decisions::endpoint_notices::EndpointNotices;
use crate::fleet::load_reports::LoadBoard;
use crate::fleet::model::Endpoint;
use crate::platform::endpoint_call::{load_of, notice_of};
use crate::units::EndpointName;

/// The notices of all endpoints, with a log line for each new one.
pub struct NoticeBoard {
    logger: Logger,
    notices: Mutex<EndpointNotices>,
    loads: Arc<LoadBoard>,
}

impl NoticeBoard {
    /// Creates a board without notices. Loads that answers report go to `loads`.
    pub fn new(logger: Logger, loads: Arc<LoadBoard>) -> Arc<Self> {
        Arc::new(Self {
            logger,
            notices: Mutex::default(),
            loads,
        })
    }

    /// Records what the head of an answer asks for and the load that it reports. All answers of endpoints pass here, whatever the call
    /// was.
    pub fn read(&self, endpoint: &Endpoint, status: StatusCode, headers: &HeaderMap) {
        if let Some(report) = load_of(headers).filter(|_| status != StatusCode::MISDIRECTED_REQUEST)
        {
            self.loads.on_report(endpoint, report);
        }
        let notice = notice_of(status, headers);
        let is_new = self.notices.lock().record(clock::now(), endpoint, notice);
        if is_new {
            info!(self.logger, "endpoints: one wants no more calls"; "endpoint" => %endpoint.id,
                "leaves" => notice.is_leaving,
                "pause_ms" => notice.pause.map(|pause| pause.as_millis() as u64));
        }
    }

    /// Returns the endpoints that take calls now.
    pub fn open<'a>(&self, endpoints: &'a [Arc<Endpoint>]) -> Cow<'a, [Arc<Endpoint>]> {
        self.filtered(endpoints, |notices, endpoint| {
            notices.allows(clock::now(), endpoint)
        })
    }

    /// Returns the endpoints that take calls now or after a pause.
    pub fn staying<'a>(&self, endpoints: &'a [Arc<Endpoint>]) -> Cow<'a, [Arc<Endpoint>]> {
        self.filtered(endpoints, |notices, endpoint| {
            let now = clock::now();
            notices.allows(now, endpoint) || notices.paused_for(now, endpoint).is_some()
        })
    }

    /// Returns the time until the first of these endpoints takes calls again; `None` if one does now or
    /// all leave.
    pub fn pause(&self, endpoints: &[Arc<Endpoint>]) -> Option<Duration> {
        let notices = self.notices.lock();
        let now = clock::now();
        if endpoints
            .iter()
            .any(|endpoint| notices.allows(now, endpoint))
        {
            return None;
        }
        let pauses = endpoints
            .iter()
            .filter_map(|endpoint| notices.paused_for(now, endpoint));
        pauses.min()
    }

    /// Drops the notices of endpoints that are no longer listed.
    pub fn retain(&self, is_listed: impl Fn(&EndpointName) -> bool) {
        self.notices.lock().retain(clock::now(), is_listed);
    }

    fn filtered<'a>(
        &self,
        endpoints: &'a [Arc<Endpoint>],
        keeps: impl Fn(&EndpointNotices, &Endpoint) -> bool,
    ) -> Cow<'a, [Arc<Endpoint>]> {
        let notices = self.notices.lock();
        if notices.is_empty() {
            return Cow::Borrowed(endpoints);
        }
        let kept = endpoints
            .iter()
            .filter(|endpoint| keeps(&notices, endpoint));
        Cow::Owned(kept.cloned().collect())
    }
}
