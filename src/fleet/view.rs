//! The state of the fleet as one VM sees it.
//!
//! The control thread publishes it as one immutable [`FleetView`]; traffic only reads it
//! (`docs/platform.md`, "State and its owners").

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::decisions::stage_groups::StageGroups;
use crate::decisions::store_view::{StoreSnapshot, StoreView};
use crate::fleet::model::{BatchLimits, Configuration, Endpoint, FleetVm};
use crate::units::{DataCentreName, ServiceName, VmId};

/// Snapshot of the control state that requests are served from.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The configuration in force; `None` until the first one is received.
    pub configuration: Option<Arc<Configuration>>,
    /// Endpoints that may get requests now, by service: ready and in no evacuated data centre.
    pub endpoints: HashMap<ServiceName, Vec<Arc<Endpoint>>>,
    /// All registered endpoints by address, also those that get no requests now.
    pub endpoints_by_address: Arc<HashMap<SocketAddr, Arc<Endpoint>>>,
    /// Groups of the endpoints that run stages, with the VMs that own them.
    pub stage_groups: Arc<StageGroups>,
    /// Evacuated data centres; their endpoints get no requests.
    pub evacuated: HashSet<DataCentreName>,
    /// VMs that take requests, by name; this VM is among them while it does.
    pub vms: Arc<BTreeMap<VmId, FleetVm>>,
    /// Upper bound on the number of VMs that act at the same time. Each VM uses a fleet-wide limit
    /// divided by this number.
    pub share_count: u32,
    /// Whether this VM has met its fleet since it started, so that `vms` and the owners of the groups are
    /// those that other VMs know too.
    pub has_met_fleet: bool,
    /// State of the platform's store that the view reflects, for VMs that ask for it.
    pub store: Arc<StoreSnapshot>,
}

impl FleetView {
    /// Returns the endpoints of a service that may get requests now.
    pub fn usable_endpoints(&self, service: &ServiceName) -> &[Arc<Endpoint>] {
        self.endpoints.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the limits of a service whose endpoints run stages in batches.
    pub fn batch_limits(&self, service: &ServiceName) -> Option<BatchLimits> {
        let services = &self.configuration.as_ref()?.services;
        services.get(service)?.batching
    }

    /// Returns the registered endpoint that has this address.
    pub fn endpoint_at(&self, address: SocketAddr) -> Option<&Arc<Endpoint>> {
        self.endpoints_by_address.get(&address)
    }

    /// Takes over what is known of the store: configuration, evacuations and endpoints.
    pub fn set_store(&mut self, store: &StoreView) {
        self.configuration = store.configuration().cloned();
        self.store = Arc::new(store.snapshot());
        self.evacuated = store
            .evacuated()
            .filter_map(|name| name.parse().ok())
            .collect();
        let by_address = store.endpoints();
        let by_address = by_address.map(|endpoint| (endpoint.address, Arc::clone(endpoint)));
        self.endpoints_by_address = Arc::new(by_address.collect());
        self.endpoints.clear();
        for endpoint in store.endpoints() {
            if endpoint.is_ready && !self.evacuated.contains(&endpoint.data_centre) {
                let service = self.endpoints.entry(endpoint.service.clone()).or_default();
                service.push(Arc::clone(endpoint));
            }
        }
        self.divide_stage_endpoints();
    }

    /// Divides the endpoints that run stages into groups, and names the owners of the groups.
    fn divide_stage_endpoints(&mut self) {
        let services = self
            .configuration
            .iter()
            .flat_map(|configuration| configuration.services.values());
        let stage_services = services.filter(|service| service.batching.is_some());
        let names = stage_services.map(|service| &service.name);
        let listed = self.endpoints_by_address.values();
        let usable = |service: &ServiceName| self.usable_endpoints(service);
        let mut groups = StageGroups::new(names, listed, usable);
        groups.assign_owners(self.vms.values());
        self.stage_groups = Arc::new(groups);
    }

    /// Replaces the VMs that take requests, and names the owners of the groups anew.
    pub fn set_vms(&mut self, vms: BTreeMap<VmId, FleetVm>) {
        let mut groups = StageGroups::clone(&self.stage_groups);
        groups.assign_owners(vms.values());
        self.stage_groups = Arc::new(groups);
        self.vms = Arc::new(vms);
    }
}
