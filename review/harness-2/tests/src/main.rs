//! Stand-ins of the cases in `review/`, and the cases themselves: one command each.
//!
//! Exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod deployment;
mod engine;
mod record;
#[allow(dead_code, reason = "a case uses a part")]
#[path = "../../../../platform/tests/support/store.rs"]
mod store;

#[path = "../../../10/tests/case.rs"]
mod case_10;
#[path = "../../../6/tests/case.rs"]
mod case_6;
#[path = "../../../7/tests/case.rs"]
mod case_7;
#[path = "../../../8/tests/case.rs"]
mod case_8;
#[path = "../../../9/tests/case.rs"]
mod case_9;

use std::{env, path::PathBuf, process::ExitCode, time::Duration};

use record::Record;

/// A case takes no longer than this, whatever happens.
const TIME_MAX: Duration = Duration::from_secs(118);

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() -> ExitCode {
    let Some(number) = env::args().nth(1) else {
        eprintln!("usage: review-2 NUMBER");
        return ExitCode::from(2);
    };
    let is_disrupted = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&PathBuf::from(format!("review/{number}/record.txt")));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let verdict = runtime.block_on(async {
        let case = async {
            match number.as_str() {
                "10" => case_10::run(&record, is_disrupted).await,
                "6" => case_6::run(&record, is_disrupted).await,
                "7" => case_7::run(&record, is_disrupted).await,
                "8" => case_8::run(&record, is_disrupted).await,
                "9" => case_9::run(&record, is_disrupted).await,
                _ => Err("no such case".into()),
            }
        };
        tokio::time::timeout(TIME_MAX, case).await.unwrap_or_else(|_| Err("took too long".into()))
    });
    match verdict {
        Ok(Verdict::Held) => {
            record.line("verdict: held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: broken");
            ExitCode::from(1)
        }
        Err(err) => {
            record.line(&format!("could not run: {err}"));
            ExitCode::from(2)
        }
    }
}
