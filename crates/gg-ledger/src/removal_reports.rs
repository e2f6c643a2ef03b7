//! Reports to the operators whether an instance that is being drained may be
//! taken away.

use std::sync::{Mutex, PoisonError};

use gg_platform::{Kind, PlatformError};
use gg_protocol::Name;
use gg_route::Deployment;

use crate::RemovalBlock;

/// What was last reported of one instance's removal.
#[derive(Debug, Default)]
pub(crate) struct RemovalReports {
    /// The reason why it is not finished, or `None` once it is.
    last: Mutex<Option<Option<RemovalBlock>>>,
}

impl RemovalReports {
    /// Forgets a removal that is no longer requested.
    pub(crate) fn withdraw(&self) {
        *self.last() = None;
    }

    /// Writes the status of a removal that is in progress because of `block`,
    /// or finished, unless it was written before. A finished removal stays so:
    /// the operators may have taken the instance away already.
    pub(crate) async fn report<D: Deployment>(
        &self,
        directory: &D,
        name: &Name,
        block: Option<RemovalBlock>,
    ) -> Result<(), PlatformError> {
        let last = *self.last();
        if last == Some(None) || last == Some(block) {
            return Ok(());
        }
        let reason = block.map(RemovalBlock::as_str);
        let status = directory.removal_status(reason);
        directory.write_status(Kind::Removals, name, status).await?;
        log::info!(
            "event=removal_told is_empty={} reason={}",
            block.is_none(),
            reason.unwrap_or("none")
        );
        *self.last() = Some(block);
        Ok(())
    }

    fn last(&self) -> std::sync::MutexGuard<'_, Option<Option<RemovalBlock>>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
