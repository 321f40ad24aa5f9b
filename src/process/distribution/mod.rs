//! Distribution of configuration versions to every process.

mod announcement;
mod distributor;
mod event;
mod log_readers;
mod peer;
mod report;
mod snapshots;
mod start_probes;
mod survey;

pub use announcement::{AnnouncementKind, VersionAnnouncement, VersionBody};
pub use distributor::{DistributionActions, DistributorSettings, VersionDistributor};
pub use event::{DistributionAction, DistributionEvent, StartBasis};
pub use log_readers::{N_LOG_READERS, log_readers};
pub use peer::{PeerInfo, PeerName, PeerRole, PeerState, PeerTable};
pub use report::{DataCentreReport, InForceReport, LaggingPeer, UnreachablePeer, in_force};
pub use snapshots::{SnapshotClock, snapshot_due};
