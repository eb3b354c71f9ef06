//! load and experiment tool of flamingostand.

use std::path::Path;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use flamingo_bench::decide;
use flamingo_bench::experiment;
use flamingo_bench::plot;
use flamingo_bench::table;
use flamingo_bench::workload::Workload;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("report", matches)) => report(matches),
        Some(("decide", _)) => {
            print!("{}", decide::run()?);
            Ok(())
        }
        _ => Ok(()),
    }
}

fn command() -> Command {
    Command::new("flamingobench")
        .about("Measures the decisions of flamingostand")
        .subcommand_required(true)
        .subcommand(
            Command::new("report")
                .about("Runs every experiment in virtual time and prints every figure")
                .arg(
                    Arg::new("workloads")
                        .long("workloads")
                        .help("Folder of the workload files")
                        .value_parser(value_parser!(PathBuf))
                        .default_value("crates/bench/workloads"),
                )
                .arg(
                    Arg::new("out")
                        .long("out")
                        .help("Folder for the JSON and SVG files")
                        .value_parser(value_parser!(PathBuf))
                        .default_value("docs/measures"),
                )
                .arg(
                    Arg::new("seeds")
                        .long("seeds")
                        .help("Number of seeds, from 1 upwards")
                        .value_parser(value_parser!(u64).range(1..))
                        .default_value("5"),
                )
                .arg(
                    Arg::new("threads")
                        .long("threads")
                        .help("Threads that run experiments")
                        .value_parser(value_parser!(u64).range(1..))
                        .default_value("4"),
                )
                .arg(
                    Arg::new("no-faults")
                        .long("no-faults")
                        .help("Leaves the runs with faults out")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(Command::new("decide").about("Times single decisions and weighs the state behind them"))
}

fn report(matches: &ArgMatches) -> anyhow::Result<()> {
    let folder = matches.get_one::<PathBuf>("workloads").expect("it has a default");
    let out = matches.get_one::<PathBuf>("out").expect("it has a default");
    let seed_count = *matches.get_one::<u64>("seeds").expect("it has a default");
    let thread_count = *matches.get_one::<u64>("threads").expect("it has a default") as usize;
    let seeds: Vec<u64> = (1..=seed_count).collect();
    std::fs::create_dir_all(out)?;
    for path in workload_paths(folder)? {
        let workload = Workload::read(&path)?;
        let report = experiment::report(&workload, &seeds, thread_count, !matches.get_flag("no-faults"));
        let json = serde_json::to_string_pretty(&report)?;
        std::fs::write(out.join(format!("{}.json", workload.name)), json + "\n")?;
        plot::draw(&report, &out.join(format!("{}.svg", workload.name)))?;
        println!("{}", table::tables(&report));
    }
    println!("### decisions\n\n{}", decide::run()?);
    Ok(())
}

fn workload_paths(folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}
