//! Replays a load of programs against the gateway's decisions in virtual time,
//! beside baselines and with each mechanism off, and prints what came of it.
//!
//! `cargo run --release --example experiment -- --flood 0:4:18:8 --plot flood.svg`

use std::{error::Error, fs, process::ExitCode};

use argh::FromArgs;
use gg_emulator::{Experiment, Flood, Load, Outcome, Policy, Slowdown, plot, run, table};

/// Replays a load against the gateway's decisions.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// seeds to play (3)
    #[argh(option, default = "3")]
    seeds: u64,

    /// gateways (8)
    #[argh(option, default = "8")]
    gateways: usize,

    /// replicas (9)
    #[argh(option, default = "9")]
    replicas: usize,

    /// factor on the rates of all kinds (1)
    #[argh(option, default = "1.0")]
    load: f64,

    /// seconds in which programs begin (30)
    #[argh(option, default = "30.0")]
    seconds: f64,

    /// KIND:FROM:TO:FACTOR, more programs of a kind (0, 1 or all) between two
    /// seconds; may be given several times
    #[argh(option)]
    flood: Vec<String>,

    /// REPLICAS:FROM:TO:FACTOR, slow replicas; may be given several times
    #[argh(option)]
    slow: Vec<String>,

    /// file for a plot, as SVG
    #[argh(option)]
    plot: Option<String>,
}

fn main() -> ExitCode {
    match play(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("experiment: {err}");
            ExitCode::FAILURE
        }
    }
}

fn play(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let floods = arguments.flood.iter().map(|text| flood(text)).collect::<Result<_, _>>()?;
    let slowdowns = arguments.slow.iter().map(|text| slowdown(text)).collect::<Result<_, _>>()?;
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

fn flood(text: &str) -> Result<Flood, String> {
    let [kind, from, to, factor] = parts(text)?;
    let kind = match kind {
        "all" => None,
        index => Some(number(index)? as usize),
    };
    Ok(Flood { kind, from: number(from)?, to: number(to)?, factor: number(factor)? })
}

fn slowdown(text: &str) -> Result<Slowdown, String> {
    let [replicas, from, to, factor] = parts(text)?;
    Ok(Slowdown {
        replicas: number(replicas)? as usize,
        from: number(from)?,
        to: number(to)?,
        factor: number(factor)?,
    })
}

fn parts(text: &str) -> Result<[&str; 4], String> {
    let parts: Vec<&str> = text.split(':').collect();
    parts.try_into().map_err(|_| format!("{text} does not have four parts divided by colons"))
}

fn number(text: &str) -> Result<f64, String> {
    let parsed = text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0);
    parsed.ok_or_else(|| format!("{text} is no number from 0 up"))
}
