//! Chooses the group of endpoints that runs a stage job.
//!
//! A job goes to the group in the data centre where its inputs are or its results will be read. The
//! owner of that group moves it to another group when its own queue is clearly longer, going by the
//! loads that owners report to each other. This handles bursts, failures and evacuations that hit
//! the data centres unevenly.

use std::collections::HashMap;
use std::time::Duration;

use crate::decisions::endpoint_choice::hash_of;
use crate::decisions::stage_groups::{GroupId, StageGroup};
use crate::units::{DataCentreName, Time};

/// Difference of the waits from which a job moves. A job that moves takes results to another data
/// centre, and reported waits are up to a report interval old.
const MIN_GAIN: Duration = Duration::from_millis(150);
/// Time for which a reported load counts.
const REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Load of a group's queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupLoad {
    /// Expected time until an item that arrives now starts to run.
    pub wait: Duration,
    /// Number of items per second that the group runs with full calls.
    pub items_per_s: f64,
}

/// A load that an owner reported, with what was sent to its group since.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: GroupLoad,
    at: Time,
    moved_items: u32,
}

impl Report {
    fn wait(&self) -> Duration {
        let moved_s = f64::from(self.moved_items) / self.load.items_per_s.max(1.0);
        self.load.wait + Duration::from_secs_f64(moved_s)
    }
}

/// Loads of groups that other VMs own.
#[derive(Debug, Default)]
pub struct GroupLoads {
    reports: HashMap<GroupId, Report>,
}

impl GroupLoads {
    /// Records the load that the owner of a group reports.
    pub fn record(&mut self, now: Time, group: GroupId, load: GroupLoad) {
        let report = Report {
            load,
            at: now,
            moved_items: 0,
        };
        self.reports.insert(group, report);
    }

    /// Returns the group to which a job with `items` items moves from a group whose own wait is
    /// `own_wait`, if one of `others` has a clearly shorter wait.
    pub fn shorter<'a>(
        &mut self,
        now: Time,
        own_wait: Duration,
        others: impl IntoIterator<Item = &'a GroupId>,
        items: u32,
    ) -> Option<GroupId> {
        let reports = &self.reports;
        let with_wait = |group: &'a GroupId| {
            let report = reports.get(group)?;
            let is_current = now.since(report.at) < REPORT_TTL;
            is_current.then(|| (report.wait(), group))
        };
        let (wait, group) = others.into_iter().filter_map(with_wait).min()?;
        if own_wait < wait + MIN_GAIN {
            return None;
        }
        if let Some(report) = self.reports.get_mut(group) {
            report.moved_items += items;
        }
        Some(group.clone())
    }

    /// Drops reports that no longer count.
    pub fn sweep(&mut self, now: Time) {
        self.reports
            .retain(|_, report| now.since(report.at) < REPORT_TTL);
    }
}

/// Returns the group that a job is sent to first: one in the `preferred` data centre, or else in the
/// `own` one, or else any that has usable endpoints. The jobs of different requests are divided among
/// the groups of a data centre. `excluded` groups have turned the job away.
pub fn home_group<'a>(
    groups: &'a [StageGroup],
    preferred: Option<&DataCentreName>,
    own: &DataCentreName,
    request: &str,
    excluded: &[GroupId],
) -> Option<&'a StageGroup> {
    let usable = |group: &&StageGroup| !group.usable.is_empty() && !excluded.contains(&group.id);
    let in_data_centre = |data_centre: &DataCentreName| {
        let is_in = |group: &&StageGroup| group.id.data_centre.as_ref() == Some(data_centre);
        pick(groups.iter().filter(usable).filter(is_in), request)
    };
    preferred
        .and_then(in_data_centre)
        .or_else(|| in_data_centre(own))
        .or_else(|| pick(groups.iter().filter(usable), request))
}

/// Picks one of the groups by the id of the request.
fn pick<'a>(
    groups: impl Iterator<Item = &'a StageGroup> + Clone,
    request: &str,
) -> Option<&'a StageGroup> {
    let count = groups.clone().count().max(1);
    let position = hash_of(request) as usize % count;
    groups.clone().nth(position)
}
