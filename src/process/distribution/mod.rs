//! How configuration versions reach every process.

mod announcement;
mod distributor;
mod event;
mod peer;
mod report;
mod snapshots;
mod start;
mod survey;
mod tailing;

pub use announcement::{AnnouncementKind, VersionAnnouncement, VersionBody};
pub use distributor::{DistributionActions, DistributorSettings, VersionDistributor};
pub use event::{DistributionAction, DistributionEvent, StartBasis};
pub use peer::{PeerInfo, PeerName, PeerRole, PeerState, PeerTable};
pub use report::{DataCentreReport, InForceReport, LaggingPeer, UnreachablePeer, in_force};
pub use snapshots::{SnapshotClock, snapshot_due};
pub use tailing::{TAIL_ENTRIES, tail_entries};
