//! # guavaspread search
//!
//! Searches random sequences of operations on a pure state machine for one that
//! violates an invariant, for use in tests. The seed is fixed and printed, so that a
//! run can be repeated.

use std::fmt::Debug;

use proptest::collection::vec;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// The seed and the limits of a search.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    /// The seed of the random number generator.
    pub seed: [u8; 32],
    /// The number of sequences to run.
    pub cases: u32,
    /// The exclusive upper bound on the length of a sequence, in operations.
    pub steps_max: usize,
}

impl Search {
    /// Creates a test runner that is seeded with [`Search::seed`].
    pub fn runner(&self) -> TestRunner {
        let config = Config { cases: self.cases, failure_persistence: None, ..Config::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &self.seed);
        TestRunner::new_with_rng(config, rng)
    }

    /// Returns the first violation that `run` reports, with a minimized sequence of operations.
    pub fn find_violation<S>(
        &self,
        op: S,
        run: impl Fn(&[S::Value]) -> Option<String>,
    ) -> Option<String>
    where
        S: Strategy,
        S::Value: Clone + Debug,
    {
        eprintln!("seed {:?}, {} cases", String::from_utf8_lossy(&self.seed), self.cases);
        let result = self.runner().run(&vec(op, 1..self.steps_max), |ops| match run(&ops) {
            Some(violation) => Err(TestCaseError::fail(violation)),
            None => Ok(()),
        });
        result.err().map(|e| e.to_string())
    }
}
