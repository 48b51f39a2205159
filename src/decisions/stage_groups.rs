//! Divides the stage endpoints of a service into groups, each with a queue of its own, and names the
//! VMs that own the queue of a group.
//!
//! A call has a fixed cost in addition to that of its items, so few large groups fill their calls
//! best. The queue of a group is the work of one VM, so no group may grow with the fleet. A service
//! with few endpoints is one group; a larger one has a group in each data centre, and more than one
//! in a data centre with many endpoints (`docs/platform.md`, "Stages"). This handles fleets whose
//! stage load exceeds what one VM can batch.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::decisions::endpoint_choice::hash_of;
use crate::fleet::model::{Endpoint, FleetVm};
use crate::units::{DataCentreName, EndpointName, ParseError, ServiceName};

/// Largest number of endpoints of a service that is a single group.
const MAX_UNDIVIDED_ENDPOINTS: usize = 20;
/// Largest number of endpoints of a group within a data centre, about half of which make the next
/// one.
const MAX_GROUP_ENDPOINTS: usize = 16;
/// Smallest number of endpoints of a data centre that has groups of its own. Data centres with fewer
/// of them share a group.
const MIN_GROUP_ENDPOINTS: usize = 3;
/// Number of VMs that are named for each group: the owner, and those that take its place.
const OWNERS: usize = 3;
/// Number of VMs that are ranked for each group: its owners, and as many that follow them once these are taken for dead.
const RANKED: usize = 2 * OWNERS;

/// Id of a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupId {
    /// The service whose endpoints the group has.
    pub service: ServiceName,
    /// The data centre of the endpoints; `None` for a group across data centres.
    pub data_centre: Option<DataCentreName>,
    /// Number of the group within its data centre.
    pub shard: u16,
}

impl GroupId {
    /// Returns the id of the group with all endpoints of a service.
    pub fn whole(service: ServiceName) -> Self {
        Self {
            service,
            data_centre: None,
            shard: 0,
        }
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let data_centre = self.data_centre.as_ref().map_or("", DataCentreName::as_str);
        write!(formatter, "{}@{data_centre}#{}", self.service, self.shard)
    }
}

impl FromStr for GroupId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseError::Number {
            text: text.to_owned(),
            expected: "a group of endpoints (SERVICE@DATA_CENTRE#NUMBER)",
        };
        let (service, place) = text.split_once('@').ok_or_else(invalid)?;
        let (data_centre, shard) = place.split_once('#').ok_or_else(invalid)?;
        let data_centre = match data_centre {
            "" => None,
            name => Some(name.parse()?),
        };
        Ok(Self {
            service: service.parse()?,
            data_centre,
            shard: shard.parse().map_err(|_| invalid())?,
        })
    }
}

/// A group of endpoints of one service.
#[derive(Debug, Clone)]
pub struct StageGroup {
    /// Id of the group.
    pub id: GroupId,
    /// The endpoints that may get calls now.
    pub usable: Vec<Arc<Endpoint>>,
    /// The VM that owns the queue of the group, and then those that take its place in turn.
    pub owners: SmallVec<[FleetVm; OWNERS]>,
    /// The VMs that become owners when those before are taken for dead.
    pub successors: SmallVec<[FleetVm; OWNERS]>,
}

/// The groups of all services whose endpoints run stages.
#[derive(Debug, Clone, Default)]
pub struct StageGroups {
    by_service: HashMap<ServiceName, Vec<StageGroup>>,
    /// Service and position of the group of each endpoint.
    by_endpoint: HashMap<EndpointName, (ServiceName, usize)>,
}

impl StageGroups {
    /// Divides the endpoints of the given services. `listed` are all registered endpoints: those
    /// that are not `usable` now count too, so that groups do not change while endpoints drain or a
    /// data centre is evacuated.
    pub fn new<'a>(
        services: impl IntoIterator<Item = &'a ServiceName>,
        listed: impl IntoIterator<Item = &'a Arc<Endpoint>>,
        usable: impl Fn(&ServiceName) -> &'a [Arc<Endpoint>],
    ) -> Self {
        let mut endpoints: HashMap<&ServiceName, Vec<&Arc<Endpoint>>> = services
            .into_iter()
            .map(|name| (name, Vec::new()))
            .collect();
        for endpoint in listed {
            if let Some(endpoints) = endpoints.get_mut(&endpoint.service) {
                endpoints.push(endpoint);
            }
        }
        let mut groups = Self::default();
        for (service, endpoints) in endpoints {
            groups.add_service(service, &endpoints, usable(service));
        }
        groups
    }

    /// Names the owners of all groups among the VMs that serve.
    pub fn assign_owners<'a>(&mut self, vms: impl Iterator<Item = &'a FleetVm>) {
        let candidates: Vec<Candidate> = vms.map(Candidate::new).collect();
        for group in self.by_service.values_mut().flatten() {
            let mut ranked = rank_owners(&group.id, &candidates).into_iter();
            group.owners = ranked.by_ref().take(OWNERS).cloned().collect();
            group.successors = ranked.cloned().collect();
        }
    }

    /// Returns the groups of a service.
    pub fn of_service(&self, service: &ServiceName) -> &[StageGroup] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns a group by its id.
    pub fn get(&self, id: &GroupId) -> Option<&StageGroup> {
        let mut groups = self.of_service(&id.service).iter();
        groups.find(|group| group.id == *id)
    }

    /// Returns the group of a registered endpoint.
    pub fn of_endpoint(&self, endpoint: &EndpointName) -> Option<&StageGroup> {
        let (service, position) = self.by_endpoint.get(endpoint)?;
        self.of_service(service).get(*position)
    }

    /// Returns all groups.
    pub fn iter(&self) -> impl Iterator<Item = &StageGroup> {
        self.by_service.values().flatten()
    }

    fn add_service(
        &mut self,
        service: &ServiceName,
        listed: &[&Arc<Endpoint>],
        usable: &[Arc<Endpoint>],
    ) {
        let mut members: BTreeMap<GroupId, Vec<&EndpointName>> = BTreeMap::new();
        let division = Division::of(listed);
        for endpoint in listed {
            let id = division.group(service, endpoint);
            members.entry(id).or_default().push(&endpoint.id);
        }
        let groups = members.into_iter().enumerate();
        let groups = groups.map(|(position, (id, members))| {
            for member in members {
                let place = (service.clone(), position);
                self.by_endpoint.insert(member.clone(), place);
            }
            StageGroup {
                id,
                usable: Vec::new(),
                owners: SmallVec::new(),
                successors: SmallVec::new(),
            }
        });
        let mut groups: Vec<StageGroup> = groups.collect();
        for endpoint in usable {
            if let Some((_, position)) = self.by_endpoint.get(&endpoint.id) {
                groups[*position].usable.push(Arc::clone(endpoint));
            }
        }
        self.by_service.insert(service.clone(), groups);
    }
}

/// How the endpoints of one service are divided.
struct Division<'a> {
    /// Number of groups of each data centre that has groups of its own; empty for a service that is
    /// a single group.
    shards: BTreeMap<&'a DataCentreName, usize>,
}

impl<'a> Division<'a> {
    fn of(listed: &[&'a Arc<Endpoint>]) -> Self {
        let mut counts: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
        for endpoint in listed {
            *counts.entry(&endpoint.data_centre).or_default() += 1;
        }
        if listed.len() <= MAX_UNDIVIDED_ENDPOINTS {
            counts.clear();
        }
        let shards = counts
            .into_iter()
            .filter(|(_, count)| *count >= MIN_GROUP_ENDPOINTS)
            .map(|(data_centre, count)| (data_centre, count.div_ceil(MAX_GROUP_ENDPOINTS)));
        Self {
            shards: shards.collect(),
        }
    }

    fn group(&self, service: &ServiceName, endpoint: &Endpoint) -> GroupId {
        let Some(shards) = self.shards.get(&endpoint.data_centre) else {
            return GroupId::whole(service.clone());
        };
        let shard = (0..*shards).max_by_key(|shard| weight_of(&(endpoint.id.as_str(), shard)));
        GroupId {
            service: service.clone(),
            data_centre: Some(endpoint.data_centre.clone()),
            shard: shard.and_then(|shard| shard.try_into().ok()).unwrap_or(0),
        }
    }
}

/// A VM that may own groups, with the hash of its name.
struct Candidate<'a> {
    vm: &'a FleetVm,
    hash: u64,
}

impl<'a> Candidate<'a> {
    fn new(vm: &'a FleetVm) -> Self {
        Self {
            vm,
            hash: hash_of(vm.name.as_str()),
        }
    }
}

/// Whether a VM is in the data centre of a group, whether it is one of the larger ones there, and its
/// rendezvous weight.
type Rank = (bool, bool, u64);

/// Ranks the VMs that may own a group. VMs in the group's data centre come first, since jobs and
/// calls then stay within it; then larger VMs; the rest is rendezvous hashing, so that a change of
/// one VM moves few groups.
fn rank_owners<'a>(
    group: &GroupId,
    candidates: &[Candidate<'a>],
) -> SmallVec<[&'a FleetVm; RANKED]> {
    let is_near = |vm: &FleetVm| group.data_centre.as_ref() == Some(&vm.data_centre);
    let mut largest = [0, 0];
    for Candidate { vm, .. } in candidates {
        let largest = &mut largest[usize::from(is_near(vm))];
        *largest = vm.size.cpu_millicores.max(*largest);
    }
    let group_hash = weight_of(group);
    let mut best: SmallVec<[(Rank, &FleetVm); RANKED]> = SmallVec::new();
    for Candidate { vm, hash } in candidates {
        let is_near = is_near(vm);
        let is_large = vm.size.cpu_millicores * 2 > largest[usize::from(is_near)];
        let rank = (is_near, is_large, mix(group_hash ^ hash));
        let position = best.partition_point(|(other, _)| *other > rank);
        if position < RANKED {
            best.truncate(RANKED - 1);
            best.insert(position, (rank, *vm));
        }
    }
    best.into_iter().map(|(_, vm)| vm).collect()
}

/// Spreads the bits of a number evenly (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns the rendezvous weight of a key and a candidate. It is the same on all VMs that run the
/// same build.
pub(super) fn weight_of(pair: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    pair.hash(&mut hasher);
    hasher.finish()
}
