//! The current home of a daemon, which is replaced when its journal is sealed.

use std::sync::{Arc, RwLock};

use super::Home;

/// Shared handle to the current home.
#[derive(Clone, Default)]
pub(crate) struct HomeCell {
    home: Arc<RwLock<Option<Arc<Home>>>>,
}

impl HomeCell {
    /// The current home, if one is open.
    pub(crate) fn get(&self) -> Option<Arc<Home>> {
        self.home.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Replaces the current home.
    pub(crate) fn set(&self, home: Option<Arc<Home>>) {
        *self.home.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = home;
    }
}
