//! The choice of a target, limits, and what is known of load and failures.
