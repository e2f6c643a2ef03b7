//! Stand-ins of clients, replicas and the platform for the cases of the review.
//! `standins CASE RECORD FOLDER` runs a case from the root of the repository and
//! exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
//! With `TROUBLE=0` there is no disruption.

mod budget;
mod client;
mod deployment;
mod http;
mod list_gap;
mod lost_disk;
mod machines;
mod programs;
mod record;
mod replica;
mod retire;
mod stale_route;
mod store;
mod two_retired;

use std::{env, path::Path, process::ExitCode};

use deployment::Deployment;
use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record, folder] = arguments.as_slice() else { return ExitCode::from(2) };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(record);
    record.say(&format!("case={case} trouble={has_trouble}"));
    let folder = Path::new(folder);
    let run: fn(&mut Deployment, bool) -> bool = match case.as_str() {
        "budget" => budget::run,
        "list-gap" => list_gap::run,
        "lost-disk" => lost_disk::run,
        "stale-route" => stale_route::run,
        "two-retired" => two_retired::run,
        _ => return ExitCode::from(2),
    };
    // One of eight leaves, which is within the share of the users' days.
    let replicas = if case == "list-gap" { 8 } else { 3 };
    let held = run(&mut Deployment::start(record.clone(), folder, 2, replicas), has_trouble);
    record.say(if held { "the rule held" } else { "the rule was broken" });
    ExitCode::from(u8::from(!held))
}
