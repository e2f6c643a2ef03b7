//! Time that a new version of the configuration takes with many accounts:
//! `cargo run --release -p gg-route --example account_versions`.

use std::{hint::black_box, time::Instant};

use gg_route::{Account, Configuration, KeyDigest, RouteTable};

const ACCOUNTS: usize = 4_100;
const VERSIONS: u32 = 200;

fn account(number: usize, generation: usize) -> Account {
    let keys = [format!("key-{number}-{generation}"), format!("key-{number}-b")];
    Account {
        name: format!("account-{number}").as_str().into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        rank: None,
        rate: None,
    }
}

/// Microseconds for one version that changes this many accounts, with its
/// decoded accounts at hand.
fn measure(changed: usize) -> f64 {
    let mut accounts: Vec<Account> = (0..ACCOUNTS).map(|number| account(number, 0)).collect();
    let mut table = RouteTable::new(configuration(&accounts));
    let mut micros = 0.0;
    for version in 1..=VERSIONS as usize {
        for place in 0..changed {
            let number = (version * 31 + place) % ACCOUNTS;
            accounts[number] = account(number, version);
        }
        let next = configuration(&accounts);
        let started_at = Instant::now();
        table = black_box(table.updated(next));
        micros += started_at.elapsed().as_secs_f64() * 1e6;
    }
    micros / f64::from(VERSIONS)
}

fn configuration(accounts: &[Account]) -> Configuration {
    Configuration { accounts: accounts.to_vec(), ..Configuration::default() }
}

fn main() {
    let accounts: Vec<Account> = (0..ACCOUNTS).map(|number| account(number, 0)).collect();
    let configurations: Vec<Configuration> =
        (0..VERSIONS).map(|_| configuration(&accounts)).collect();
    let started_at = Instant::now();
    for next in configurations {
        black_box(RouteTable::new(next));
    }
    let micros = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(VERSIONS);
    println!("accounts={ACCOUNTS} keys={} from_nothing_us={micros:.0}", 2 * ACCOUNTS);
    for changed in [0, 1, 40] {
        println!("accounts={ACCOUNTS} changed={changed} updated_us={:.0}", measure(changed));
    }
}
