//! Which targets an entry VM subscribes to.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// Returns for each of `entries` the `size` targets of `model` that it subscribes to.
///
/// Every pair of an entry VM and a target has a hash of its own (rendezvous hashing). Pairs
/// are taken in the order of their hashes while the entry VM lacks targets, first one entry VM
/// for each target, then a second, up to the even share. So no target is left out while the
/// entry VMs have room, and most pairs stay when a process comes or goes. Entry VMs that know the same members agree; with
/// other members they merely choose less evenly.
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

/// Returns the targets of `model` that the entry VM `own` subscribes to; `entries` holds it.
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
