//! Guards the division of stage endpoints into groups, the choice of their owners, and the choice of
//! a group for a job, at the size of hundreds of VMs.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::group_choice::{GroupLoad, GroupLoads, home_group};
use primrosewalk::decisions::stage_groups::{GroupId, StageGroup, StageGroups};
use primrosewalk::fleet::model::{Endpoint, FleetVm, VmSize};
use primrosewalk::units::{DataCentreName, ServiceName};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{at, endpoint};

const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn service() -> ServiceName {
    "s".parse().unwrap()
}

fn data_centre(index: usize) -> DataCentreName {
    DATA_CENTRES[index % 5].parse().unwrap()
}

fn endpoints(count: usize, data_centres: usize) -> Vec<Arc<Endpoint>> {
    let place = |index: usize| DATA_CENTRES[index % data_centres];
    let endpoints = (0..count).map(|index| endpoint(&format!("e-{index}"), place(index)));
    endpoints.collect()
}

/// Returns VMs in five data centres, of which every twentieth is large.
fn vms(count: usize) -> BTreeMap<String, FleetVm> {
    let vm = |index: usize| FleetVm {
        name: format!("vm-{index}").parse().unwrap(),
        ip: [10, 0, (index / 256) as u8, (index % 256) as u8].into(),
        data_centre: data_centre(index),
        size: VmSize {
            cpu_millicores: if (index / 5).is_multiple_of(20) {
                500
            } else {
                120
            },
            link_mbit_per_s: 20,
        },
    };
    (0..count)
        .map(|index| (format!("vm-{index}"), vm(index)))
        .collect()
}

/// Returns the groups of one service, all of whose endpoints are usable.
fn groups(endpoints: &[Arc<Endpoint>], vms: &BTreeMap<String, FleetVm>) -> StageGroups {
    let mut groups = StageGroups::new([&service()], endpoints, |_| endpoints);
    groups.assign_owners(vms.values());
    groups
}

#[gtest]
fn no_group_grows_with_the_fleet() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        data_centres: usize,
        groups: usize,
    }
    let cases = [
        Case {
            name: "a small service is one group",
            endpoints: 5,
            data_centres: 3,
            groups: 1,
        },
        Case {
            name: "one of 60 VMs too",
            endpoints: 18,
            data_centres: 3,
            groups: 1,
        },
        Case {
            name: "one of 300 VMs has a group in each data centre",
            endpoints: 43,
            data_centres: 5,
            groups: 5,
        },
        Case {
            name: "a larger one has more than one there",
            endpoints: 140,
            data_centres: 5,
            groups: 10,
        },
    ];
    for case in cases {
        let endpoints = endpoints(case.endpoints, case.data_centres);
        let groups = groups(&endpoints, &vms(30));
        expect_that!(groups.iter().count(), eq(case.groups), "{}", case.name);
        let sizes: Vec<usize> = groups.iter().map(|group| group.usable.len()).collect();
        expect_that!(sizes.iter().sum::<usize>(), eq(case.endpoints));
        expect_that!(sizes, each(le(&30)), "{}", case.name);
    }
}

/// A data centre that is evacuated, or whose endpoints drain, keeps its group: the groups of all
/// VMs must not depend on how far each of them has got with a series of changes.
#[gtest]
fn groups_do_not_change_while_endpoints_are_not_usable() {
    let all = endpoints(43, 5);
    let usable: Vec<_> = all
        .iter()
        .filter(|endpoint| endpoint.data_centre.as_str() != "b")
        .cloned()
        .collect();
    let service = service();
    let groups = StageGroups::new([&service], &all, |_| &usable);
    let ids: Vec<String> = groups.iter().map(|group| group.id.to_string()).collect();
    expect_that!(
        ids,
        unordered_elements_are![
            eq("s@a#0"),
            eq("s@b#0"),
            eq("s@c#0"),
            eq("s@d#0"),
            eq("s@e#0")
        ]
    );
    let of_b = groups.iter().find(|group| group.id.to_string() == "s@b#0");
    expect_that!(of_b.unwrap().usable, is_empty());
}

#[gtest]
fn a_group_id_is_the_same_after_encoding() {
    let ids = ["s@#0", "s@a#0", "growers@amman-a#3"];
    for text in ids {
        let id: GroupId = text.parse().unwrap();
        expect_that!(id.to_string(), eq(text));
    }
    for text in ["s", "s@a", "s@a#x", "@a#0", "s@a b#0"] {
        expect_that!(text.parse::<GroupId>(), err(anything()), "{text}");
    }
}

#[gtest]
fn groups_are_owned_by_large_vms_of_their_data_centre() {
    let vms = vms(295);
    let groups = groups(&endpoints(43, 5), &vms);
    for group in groups.iter() {
        expect_that!(group.owners.len(), eq(3));
        let owner = &group.owners[0];
        expect_that!(Some(&owner.data_centre), eq(group.id.data_centre.as_ref()));
        expect_that!(owner.size.cpu_millicores, eq(500));
    }
}

/// Random members leave and return, 200 times. A change moves only groups whose owner it concerns,
/// and all VMs with the same members name the same owners.
#[gtest]
fn a_change_of_members_moves_only_the_groups_of_those_members() {
    let mut rng = ChaCha8Rng::seed_from_u64(20);
    let all = vms(295);
    let endpoints = endpoints(140, 5);
    let mut members = all.clone();
    let owners = |members: &BTreeMap<String, FleetVm>| -> HashMap<GroupId, FleetVm> {
        let groups = groups(&endpoints, members);
        let owner = |group: &StageGroup| (group.id.clone(), group.owners[0].clone());
        groups.iter().map(owner).collect()
    };
    for _ in 0..200 {
        let before = owners(&members);
        let name = all.keys().choose(&mut rng).unwrap();
        let is_removed = members.remove(name).is_some();
        if !is_removed {
            members.insert(name.clone(), all[name].clone());
        }
        let after = owners(&members);
        for (group, owner) in &after {
            let is_concerned = match is_removed {
                true => before[group].name.as_str() == name,
                false => owner.name.as_str() == name,
            };
            expect_that!(
                before[group] == *owner || is_concerned,
                eq(true),
                "{group}: {} to {} by a change of {name}",
                before[group].name,
                owner.name
            );
        }
    }
}

/// The owners of all groups die at once: each group has another owner that is named already.
#[gtest]
fn the_next_owner_is_known_before_the_owner_dies() {
    let mut members = vms(295);
    let before = groups(&endpoints(43, 5), &members);
    let dead: HashSet<String> = before
        .iter()
        .map(|group| group.owners[0].name.to_string())
        .collect();
    members.retain(|name, _| !dead.contains(name));
    let after = groups(&endpoints(43, 5), &members);
    for group in after.iter() {
        let named = before.get(&group.id).unwrap();
        let mut named = named
            .owners
            .iter()
            .filter(|vm| !dead.contains(vm.name.as_str()));
        expect_that!(
            named.next().map(|vm| &vm.name),
            eq(Some(&group.owners[0].name))
        );
    }
}

/// All owners of a group die at once: those that follow are ranked already, and can be asked for a sign of life.
#[gtest]
fn the_successors_of_all_owners_are_known_before_these_die() {
    let all = vms(295);
    let endpoints = endpoints(43, 5);
    let before = groups(&endpoints, &all);
    for group in before.iter() {
        let mut members = all.clone();
        members.retain(|_, vm| !group.owners.contains(vm));
        let after = groups(&endpoints, &members);
        let owners = after.get(&group.id).map(|group| &group.owners);
        expect_that!(owners, eq(Some(&group.successors)), "{}", group.id);
    }
}

#[gtest]
fn a_job_goes_to_the_group_of_its_inputs() {
    struct Case {
        name: &'static str,
        preferred: Option<&'static str>,
        own: &'static str,
        /// Data centres without usable endpoints.
        unusable: &'static [&'static str],
        expected: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "the data centre of the inputs",
            preferred: Some("b"),
            own: "a",
            unusable: &[],
            expected: Some("b"),
        },
        Case {
            name: "without inputs the own one",
            preferred: None,
            own: "c",
            unusable: &[],
            expected: Some("c"),
        },
        Case {
            name: "the own one if that of the inputs is evacuated",
            preferred: Some("b"),
            own: "a",
            unusable: &["b"],
            expected: Some("a"),
        },
        Case {
            name: "any other",
            preferred: Some("b"),
            own: "a",
            unusable: &["a", "b", "c", "d"],
            expected: Some("e"),
        },
        Case {
            name: "none",
            preferred: None,
            own: "a",
            unusable: &["a", "b", "c", "d", "e"],
            expected: None,
        },
    ];
    let endpoints = endpoints(43, 5);
    for case in cases {
        let is_usable =
            |endpoint: &&Arc<Endpoint>| !case.unusable.contains(&endpoint.data_centre.as_str());
        let usable: Vec<_> = endpoints.iter().filter(is_usable).cloned().collect();
        let service = service();
        let groups = StageGroups::new([&service], &endpoints, |_| &usable);
        let preferred = case.preferred.map(|name| name.parse().unwrap());
        let own = case.own.parse().unwrap();
        let groups = groups.of_service(&service);
        let home = home_group(groups, preferred.as_ref(), &own, "r-1", &[]);
        let home = home.and_then(|group| group.id.data_centre.as_ref());
        let expected = case.expected.map(|name| name.parse().unwrap());
        expect_that!(home, eq(expected.as_ref()), "{}", case.name);
    }
}

/// Load pattern: four of nine endpoints of one data centre crash while 30 jobs a second arrive for
/// each. Five groups with fluid queues; owners report every 150 ms. Returns the longest wait that a
/// job found.
fn longest_wait(moves: bool) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let ids: Vec<GroupId> = (DATA_CENTRES.iter())
        .map(|name| format!("s@{name}#0").parse().unwrap())
        .collect();
    // Each group runs 300 items a second, but the first one only 167; 260 arrive for each.
    let rates = [167.0, 300.0, 300.0, 300.0, 300.0];
    let mut waiting = [0.0_f64; 5];
    let mut loads: Vec<GroupLoads> = ids.iter().map(|_| GroupLoads::default()).collect();
    let mut longest = Duration::ZERO;
    for now_ms in 0..6_000 {
        let wait = |waiting: &[f64; 5], group: usize| {
            Duration::from_secs_f64(waiting[group] / rates[group])
        };
        if now_ms % 150 == 0 {
            for (sender, id) in ids.iter().enumerate() {
                let load = GroupLoad {
                    wait: wait(&waiting, sender),
                    items_per_s: rates[sender],
                };
                for loads in &mut loads {
                    loads.record(at(now_ms), id.clone(), load);
                }
            }
        }
        for group in 0..5 {
            waiting[group] = (waiting[group] - rates[group] / 1_000.0).max(0.0);
            if rng.random_bool(0.026) {
                let others = ids.iter().filter(|id| **id != ids[group]);
                let own = wait(&waiting, group);
                let target = loads[group].shorter(at(now_ms), own, others, 10);
                let target = target.filter(|_| moves);
                let target = target.and_then(|id| ids.iter().position(|other| *other == id));
                let target = target.unwrap_or(group);
                longest = longest.max(wait(&waiting, target));
                waiting[target] += 10.0;
            }
        }
    }
    longest
}

#[gtest]
fn jobs_leave_a_data_centre_that_lost_endpoints() {
    let (alone, moved) = (longest_wait(false), longest_wait(true));
    expect_that!(alone, ge(Duration::from_millis(2_000)));
    expect_that!(
        moved,
        le(Duration::from_millis(500)),
        "{alone:?} without moves"
    );
}

/// An owner that is silent gets no jobs, since it may be dead or have no endpoints left.
#[gtest]
fn a_group_without_a_current_report_gets_no_jobs() {
    let other: GroupId = "s@b#0".parse().unwrap();
    let mut loads = GroupLoads::default();
    let own_wait = Duration::from_secs(3);
    expect_that!(loads.shorter(at(0), own_wait, [&other], 1), none());
    let load = GroupLoad {
        wait: Duration::ZERO,
        items_per_s: 100.0,
    };
    loads.record(at(0), other.clone(), load);
    expect_that!(
        loads.shorter(at(100), own_wait, [&other], 1),
        some(eq(&other))
    );
    expect_that!(loads.shorter(at(1_100), own_wait, [&other], 1), none());
}
