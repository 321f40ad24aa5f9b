//! The simulated workload: conversations of a few client accounts, whose prompts grow
//! with each turn.

use comfreyhead::prelude::*;
use comfreyhead::process::routing::PrefixHash;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The mean answer length in tokens, before clamping to `TOKEN_BOUNDS`.
const MEAN_TOKENS: f64 = 200.0;
/// The minimum and maximum answer length in tokens.
const TOKEN_BOUNDS: (f64, f64) = (8.0, 500.0);
/// The number of leading prompt blocks that all conversations of an account share.
const SHARED_BLOCKS: u64 = 2;
/// The number of prompt blocks at which a conversation stops growing.
const MAX_BLOCKS: usize = 20;
/// The fraction of requests that continue an open conversation.
const CONTINUED_SHARE: f64 = 0.7;
/// The maximum number of open conversations per target.
const CONVERSATIONS_PER_TARGET: usize = 20;
/// The number of client accounts.
const N_ACCOUNTS: u64 = 10;

/// One request with its arrival time, answer length and prompt blocks.
#[derive(Clone)]
pub(crate) struct Arrival {
    pub(crate) at: Timestamp,
    pub(crate) account: u64,
    pub(crate) tokens: u32,
    pub(crate) prefixes: Vec<PrefixHash>,
    pub(crate) entry: usize,
}

/// Generates Poisson arrivals at `per_second` for `duration_s`; the same seed gives each
/// policy the same arrivals.
pub(crate) fn arrivals(
    per_second: f64,
    duration_s: f64,
    sizes: (usize, usize),
    seed: u64,
) -> Vec<Arrival> {
    let (n_targets, n_entries) = sizes;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut conversations: Vec<(u64, Vec<PrefixHash>)> = Vec::new();
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    while at_s < duration_s {
        at_s += exponential(1.0 / per_second, &mut rng);
        let is_continued = !conversations.is_empty() && rng.random_bool(CONTINUED_SHARE);
        let conversation = match is_continued {
            true => rng.random_range(0..conversations.len()),
            false => open(&mut conversations, n_targets, &mut rng),
        };
        let (account, blocks) = &mut conversations[conversation];
        if blocks.len() < MAX_BLOCKS {
            blocks.push(PrefixHash(rng.random()));
        }
        let tokens = exponential(MEAN_TOKENS, &mut rng).clamp(TOKEN_BOUNDS.0, TOKEN_BOUNDS.1);
        arrivals.push(Arrival {
            at: Timestamp((at_s * 1e6) as u64),
            account: *account,
            tokens: tokens as u32,
            prefixes: blocks.clone(),
            entry: rng.random_range(0..n_entries),
        });
    }
    arrivals
}

/// Opens a conversation and returns its index; replaces a random one when the maximum is reached.
fn open(
    conversations: &mut Vec<(u64, Vec<PrefixHash>)>,
    n_targets: usize,
    rng: &mut ChaCha8Rng,
) -> usize {
    let account = rng
        .random_range(0..N_ACCOUNTS)
        .min(rng.random_range(0..N_ACCOUNTS));
    let mut blocks: Vec<_> = (0..SHARED_BLOCKS)
        .map(|block| PrefixHash(account * SHARED_BLOCKS + block))
        .collect();
    let n_unique = rng.random_range(1..8);
    blocks.extend((0..n_unique).map(|_| PrefixHash(rng.random())));
    if conversations.len() < n_targets * CONVERSATIONS_PER_TARGET {
        conversations.push((account, blocks));
        return conversations.len() - 1;
    }
    let replaced = rng.random_range(0..conversations.len());
    conversations[replaced] = (account, blocks);
    replaced
}

fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
