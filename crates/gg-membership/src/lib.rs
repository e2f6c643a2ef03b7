//! Membership: which daemons are live. The platform's list can lag, so it is
//! corrected by this daemon's own probes and by reports from peers.

mod view;

pub use view::{Membership, MembershipSettings, PeerInfo};
