//! Rendezvous (highest random weight) hashing.
//!
//! Unlike a hash ring, it keeps no state, and a member that leaves moves only its own keys.

/// Hashes the parts of a key. The result is the same on every machine and in every version.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Orders candidates by preference for a key, the most preferred first. `name` returns the bytes that identify one.
pub fn rendezvous_order<T: Clone>(key: &[u8], candidates: &[T], name: impl Fn(&T) -> Vec<u8>) -> Vec<T> {
    let mut weighted: Vec<(u64, T)> = candidates
        .iter()
        .map(|candidate| (stable_hash(&[key, &name(candidate)]), candidate.clone()))
        .collect();
    weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted.into_iter().map(|(_, candidate)| candidate).collect()
}
