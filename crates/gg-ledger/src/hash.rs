//! Hashes that instances and clients of all versions compute alike.

/// Spreads the bits of a key evenly (the finalizer of SplitMix64).
pub(crate) fn mix(key: u64) -> u64 {
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
