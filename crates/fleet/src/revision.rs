//! Revisions of the platform's store that keep rising when the store does not.
//!
//! The store numbers its transactions. When it comes back from an older copy, it loses the newest
//! transactions and issues their numbers again; each return begins a new era. A revision therefore
//! holds the era in its upper bits and the store's number in its lower ones. Revisions of a later
//! era are greater than all of an earlier one, which makes them usable as fencing numbers and to
//! decide which of two rows is newer.
//!
//! Revision 0 stands for a row that does not exist, in every era.

/// Bits of a revision for the store's number. 400 writes per second use them up in 87 years.
const NUMBER_BITS: u32 = 40;
/// The highest era. Fencing numbers travel as JSON numbers, which are exact below 2^53.
pub const ERA_MAX: u64 = (1 << (53 - NUMBER_BITS)) - 1;
/// The highest number.
const NUMBER_MAX: u64 = (1 << NUMBER_BITS) - 1;

/// Returns the revision of a number in an era; `None` if either is too high.
pub fn revision(era: u64, number: u64) -> Option<u64> {
    (era <= ERA_MAX && number <= NUMBER_MAX).then_some((era << NUMBER_BITS) | number)
}

/// Returns the era of a revision.
pub fn revision_era(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the store's number of a revision.
pub fn revision_number(revision: u64) -> u64 {
    revision & NUMBER_MAX
}
