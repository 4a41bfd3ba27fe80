//! Faults that were found and fixed, a file each.

mod replaced_host;
