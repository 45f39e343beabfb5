//! Rendezvous hashing.
//!
//! Each pair of a key and a member has a weight, and a key is assigned to the
//! member with the highest weight. When a member is removed, only the keys
//! assigned to it move.

/// Mixes 64 bits (finalizer of splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes text to 64 bits (FNV-1a, then mixed).
pub fn hash(text: &str) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325_u64;
    for b in text.bytes() {
        h = (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(h)
}

/// Weight of `member` for `key`.
pub fn weight(key: u64, member: u64) -> u64 {
    mix(key ^ member.rotate_left(32))
}

/// Member with the highest weight for `key`.
pub fn pick<'a, T>(key: &str, members: impl IntoIterator<Item = &'a T>) -> Option<&'a T>
where
    T: AsRef<str> + Ord + 'a,
{
    let key = hash(key);
    members
        .into_iter()
        .max_by_key(|m| (weight(key, hash(m.as_ref())), *m))
}
