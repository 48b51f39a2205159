//! Benchmarks of decisions at several fleet sizes. `docs/CAPACITY.md` derives from them how the
//! cost of a decision grows with the fleet.
//!
//! Run with `cargo bench --bench decisions`.

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use primrosewalk::blackboard::{Catalogue, SlotGrant, Snapshot};
use primrosewalk::decisions::at_most_once::{AtMostOnceConfig, AtMostOnceTable};
use primrosewalk::decisions::batching::{Batch, Batcher, BatchingConfig, ItemInput, Job, JobId};
use primrosewalk::decisions::membership::{
    MemberList, Membership, MembershipConfig, OwnershipEpoch,
};
use primrosewalk::decisions::quota::{Allowance, Quota, QuotaConfig};
use primrosewalk::decisions::rendezvous::rendezvous_order;
use primrosewalk::decisions::retry_window::RetryWindowConfig;
use primrosewalk::decisions::routing::{RouteRequest, Router, RoutingConfig};
use primrosewalk::decisions::work_order::Urgency;
use primrosewalk::fleet::model::{BatchLimits, Endpoint};
use primrosewalk::manifest::{ApiKeyDigest, Manifest, parse_manifest};
use primrosewalk::units::{Burst, Incarnation, RatePerSecond, Time, Version, VmId};

fn vm_ids(count: usize) -> Vec<VmId> {
    (0..count)
        .map(|index| format!("vm-{index}").parse().unwrap())
        .collect()
}

/// Returns a manifest as JSON. All endpoints are engines of one service, and each organisation
/// has two API keys.
fn manifest_json(organisations: usize, endpoints: usize) -> Vec<u8> {
    let organisations: Vec<_> = (0..organisations)
        .map(|index| {
            let digests = [0, 1].map(|key| ApiKeyDigest::of_key(&format!("key-{index}-{key}")));
            serde_json::json!({"name": format!("organisation-{index}"), "rate_per_second": 10.0,
                "burst": 20, "key_digests": digests})
        })
        .collect();
    let endpoints: Vec<_> = (0..endpoints)
        .map(|index| {
            serde_json::json!({"name": format!("engine-{index}"), "kind": "generate",
                "service": "assistant", "address": "127.0.0.1:9", "models": ["m"],
                "data_centre": format!("dc-{}", index % 5), "slots": 64, "cold_slots": 2})
        })
        .collect();
    let data_centres: Vec<_> = (0..5)
        .map(|index| serde_json::json!({"name": format!("dc-{index}"), "region": "r"}))
        .collect();
    let stage = serde_json::json!({"name": "answer", "kind": "generate", "service": "assistant",
        "model": "m"});
    let manifest = serde_json::json!({"data_centres": data_centres, "models": [{"name": "m"}],
        "endpoints": endpoints, "organisations": organisations,
        "pipelines": [{"name": "ask", "deadline_ms": 3000, "stages": [stage]}]});
    manifest.to_string().into_bytes()
}

/// Returns a parsed manifest with the given numbers of organisations and endpoints.
fn manifest_with(organisations: usize, endpoints: usize) -> Manifest {
    let json = manifest_json(organisations, endpoints);
    parse_manifest(Version(1), [("all", json.as_slice())]).unwrap()
}

fn bench_manifest(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("parse_manifest_organisations");
    for organisations in [100, 1_000, 4_700] {
        let json = manifest_json(organisations, 670);
        group.bench_with_input(
            BenchmarkId::from_parameter(organisations),
            &json,
            |bench, json| {
                bench.iter(|| {
                    let manifest = parse_manifest(Version(1), [("all", json.as_slice())]);
                    Catalogue::new(manifest.unwrap())
                });
            },
        );
    }
}

fn bench_rendezvous(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("rendezvous_vms");
    for vms in [8, 22, 330] {
        let ids = vm_ids(vms);
        group.bench_with_input(BenchmarkId::from_parameter(vms), &ids, |bench, ids| {
            bench.iter(|| rendezvous_order(black_box("organisation-17"), ids).len());
        });
    }
}

fn bench_choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_endpoints");
    for endpoints in [12, 45, 670] {
        let catalogue = Catalogue::new(manifest_with(5, endpoints));
        let valid_until = Time::from_millis(1_000);
        let grant = SlotGrant {
            slots: 8,
            valid_until,
        };
        let names = catalogue
            .manifest
            .endpoints
            .iter()
            .map(|endpoint| endpoint.name.clone());
        let grants: HashMap<_, _> = names.map(|name| (name, grant)).collect();
        let stage = catalogue.manifest.pipelines[0].stages[0].clone();
        let snapshot = Snapshot {
            catalogue: Some(Arc::new(catalogue)),
            grants: Arc::new(grants),
            ..Snapshot::default()
        };
        let mut router = Router::new(RoutingConfig::default(), "dc-0".parse().unwrap());
        let mut random = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bench| {
            bench.iter(|| {
                let request = RouteRequest {
                    stage: &stage,
                    exclude: &[],
                    avoid: None,
                    prefix: None,
                };
                router.choose(Time::from_millis(1), &snapshot, &request, &mut random)
            });
        });
    }
}

fn bench_quota(criterion: &mut Criterion) {
    let organisation = "organisation-1".parse().unwrap();
    let allowance = Allowance {
        rate: RatePerSecond(1e9),
        burst: Burst(1_000),
    };
    let until = Time::from_millis(u64::MAX / 10_000);
    let epoch = OwnershipEpoch {
        number: 1,
        since: Time::ZERO,
        until,
    };
    let mut quota = Quota::new(QuotaConfig::default());
    let mut now = Time::from_millis(10_000);
    criterion.bench_function("quota_reserve", |bench| {
        bench.iter(|| {
            now = now + Duration::from_micros(1);
            quota.reserve(now, &organisation, allowance, epoch, Duration::from_secs(1))
        });
    });
}

fn bench_at_most_once(criterion: &mut Criterion) {
    let config = AtMostOnceConfig {
        id_life: Duration::from_millis(100),
        ..AtMostOnceConfig::default()
    };
    let mut table = AtMostOnceTable::new(config, "vm-0".parse().unwrap(), Incarnation(1), [7; 32]);
    let mut now = Time::ZERO;
    criterion.bench_function("once_issue_begin_end", |bench| {
        bench.iter(|| {
            now = now + Duration::from_micros(10);
            let id = table.issue(now);
            black_box(table.begin(now, &id));
            table.end(&id, (), 0);
            if id.counter.is_multiple_of(1_000) {
                table.expire(now);
            }
        });
    });
}

fn bench_membership(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership_round_vms");
    for vms in [8, 22, 330] {
        let ids = vm_ids(vms);
        let list = MemberList {
            version: Version(1),
            members: ids.iter().cloned().collect(),
        };
        let start = Time::from_millis(1_000);
        let new_member = |id: &VmId| {
            let config = MembershipConfig::default();
            let mut member = Membership::new(config, id.clone(), Incarnation(1), start);
            member.install_list(start, list.clone(), []);
            member
        };
        let mut members = [new_member(&ids[0]), new_member(&ids[1])];
        let mut now = start;
        group.bench_function(BenchmarkId::from_parameter(vms), |bench| {
            bench.iter(|| {
                now = now + Duration::from_millis(200);
                for peer in &ids[1..] {
                    let heartbeat = members[0].heartbeat_for(now, peer);
                    let answer = members[1].on_heartbeat(now, &ids[0], &heartbeat);
                    members[0].on_acknowledgement(now, peer, &answer);
                }
                members[0].lease_until(now)
            });
        });
    }
}

/// Limits of a service with short items and large batches.
const STAGE_LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    max_batch_items: 64,
    call_overhead_ms: 200.0,
    item_ms: 2.7,
    result_memory_bytes: 840_000,
    result_ttl: Duration::from_secs(4),
};

const RETRIES: RetryWindowConfig = RetryWindowConfig {
    ratio: 0.1,
    reserve: 10.0,
    window: Duration::from_secs(10),
    max_attempts: 3,
};

fn stage_endpoint(index: usize) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        id: format!("endpoint-{index}").parse().unwrap(),
        service: "stage".parse().unwrap(),
        address: ([127, 0, 0, 1], 10_000 + index as u16).into(),
        data_centre: format!("dc-{}", index % 5).parse().unwrap(),
        slots: 1,
        is_ready: true,
        cold_until: Time::ZERO,
        started_ms: 0,
    })
}

fn stage_job(number: u64, now: Time) -> Job {
    let handles = (0..6).map(|item| format!("127.0.0.1:9/{number}-{item}"));
    Job {
        id: JobId(number),
        request: format!("request-{number}").into(),
        stage: 2,
        items: 10,
        input: ItemInput::Handles(handles.collect::<Vec<_>>().into()),
        due: now + Duration::from_millis(1_000),
        deadline: now + Duration::from_millis(4_000),
        result_bytes: 6_000,
        is_retry: false,
        preferred_data_centre: Some(format!("dc-{}", number % 5).parse().unwrap()),
        reads_inputs_last: true,
        urgency: Urgency::default(),
    }
}

/// Replays one second of jobs, with a round of the queue after each arrival and each end of a call
/// as in `fleet::dispatcher`. Results are freed 100 ms after their call.
fn replay_stage_second(endpoints: &[Arc<Endpoint>], jobs_per_s: u64) -> usize {
    let retries = RETRIES;
    let mut batcher = Batcher::new(BatchingConfig::default(), STAGE_LIMITS, retries);
    let mut running: Vec<(u64, Batch)> = Vec::new();
    let mut unread: Vec<(u64, String)> = Vec::new();
    let mut ended = 0;
    let mut pushed = 0;
    for now_ms in 1_000..2_000_u64 {
        let now = Time::from_millis(now_ms);
        let mut rounds = Vec::new();
        for (_, batch) in running.extract_if(.., |(end, _)| *end <= now_ms) {
            let handle = |index| format!("{}/{}-{index}", batch.endpoint.address, batch.id);
            let results = (0..batch.items.len()).map(|index| Ok(handle(index)));
            let (ends, _) = batcher.finish(now, batch.id, Ok(results.collect()));
            let handles = ends.into_iter().filter_map(|end| end.results.ok());
            for handles in handles {
                ended += 1;
                unread.extend(handles.into_iter().map(|handle| (now_ms + 100, handle)));
            }
            rounds.push(());
        }
        for (_, handle) in unread.extract_if(.., |(at, _)| *at <= now_ms) {
            batcher.on_freed(&handle);
        }
        while pushed * 1_000 < jobs_per_s * (now_ms - 1_000) {
            pushed += 1;
            let _ = batcher.push(now, endpoints.len(), stage_job(pushed, now));
            rounds.push(());
        }
        for () in rounds {
            let _ = batcher.expire(now);
            for endpoint in batcher.ask_for_memory(now, endpoints) {
                batcher.on_memory_report(now, &endpoint.id, None);
            }
            while let Some(batch) = batcher.next_batch(now, endpoints) {
                let call_ms = 200 + (batch.items.len() as u64 * 27) / 10;
                running.push((now_ms + call_ms, batch));
            }
        }
    }
    ended
}

fn bench_batching(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("batching_second_jobs");
    for (endpoints, jobs_per_s) in [(5, 50), (42, 400), (42, 900)] {
        let list: Vec<_> = (0..endpoints).map(stage_endpoint).collect();
        let id = BenchmarkId::new(format!("{endpoints}_endpoints"), jobs_per_s);
        group.bench_function(id, |bench| {
            bench.iter(|| replay_stage_second(&list, jobs_per_s));
        });
    }
}

criterion_group!(
    benches,
    bench_batching,
    bench_manifest,
    bench_rendezvous,
    bench_choose,
    bench_quota,
    bench_at_most_once,
    bench_membership
);
criterion_main!(benches);
