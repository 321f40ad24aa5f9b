//! Calls that may not be repeated: claims, voids and settlements in the order stream.
