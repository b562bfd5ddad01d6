//! Benchmark of one routing decision over 60, 200 and 600 endpoints.
//!
//! A decision over 600 endpoints may take 20 µs. As in an entry, each decision is followed by
//! `begin_dispatch`. The preferred subset includes all endpoints, so that each of them is scored.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, InstanceName, MonoTime, RegionName, ServiceName};
use celeryshed_core::admission::SlotClass;
use celeryshed_core::membership::{MemberState, MembershipView, SideMember};
use celeryshed_core::routing::{
    EndpointLoad, EndpointObservation, EndpointTable, RoutingDecision, RoutingOptions,
    RoutingQuery, prompt_prefixes,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn instance(number: usize) -> InstanceName {
    InstanceName::try_from(format!("engine-{number:04}")).expect("valid name")
}

fn zone(number: usize) -> AvailabilityZone {
    AvailabilityZone::try_from(format!("zone-{}", number % 5)).expect("valid name")
}

fn region(number: usize) -> RegionName {
    RegionName::try_from(format!("region-{}", number % 5 % 2)).expect("valid name")
}

fn loaded_table(count: usize, service: &ServiceName) -> EndpointTable {
    let mut options = RoutingOptions::new(instance(9999), zone(0), region(0));
    options.subset_size = count;
    options.slow_start = Duration::from_millis(1);
    let side = |number| SideMember {
        address: format!("127.0.0.1:{}", 10_000 + number),
        incarnation: None,
        zone: zone(number),
        region: region(number),
        service: service.clone(),
        state: MemberState::Live,
    };
    let sides = (0..count).map(|number| (instance(number), side(number)));
    let view = MembershipView { entries: BTreeMap::new(), sides: sides.collect() };
    let mut table = EndpointTable::new(options);
    table.sync(&view, None, MonoTime::ZERO);
    for number in 0..count {
        let load = EndpointLoad {
            slots: 64,
            running: (number * 7 % 40) as u32,
            waiting: 0,
            queued_prompt_tokens: (number * 131 % 4000) as u64,
        };
        let observation = EndpointObservation {
            instance: instance(number),
            version: None,
            load,
            prefixes: vec![],
        };
        table.apply_report(observation, MonoTime(Duration::from_millis(5)));
    }
    table
}

fn query_for(prompt: u64, service: &ServiceName) -> RoutingQuery {
    let hashes: Vec<u64> = (0..62).map(|block| (prompt % 16) * 1000 + block).collect();
    RoutingQuery {
        service: service.clone(),
        version: None,
        adapter: None,
        prompt_tokens: 1000,
        prefixes: prompt_prefixes(&hashes, 16),
        seed: prompt,
        class: SlotClass::Contracted,
        may_displace: true,
        reserves_headroom: false,
        excluded: BTreeSet::from([instance(3)]),
    }
}

fn bench_decisions(criterion: &mut Criterion) {
    let service = ServiceName::try_from("copywriter").expect("valid name");
    let mut group = criterion.benchmark_group("routing");
    for count in [60, 200, 600] {
        let queries: Vec<RoutingQuery> =
            (0..64).map(|prompt| query_for(prompt, &service)).collect();
        let mut table = loaded_table(count, &service);
        let mut iteration = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                iteration += 1;
                let query = &queries[iteration % queries.len()];
                let now = MonoTime(Duration::from_millis(10 + iteration as u64));
                let decision = table.choose(black_box(query), now);
                if let RoutingDecision::Endpoint(choice) = &decision {
                    let id = table.begin_dispatch(&choice.instance, query, now);
                    table.end_dispatch(&id);
                }
                decision
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_decisions);
criterion_main!(benches);
