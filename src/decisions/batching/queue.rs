//! Order of the jobs whose items wait for a call.
//!
//! The order is kept up to date with each change, so that a burst of thousands of items costs no
//! more for each of them than a short queue does.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::iter::from_fn;

use crate::decisions::batching::JobId;
use crate::decisions::work_order::{Lane, MAX_PRIORITY};
use crate::units::Time;

/// Number of priorities that are counted, with one more for jobs without a priority.
const COUNTED_PRIORITIES: usize = MAX_PRIORITY as usize + 2;

/// What the place of a job in the queue depends on. It does not change while the job waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place {
    pub(super) id: JobId,
    pub(super) lane: Lane,
    pub(super) priority: Option<u8>,
    pub(super) due: Time,
    pub(super) deadline: Time,
}

impl Place {
    fn priority_index(&self) -> usize {
        let priority = self.priority.map(|priority| priority.min(MAX_PRIORITY));
        priority.map_or(COUNTED_PRIORITIES - 1, usize::from)
    }
}

/// Jobs by a time and, for equal times, in the order of their arrival.
type JobsByTime = BTreeSet<(Time, JobId)>;

/// Jobs that run in the order in which they are due, and the number of their items.
#[derive(Debug, Default)]
struct DueJobs {
    jobs: JobsByTime,
    items: usize,
}

impl DueJobs {
    /// Returns the jobs that are due at `on_time_from` or later, followed by the others.
    fn in_order(&self, on_time_from: Time) -> impl Iterator<Item = (bool, Time, JobId)> {
        let first_on_time = (on_time_from, JobId(0));
        let on_time = self.jobs.range(first_on_time..);
        let on_time = on_time.map(|(due, id)| (false, *due, *id));
        let late = self.jobs.range(..first_on_time);
        on_time.chain(late.map(|(due, id)| (true, *due, *id)))
    }
}

/// The jobs with queued items, and the number of their items.
#[derive(Debug, Default)]
pub(super) struct JobQueue {
    items: usize,
    items_by_priority: [usize; COUNTED_PRIORITIES],
    /// Jobs of which an item was sent. Their results use memory and expire.
    started: DueJobs,
    /// Jobs of which no item was sent. Only lanes with jobs are present.
    unstarted: BTreeMap<Lane, DueJobs>,
    deadlines: JobsByTime,
}

impl JobQueue {
    /// Returns the number of queued items.
    pub(super) fn items(&self) -> usize {
        self.items
    }

    /// Returns the number of queued items by priority; `None` for those without a priority.
    pub(super) fn items_by_priority(&self) -> impl Iterator<Item = (Option<u8>, usize)> {
        let items = self.items_by_priority.iter().enumerate();
        items.map(|(index, items)| {
            let priority = u8::try_from(index).ok();
            (
                priority.filter(|priority| *priority <= MAX_PRIORITY),
                *items,
            )
        })
    }

    /// Returns the number of queued items that run before a job that arrives with a lane, or with it.
    pub(super) fn items_up_to(&self, lane: Lane) -> usize {
        let lanes = self.unstarted.iter();
        let ahead = lanes.filter(|(other, _)| **other <= lane || self.runs_first(**other));
        self.started.items + ahead.map(|(_, jobs)| jobs.items).sum::<usize>()
    }

    /// Adds `count` items of a job.
    pub(super) fn add(&mut self, place: Place, is_started: bool, count: usize) {
        if count == 0 {
            return;
        }
        self.items += count;
        self.items_by_priority[place.priority_index()] += count;
        let lane = match is_started {
            true => &mut self.started,
            false => self.unstarted.entry(place.lane).or_default(),
        };
        lane.jobs.insert((place.due, place.id));
        lane.items += count;
        self.deadlines.insert((place.deadline, place.id));
    }

    /// Removes `count` items of a job; `is_last` says that no other items of it are queued.
    pub(super) fn remove(&mut self, place: Place, count: usize, is_last: bool) {
        let key = (place.due, place.id);
        self.items -= count;
        self.items_by_priority[place.priority_index()] -= count;
        if self.started.jobs.contains(&key) {
            self.started.items -= count;
        } else if let Some(lane) = self.unstarted.get_mut(&place.lane) {
            lane.items -= count;
        }
        if is_last {
            self.started.jobs.remove(&key);
            self.remove_unstarted(place);
            self.deadlines.remove(&(place.deadline, place.id));
        }
    }

    /// Records that the first items of a job were sent, of which `left` items are queued.
    pub(super) fn start(&mut self, place: Place, left: usize) {
        if self.remove_unstarted(place) {
            if let Some(lane) = self.unstarted.get_mut(&place.lane) {
                lane.items -= left;
            }
            self.started.jobs.insert((place.due, place.id));
            self.started.items += left;
        }
    }

    /// Returns the jobs in the order in which they run: started ones first, then lane by lane, where
    /// the front and the most urgent lane that waits are one. Within each group, jobs that can still
    /// be on time, which are due at `on_time_from` or later, come first, and of these the one with the
    /// earlier due time.
    ///
    /// Started jobs hold up more urgent ones for a short time only: a job starts in its turn, so no
    /// more than one for each call has items left, besides those whose retry the budget allows.
    pub(super) fn in_order(&self, on_time_from: Time) -> impl Iterator<Item = JobId> {
        let front = self.unstarted.get(&Lane::Front);
        let mut others = self.unstarted.iter();
        let most_urgent = others.by_ref().find(|(lane, _)| **lane != Lane::Front);
        let first = merge(
            front
                .into_iter()
                .flat_map(move |jobs| jobs.in_order(on_time_from)),
            most_urgent
                .into_iter()
                .flat_map(move |(_, jobs)| jobs.in_order(on_time_from)),
        );
        let others = others.flat_map(move |(_, jobs)| jobs.in_order(on_time_from));
        let started = self.started.in_order(on_time_from);
        let ids = started.chain(first).chain(others);
        ids.map(|(_, _, id)| id)
    }

    /// Returns the jobs whose deadline is before `time`.
    pub(super) fn with_deadline_before(&self, time: Time) -> Vec<JobId> {
        let late = self.deadlines.range(..(time, JobId(0)));
        late.map(|(_, id)| *id).collect()
    }

    /// Returns whether the jobs of a lane run with those of the front.
    fn runs_first(&self, lane: Lane) -> bool {
        let mut lanes = self.unstarted.keys();
        lanes.find(|other| **other != Lane::Front) == Some(&lane)
    }

    /// Removes a job from its lane. Returns whether it was there.
    fn remove_unstarted(&mut self, place: Place) -> bool {
        let Some(lane) = self.unstarted.get_mut(&place.lane) else {
            return false;
        };
        let is_removed = lane.jobs.remove(&(place.due, place.id));
        if lane.jobs.is_empty() {
            self.unstarted.remove(&place.lane);
        }
        is_removed
    }
}

/// Merges two sequences that are in order.
fn merge<T: Ord>(
    first: impl Iterator<Item = T>,
    second: impl Iterator<Item = T>,
) -> impl Iterator<Item = T> {
    let (mut first, mut second) = (first.peekable(), second.peekable());
    from_fn(move || {
        let order = match (first.peek(), second.peek()) {
            (Some(a), Some(b)) => a.cmp(b),
            (Some(_), None) => Ordering::Less,
            _ => Ordering::Greater,
        };
        match order {
            Ordering::Greater => second.next(),
            _ => first.next(),
        }
    })
}
