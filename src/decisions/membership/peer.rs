//! State about one other VM: its heartbeats and answers, and the promises (lease acknowledgements
//! and absence votes) that it and this VM have given.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{Acknowledgement, Heartbeat, MembershipConfig};
use crate::units::{Incarnation, Time, VmId};

/// The newest answer of a peer at this VM's list version. It shows that the peer uses that version,
/// and whether it may have forgotten promises that it made before a restart.
#[derive(Debug, Clone, Copy)]
pub(super) struct LatestAnswer {
    /// When the answered heartbeat was sent.
    pub sent_at: Time,
    /// Whether the peer was still recovering after a restart.
    pub recovering: bool,
}

/// State about one peer. Answers count only for the list version that this VM uses.
#[derive(Debug)]
pub(super) struct Peer {
    sequence_sent: u64,
    /// Sequences and send times of heartbeats that are younger than a lease time.
    sent: VecDeque<(u64, Time)>,
    /// Incarnation of the peer's newest heartbeat.
    pub heard_incarnation: Option<Incarnation>,
    /// Highest sequence among heartbeats of the peer's current incarnation.
    pub sequence_heard: u64,
    /// Time from which the peer's silence counts: when its newest heartbeat arrived, or the later
    /// time when this VM learned of the peer or ended a pause or recovery of its own.
    pub heard_at: Time,
    /// End of the peer's lease that this VM acknowledged.
    pub leased_until: Time,
    /// Incarnation of the peer whose lease was acknowledged.
    pub leased_to: Option<Incarnation>,
    /// Newest incarnation of the peer that announced that it will not act as owner again.
    pub resigned: Option<Incarnation>,
    /// Time before which this VM does not acknowledge the peer, as its absence vote promises.
    pub voted_absent_until: Time,
    /// Time until which the peer acknowledges this VM's lease.
    pub granted_until: Time,
    /// The newest answer at this VM's list version.
    pub latest_answer: Option<LatestAnswer>,
    /// Ends of the absence votes that the peer gave, by the VM voted absent.
    pub absence_votes: HashMap<VmId, Time>,
    /// End of this VM's own absence vote on the peer, which counts like a received vote.
    pub own_absence_vote_until: Time,
}

impl Peer {
    /// Creates the state of a peer that has sent nothing, with silence counted from `now`.
    pub fn new(now: Time) -> Self {
        Self {
            sequence_sent: 0,
            sent: VecDeque::new(),
            heard_incarnation: None,
            sequence_heard: 0,
            heard_at: now,
            leased_until: Time::ZERO,
            leased_to: None,
            resigned: None,
            voted_absent_until: Time::ZERO,
            granted_until: Time::ZERO,
            latest_answer: None,
            absence_votes: HashMap::new(),
            own_absence_vote_until: Time::ZERO,
        }
    }

    /// Drops the answers that the peer gave under another list version.
    pub fn forget_answers(&mut self) {
        self.granted_until = Time::ZERO;
        self.latest_answer = None;
        self.absence_votes.clear();
        self.own_absence_vote_until = Time::ZERO;
    }

    /// Records the next heartbeat and returns its sequence. Heartbeats older than a lease time are
    /// dropped, since answers to them no longer count.
    pub fn record_sent(&mut self, now: Time, lease: Duration) -> u64 {
        self.sent.retain(|(_, sent_at)| now.since(*sent_at) < lease);
        self.sequence_sent += 1;
        self.sent.push_back((self.sequence_sent, now));
        self.sequence_sent
    }

    /// Returns when the heartbeat with this sequence was sent.
    pub fn sent_at(&self, sequence: u64) -> Option<Time> {
        let mut sent = self.sent.iter();
        sent.find(|(sent, _)| *sent == sequence).map(|(_, at)| *at)
    }

    /// Returns whether the peer's current incarnation has resigned.
    pub fn has_resigned(&self) -> bool {
        self.resigned.is_some() && self.resigned == self.heard_incarnation
    }

    /// Records a heartbeat of the peer. Late or repeated copies do not end its silence.
    pub fn record_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        let restarted = self.heard_incarnation != Some(heartbeat.incarnation);
        if restarted || heartbeat.sequence > self.sequence_heard {
            self.heard_incarnation = Some(heartbeat.incarnation);
            self.sequence_heard = heartbeat.sequence;
            self.heard_at = self.heard_at.max(now);
        }
    }

    /// Records an answer at this VM's list version to the heartbeat sent at `sent_at`.
    pub fn record_answer(
        &mut self,
        sent_at: Time,
        answer: &Acknowledgement,
        config: &MembershipConfig,
    ) {
        let is_newer = |known: LatestAnswer| sent_at >= known.sent_at;
        if self.latest_answer.is_none_or(is_newer) {
            let recovering = answer.recovering;
            self.latest_answer = Some(LatestAnswer {
                sent_at,
                recovering,
            });
        }
        // A recovering peer gives no acknowledgements or votes.
        if answer.recovering {
            return;
        }
        if answer.granted {
            self.granted_until = self.granted_until.max(sent_at + config.lease);
        }
        for vm in &answer.absence_votes {
            let until = self.absence_votes.entry(vm.clone()).or_default();
            *until = (*until).max(sent_at + config.absence_vote_life);
        }
    }
}
