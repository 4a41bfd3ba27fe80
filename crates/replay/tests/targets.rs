//! Tests the daemons' policy against its targets, on generated traces of the current deployment
//! sizes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::thread;

use guavaspread_replay::{Deployment, Outcome, PolicyName, Trace, TraceSpec, replay};
use test_case::test_case;

const SEEDS: [u64; 3] = [1, 2, 3];

/// Replays the trace of each seed under each policy.
///
/// Returns the outcomes of each seed in the order of `policies`.
fn replay_all(
    deployment: Deployment,
    failures: bool,
    policies: &[PolicyName],
) -> Vec<Vec<Outcome>> {
    eprintln!("seeds {SEEDS:?}");
    let traces = SEEDS.map(|seed| {
        let spec = TraceSpec { failures, ..TraceSpec::for_deployment(deployment, seed) };
        Trace::generate(spec).unwrap()
    });
    thread::scope(|scope| {
        let running: Vec<Vec<_>> = traces
            .iter()
            .map(|trace| policies.iter().map(|p| scope.spawn(|| replay(trace, *p))).collect())
            .collect();
        let joined =
            running.into_iter().map(|by_policy: Vec<thread::ScopedJoinHandle<'_, Outcome>>| {
                by_policy.into_iter().map(|run| run.join().unwrap()).collect()
            });
        joined.collect()
    })
}

/// Returns the ratio of the stall share under `stalls-first` to the stall share under `other`.
///
/// The ratio is that of the seed for which it is highest.
fn worst_stall_ratio(other: PolicyName) -> f64 {
    let policies = [PolicyName::StallsFirst, other];
    let ratios = replay_all(Deployment::KitaShigoto, false, &policies);
    let ratios = ratios.iter().map(|by_policy| by_policy[0].stall_share / by_policy[1].stall_share);
    ratios.fold(0.0, f64::max)
}

#[test]
fn stalls_stay_near_the_clairvoyant_bound() {
    let ratio = worst_stall_ratio(PolicyName::Clairvoyant);
    assert!(ratio <= 1.20, "{ratio:.3}");
}

#[test]
fn stalls_beat_least_loaded_lru() {
    let ratio = worst_stall_ratio(PolicyName::LeastLoadedLru);
    assert!(ratio <= 0.53, "{ratio:.3}");
}

#[test]
fn stalls_beat_rendezvous_lru() {
    let ratio = worst_stall_ratio(PolicyName::RendezvousLru);
    assert!(ratio <= 0.75, "{ratio:.3}");
}

#[test]
fn batches_beat_least_loaded_lru() {
    let policies = [PolicyName::BatchesFirst, PolicyName::LeastLoadedLru];
    for by_policy in replay_all(Deployment::DopravniSmeny, false, &policies) {
        let ratio = by_policy[0].batch_efficiency / by_policy[1].batch_efficiency;
        assert!(ratio >= 1.3, "{ratio:.3}");
        assert!(by_policy[0].late <= by_policy[1].late);
    }
}

#[test_case(Deployment::KitaShigoto, PolicyName::StallsFirst; "kita shigoto")]
#[test_case(Deployment::DopravniSmeny, PolicyName::BatchesFirst; "dopravni smeny")]
fn worth_is_not_below_the_baselines_under_failures(deployment: Deployment, preset: PolicyName) {
    let policies = [preset, PolicyName::LeastLoadedLru, PolicyName::RendezvousLru];
    for by_policy in replay_all(deployment, true, &policies) {
        let worth: Vec<f64> = by_policy.iter().map(|outcome| outcome.worth_share).collect();
        assert!(worth[0] >= worth[1] && worth[0] >= worth[2], "{worth:?}");
    }
}

#[test]
fn written_trace_reads_back_unchanged() {
    let spec = TraceSpec {
        requests: 50,
        failures: true,
        ..TraceSpec::for_deployment(Deployment::KitaShigoto, 9)
    };
    let trace = Trace::generate(spec).unwrap();
    let mut text = Vec::new();
    trace.write(&mut text).unwrap();
    assert_eq!(Trace::read(text.as_slice()).unwrap(), trace);
    let malformed = String::from_utf8(text).unwrap().replacen("at-ms", "at", 3);
    let error = Trace::read(malformed.as_bytes()).unwrap_err();
    assert!(error.to_string().starts_with("line 2: "), "{error}");
}
