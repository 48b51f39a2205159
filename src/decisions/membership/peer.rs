//! What was exchanged with one other VM.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{Acknowledgement, Heartbeat, MembershipConfig};
use crate::units::{Incarnation, Time, VmId};

/// An answer that shows a peer's list version and whether it remembers earlier promises.
#[derive(Debug, Clone, Copy)]
pub(super) struct Evidence {
    /// When the answered heartbeat was sent.
    pub sent_at: Time,
    /// Whether the peer was still recovering.
    pub recovering: bool,
}

/// State about one peer. Answers count only for the list version that this VM holds.
#[derive(Debug)]
pub(super) struct Peer {
    sequence_sent: u64,
    sent: VecDeque<(u64, Time)>,
    pub heard_incarnation: Option<Incarnation>,
    /// Highest sequence heard from the peer's current incarnation.
    pub sequence_heard: u64,
    /// When a new heartbeat last came, or when silence began to count.
    pub heard_at: Time,
    /// End of the lease that this VM acknowledged to the peer.
    pub leased_until: Time,
    /// The incarnation that the lease was acknowledged to.
    pub leased_to: Option<Incarnation>,
    /// The incarnation that will not act as owner any more, by its own word.
    pub resigned: Option<Incarnation>,
    /// The peer is not acknowledged before this time, as promised to others.
    pub voted_absent_until: Time,
    /// End of the acknowledgement that the peer gave this VM.
    pub granted_until: Time,
    /// The newest answer at this VM's list version.
    pub evidence: Option<Evidence>,
    /// Absence votes that the peer promised, by the VM voted absent.
    pub absence_votes: HashMap<VmId, Time>,
    /// End of this VM's own absence vote on the peer, counted like one that came by message.
    pub own_absence_vote_until: Time,
}

impl Peer {
    /// Starts with silence that counts from `now`.
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
            evidence: None,
            absence_votes: HashMap::new(),
            own_absence_vote_until: Time::ZERO,
        }
    }

    /// Drops what the peer answered under another list version.
    pub fn forget_answers(&mut self) {
        self.granted_until = Time::ZERO;
        self.evidence = None;
        self.absence_votes.clear();
        self.own_absence_vote_until = Time::ZERO;
    }

    /// Notes the next heartbeat and returns its sequence. An answer to one sent longer ago
    /// than a lease would count for nothing.
    pub fn note_sent(&mut self, now: Time, lease: Duration) -> u64 {
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

    /// Returns whether the peer's present incarnation has resigned.
    pub fn has_resigned(&self) -> bool {
        self.resigned.is_some() && self.resigned == self.heard_incarnation
    }

    /// Notes a heartbeat of the peer. Copies that arrive late are no sign of life.
    pub fn note_heard(&mut self, now: Time, heartbeat: &Heartbeat) {
        let restarted = self.heard_incarnation != Some(heartbeat.incarnation);
        if restarted || heartbeat.sequence > self.sequence_heard {
            self.heard_incarnation = Some(heartbeat.incarnation);
            self.sequence_heard = heartbeat.sequence;
            self.heard_at = self.heard_at.max(now);
        }
    }

    /// Notes an answer at this VM's list version to the heartbeat sent at `sent_at`.
    pub fn note_answer(
        &mut self,
        sent_at: Time,
        answer: &Acknowledgement,
        config: &MembershipConfig,
    ) {
        let newer = |known: Evidence| sent_at >= known.sent_at;
        if self.evidence.is_none_or(newer) {
            let recovering = answer.recovering;
            self.evidence = Some(Evidence {
                sent_at,
                recovering,
            });
        }
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
