//! Random values from the operating system.

use knapweedwall_core::Instance;

/// Returns a seed for a random number generator.
///
/// # Errors
/// The error of the operating system's random source.
pub fn random_seed() -> std::io::Result<[u8; 32]> {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed)?;
    Ok(seed)
}

/// Returns a random id for this run of the process.
///
/// # Errors
/// The error of the operating system's random source.
pub fn random_instance() -> std::io::Result<Instance> {
    // 0 means "no owner" in the rows of the store.
    Ok(Instance(getrandom::u64()?.max(1)))
}
