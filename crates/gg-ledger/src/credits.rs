//! Credit of client accounts, as clients request it from the issuers.

use std::{sync::Arc, time::Duration};

use tokio::time;

use crate::{
    CREDIT_ISSUERS, CreditLimit, CreditReply, CreditRequest, Ledger,
    issuers::issuers,
    link::{Link, Scope},
    node::lock,
    protocol::{Op, ReplyBody},
    set::fnv1a,
};

/// Timeout of a request to one issuer; the next one is asked after it. A round
/// trip takes 3 ms.
const CREDIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Digest of a program's name, by which issuers tell programs apart.
pub fn digest(program: &str) -> u32 {
    let hash = fnv1a(program.as_bytes());
    (hash ^ (hash >> 32)) as u32
}

impl Ledger {
    /// Disks of the instances that issue an account's credit, in the order in
    /// which they are asked for this program, so that one of them sees all its
    /// requests.
    pub fn credit_issuers(&self, account: &str, limit: &CreditLimit, program: u32) -> Vec<u64> {
        let disks = lock(&self.state).layout.disks();
        let all: [Option<u64>; CREDIT_ISSUERS] = issuers(&disks, account);
        let mut order: Vec<u64> = all.into_iter().flatten().collect();
        order.truncate(limit.issuers(order.len()));
        if !order.is_empty() {
            let first = program as usize % order.len();
            order.rotate_left(first);
        }
        order
    }

    /// Requests credit from one issuer; `None` if it doesn't reply in time, or
    /// its version issues none.
    pub async fn request_credit(&self, disk: u64, request: CreditRequest) -> Option<CreditReply> {
        let link = self.usable_link(disk)?;
        let account = request.account.clone();
        let call = link.call(Scope::NO_PARTITION, Op::Ping { credit: Some(request) });
        match time::timeout(CREDIT_TIMEOUT, call).await {
            Ok(Ok(ReplyBody::Pong { credit: Some(reply) })) => Some(reply),
            _ => {
                let instance = &link.member.instance;
                log::info!("event=credit_unanswered account={account} instance={instance}");
                None
            }
        }
    }

    /// Gives credit back to the issuer that granted it.
    pub fn return_credit(&self, disk: u64, request: CreditRequest) {
        if let Some(link) = self.usable_link(disk) {
            link.notify(Scope::NO_PARTITION, Op::Ping { credit: Some(request) });
        }
    }

    fn usable_link(&self, disk: u64) -> Option<Arc<Link>> {
        lock(&self.state).links.get(disk).filter(|link| link.is_usable()).cloned()
    }
}
