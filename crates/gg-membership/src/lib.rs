//! Which instances are live: the platform's lagging list, corrected by our
//! own probes and by what peers report.

mod view;

pub use view::{Membership, MembershipSettings, PeerInfo};
