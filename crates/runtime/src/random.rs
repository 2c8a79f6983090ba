//! Random values from the operating system.

use knapweedwall_core::Instance;

/// A seed for a random number generator.
///
/// # Errors
/// The error of the operating system's random source.
pub fn random_seed() -> std::io::Result<[u8; 32]> {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed)?;
    Ok(seed)
}

/// A number for one run of a process.
///
/// # Errors
/// The error of the operating system's random source.
pub fn random_instance() -> std::io::Result<Instance> {
    // 0 stands for "no owner" in the store's rows.
    Ok(Instance(getrandom::u64()?.max(1)))
}
