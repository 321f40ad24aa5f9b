//! Choice of the targets that each entry VM subscribes to.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// Returns for each of `entries` the `size` targets of `model` that it subscribes to.
///
/// Each pair of an entry VM and a target has its own hash (rendezvous hashing). Pairs are chosen
/// in hash order while the entry VM needs targets: first up to one entry VM per target, then up
/// to two, and so on up to the even share. So every target is covered while the entry VMs have
/// capacity, and most pairs stay when a process joins or leaves. Entry VMs with the same member
/// list agree on the result; with different lists the choice is only less even.
pub fn subsets(
    model: &ModelName,
    entries: &[EntryName],
    targets: &[TargetName],
    size: usize,
) -> BTreeMap<EntryName, Vec<TargetName>> {
    let size = size.min(targets.len());
    let share = (entries.len() * size).div_ceil(targets.len().max(1));
    let pairs = ranked_pairs(model, entries, targets);
    let mut chosen = vec![Vec::with_capacity(size); entries.len()];
    let mut taken = vec![0; targets.len()];
    for level in 1..=share {
        for &(_, entry, target) in &pairs {
            let lacks = chosen[entry].len() < size && taken[target] < level;
            if lacks && !chosen[entry].contains(&target) {
                chosen[entry].push(target);
                taken[target] += 1;
            }
        }
    }
    for &(_, entry, target) in &pairs {
        if chosen[entry].len() < size && !chosen[entry].contains(&target) {
            chosen[entry].push(target);
        }
    }
    let named = entries.iter().cloned().zip(chosen);
    let named = named.map(|(entry, chosen)| {
        let names = chosen.into_iter().map(|idx| targets[idx].clone());
        (entry, names.collect())
    });
    named.collect()
}

/// Returns the targets of `model` that the entry VM `own` subscribes to; `entries` includes it.
pub fn subset(
    own: &EntryName,
    model: &ModelName,
    entries: &[EntryName],
    targets: &[TargetName],
    size: usize,
) -> Vec<TargetName> {
    let mut all = subsets(model, entries, targets, size);
    all.remove(own).unwrap_or_default()
}

/// Returns the pairs of entry and target indices with their hashes, in hash order.
fn ranked_pairs(
    model: &ModelName,
    entries: &[EntryName],
    targets: &[TargetName],
) -> Vec<(u64, usize, usize)> {
    let mut pairs = Vec::with_capacity(entries.len() * targets.len());
    for (entry_idx, entry) in entries.iter().enumerate() {
        for (target_idx, target) in targets.iter().enumerate() {
            let hash = xxh3_64(format!("{model}/{entry}/{target}").as_bytes());
            pairs.push((hash, entry_idx, target_idx));
        }
    }
    pairs.sort_unstable();
    pairs
}
