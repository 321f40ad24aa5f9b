//! How configuration versions reach every process.
