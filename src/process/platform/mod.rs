//! Adapters for the platform: log service, VM list, weight store, targets.
