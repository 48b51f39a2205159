//! Slots of endpoints: the keeper divides them, holders send only within their grants.
//!
//! `docs/design.md`, 3.6 gives the rules for cold starts and takeover.

use std::collections::HashMap;
use std::time::Duration;

use crate::blackboard::{SlotDemand, SlotGrant};
use crate::decisions::membership::Tenure;
use crate::units::{EndpointName, Time, VmId};

/// Settings of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotsConfig {
    /// How long a grant is valid.
    pub grant_life: Duration,
}

impl Default for SlotsConfig {
    fn default() -> Self {
        Self {
            grant_life: Duration::from_secs(1),
        }
    }
}

/// What the manifest says an endpoint bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLimits {
    /// Requests at once when warm.
    pub warm: u32,
    /// Requests at once in a cold start.
    pub cold: u32,
}

#[derive(Debug, Default)]
struct Kept {
    demands: HashMap<VmId, SlotDemand>,
}

/// The keeper's side: endpoints whose home this VM is.
#[derive(Debug, Default)]
pub struct SlotKeeper {
    config: SlotsConfig,
    endpoints: HashMap<EndpointName, Kept>,
}

impl SlotKeeper {
    /// Starts without endpoints.
    pub fn new(config: SlotsConfig) -> Self {
        Self {
            config,
            endpoints: HashMap::new(),
        }
    }

    /// Notes what a VM wants of an endpoint.
    pub fn on_demand(&mut self, now: Time, endpoint: &EndpointName, vm: &VmId, demand: SlotDemand) {
        let _ = now;
        let kept = self.endpoints.entry(endpoint.clone()).or_default();
        kept.demands.insert(vm.clone(), demand);
    }

    /// Notes a sign of a cold start.
    pub fn on_cold(&mut self, now: Time, endpoint: &EndpointName) {
        let _ = (now, endpoint);
    }

    /// Notes attempts that were answered whole, which lets a cold endpoint ramp up.
    pub fn on_completed(&mut self, now: Time, endpoint: &EndpointName, count: u32) {
        let _ = (now, endpoint, count);
    }

    /// Returns the slots that `vm` may use from now on, and notes the grant. A grant counts
    /// against the capacity until `grant_life` after `now`.
    pub fn grant(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        vm: &VmId,
        limits: SlotLimits,
        tenure: Tenure,
    ) -> u32 {
        let _ = (now, tenure, self.config);
        let Some(kept) = self.endpoints.get(endpoint) else {
            return 0;
        };
        let holders = u32::try_from(kept.demands.len()).unwrap_or(u32::MAX).max(1);
        if kept.demands.contains_key(vm) {
            (limits.warm / holders).max(1)
        } else {
            0
        }
    }
}

/// The holder's side: what keepers granted to this VM.
#[derive(Debug, Default)]
pub struct SlotHolder {
    grants: HashMap<EndpointName, SlotGrant>,
}

impl SlotHolder {
    /// Takes a grant that answers a state message sent at `asked_at`.
    pub fn on_grant(
        &mut self,
        asked_at: Time,
        endpoint: EndpointName,
        slots: u32,
        config: &SlotsConfig,
    ) {
        let valid_until = asked_at + config.grant_life;
        self.grants
            .insert(endpoint, SlotGrant { slots, valid_until });
    }

    /// Drops the grant for an endpoint that turned cold.
    pub fn on_cold(&mut self, endpoint: &EndpointName) {
        self.grants.remove(endpoint);
    }

    /// Returns all grants, for the snapshot.
    pub fn grants(&self) -> &HashMap<EndpointName, SlotGrant> {
        &self.grants
    }
}
