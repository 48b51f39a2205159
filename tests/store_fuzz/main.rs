//! Guards the way from the platform's store into a VM against entries of other writers, with generated names, values and
//! items: the queries, the decoders of pages, changes and entries, the listing, and what VMs pass on to each other.
//!
//! `DECODER_SEED` is the seed of the random inputs, `DECODER_RUNS` the number of inputs of each test.

mod decoders;
mod entries;
mod listings;
#[path = "../users_platform/odd_items.rs"]
mod odd_items;
mod peers;
mod queries;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of inputs of each test, unless `DECODER_RUNS` is set.
const DEFAULT_RUNS: u64 = 2_000;

/// Calls a check for each run, with the run's number and a random sequence of its own, which starts from
/// `DECODER_SEED` plus that number.
fn for_each_run(mut check: impl FnMut(u64, &mut ChaCha8Rng)) {
    let number_from_env = |name: &str, default: u64| -> u64 {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let first = number_from_env("DECODER_SEED", 11);
    for seed in first..first + number_from_env("DECODER_RUNS", DEFAULT_RUNS) {
        check(seed, &mut ChaCha8Rng::seed_from_u64(seed));
    }
}
