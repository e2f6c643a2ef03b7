//! Simulates a load of programs against the gateway's scheduling decisions in
//! virtual time, compares it with baselines and with each mechanism disabled,
//! and prints the results.
//!
//! `cargo run --release --example experiment -- --flood 0:4:18:8 --plot flood.svg`

use std::{error::Error, fs, process::ExitCode};

use argh::FromArgs;
use gg_emulator::{Experiment, Flood, Load, Outcome, Policy, Slowdown, plot, run, table};

/// Simulates a load against the gateway's scheduling decisions.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// number of seeds to run (3)
    #[argh(option, default = "3")]
    seeds: u64,

    /// number of gateways (8)
    #[argh(option, default = "8")]
    gateways: usize,

    /// number of replicas (9)
    #[argh(option, default = "9")]
    replicas: usize,

    /// factor on the arrival rates of all kinds (1)
    #[argh(option, default = "1.0")]
    load: f64,

    /// period in which programs arrive, in seconds (30)
    #[argh(option, default = "30.0")]
    seconds: f64,

    /// KIND:FROM:TO:FACTOR, multiplies the arrivals of a kind (0, 1 or all)
    /// between two seconds; may be given several times
    #[argh(option)]
    flood: Vec<String>,

    /// REPLICAS:FROM:TO:FACTOR, slows replicas down between two seconds; may be
    /// given several times
    #[argh(option)]
    slow: Vec<String>,

    /// output file for an SVG plot
    #[argh(option)]
    plot: Option<String>,
}

fn main() -> ExitCode {
    match run_policies(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("experiment: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run_policies(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let floods = arguments.flood.iter().map(|text| parse_flood(text)).collect::<Result<_, _>>()?;
    let slowdowns =
        arguments.slow.iter().map(|text| parse_slowdown(text)).collect::<Result<_, _>>()?;
    let mut load = Load { floods, seconds: arguments.seconds, ..Load::default() };
    load.kinds.iter_mut().for_each(|kind| kind.rate *= arguments.load);
    let base = Experiment {
        gateways: arguments.gateways.max(1),
        replicas: arguments.replicas.max(1),
        load,
        slowdowns,
        ..Experiment::default()
    };
    let outcomes: Vec<Outcome> = Policy::all()
        .into_iter()
        .map(|policy| {
            let experiment = Experiment { policy, ..base.clone() };
            let runs: Vec<Outcome> =
                (1..=arguments.seeds.max(1)).map(|seed| run(&experiment, seed)).collect();
            Outcome::sum(&runs)
        })
        .collect();
    print!("{}", table(&outcomes));
    if let Some(path) = &arguments.plot {
        fs::write(path, plot("programs", &outcomes))?;
    }
    Ok(())
}

fn parse_flood(text: &str) -> Result<Flood, String> {
    let [kind, from, to, factor] = split_fields(text)?;
    let kind = match kind {
        "all" => None,
        index => Some(parse_number(index)? as usize),
    };
    Ok(Flood {
        kind,
        from: parse_number(from)?,
        to: parse_number(to)?,
        factor: parse_number(factor)?,
    })
}

fn parse_slowdown(text: &str) -> Result<Slowdown, String> {
    let [replicas, from, to, factor] = split_fields(text)?;
    Ok(Slowdown {
        replicas: parse_number(replicas)? as usize,
        from: parse_number(from)?,
        to: parse_number(to)?,
        factor: parse_number(factor)?,
    })
}

fn split_fields(text: &str) -> Result<[&str; 4], String> {
    let fields: Vec<&str> = text.split(':').collect();
    fields.try_into().map_err(|_| format!("{text} does not have four fields separated by colons"))
}

fn parse_number(text: &str) -> Result<f64, String> {
    let parsed = text.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
    parsed.ok_or_else(|| format!("{text} is not a non-negative number"))
}
