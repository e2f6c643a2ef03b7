//! Execution of one step, from its admission to its record.

mod budget;
mod failures;
mod intent;
mod model;
mod record;
mod run;
mod service;

pub(crate) use run::Step;
