//! The configuration version in force in this process.

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::connection::{VersionDelivery, VersionMark};
use crate::prelude::*;
use crate::version::config::{ConfigFold, ConfigVersion};

/// The fold over the configuration stream and the version in force.
///
/// The fold is the first in the lock order.
#[derive(Debug)]
pub struct VersionHolder {
    fold: Mutex<ConfigFold>,
    current: watch::Sender<Arc<ConfigVersion>>,
}

impl Default for VersionHolder {
    fn default() -> Self {
        let fold = ConfigFold::new();
        let (current, _) = watch::channel(Arc::clone(fold.current()));
        Self {
            fold: Mutex::new(fold),
            current,
        }
    }
}

impl VersionHolder {
    /// Returns the version in force.
    pub fn current(&self) -> Arc<ConfigVersion> {
        Arc::clone(&self.current.borrow())
    }

    /// Returns the number and digest of the version in force.
    pub fn mark(&self) -> VersionMark {
        let version = self.current.borrow();
        VersionMark {
            number: version.number,
            digest: version.digest.clone(),
        }
    }

    /// Returns a receiver that sees each version that comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigVersion>> {
        self.current.subscribe()
    }

    /// Runs `change` on the fold and brings the version that it made into force.
    ///
    /// # Panics
    /// The fold went back to an earlier version.
    pub fn with_fold<R>(&self, change: impl FnOnce(&mut ConfigFold) -> R) -> R {
        let mut fold = self.fold.lock();
        let result = change(&mut fold);
        let version = Arc::clone(fold.current());
        self.current.send_if_modified(|current| {
            assert!(
                current.number <= version.number,
                "a process never goes back to a version"
            );
            let is_later = current.number < version.number;
            if is_later {
                *current = version;
            }
            is_later
        });
        result
    }

    /// Takes in the versions that a peer delivered.
    pub fn take_delivery(&self, delivery: VersionDelivery) {
        self.with_fold(|fold| match delivery {
            VersionDelivery::Records(records) => {
                for record in &records {
                    fold.replay(record);
                }
            }
            VersionDelivery::State(state) => {
                fold.install(*state);
            }
        });
    }

    /// Returns what a peer that has version `have` needs.
    pub fn delivery_since(&self, have: VersionNumber) -> VersionDelivery {
        self.with_fold(|fold| {
            let oldest = fold.history().oldest();
            if oldest.is_some_and(|oldest| oldest <= have.next()) {
                let entries = fold.history().since(have);
                return VersionDelivery::Records(
                    entries.map(|entry| Arc::clone(&entry.accepted)).collect(),
                );
            }
            VersionDelivery::State(Box::new(fold.snapshot().clone()))
        })
    }
}
