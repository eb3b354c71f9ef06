//! runs one stand-in as a process.

use std::net::SocketAddr;

use anyhow::Context;
use anyhow::Result;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use flamingo_edge::Spawner;
use flamingo_standins::engine::BatchOptions;
use flamingo_standins::engine::EngineOptions;
use flamingo_standins::engine::EngineStandin;
use flamingo_standins::platform::PlatformOptions;
use flamingo_standins::platform::PlatformStandin;
use flamingo_standins::service::ServiceOptions;
use flamingo_standins::service::ServiceStandin;
use flamingo_standins::weights::WeightsOptions;
use flamingo_standins::weights::WeightsStandin;
use futures_lite::future;

/// worker threads of a stand-in.
const THREAD_COUNT: usize = 2;

fn main() -> Result<()> {
    let matches = command().get_matches();
    let spawner = Spawner::start(THREAD_COUNT);
    let Some((name, arguments)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "platform" => platform(&spawner, arguments),
        "engine" => engine(&spawner, arguments),
        "service" => service(&spawner, arguments),
        _ => weights(&spawner, arguments),
    }
}

fn command() -> Command {
    let platform = kind("platform", "the object API and the list of instances")
        .arg(number("writes-per-s", "writes a second that are taken", "400"))
        .arg(number("reads-per-s", "reads a second that are taken", "2000"))
        .arg(number("instance-lag-ms", "how long a change of the list of instances stays unseen", "0"))
        .arg(number("log-changes", "changes kept for watches", "4096"));
    let engine = kind("engine", "a replica of a model engine")
        .arg(number("prefill-tokens-per-s", "uncached prompt tokens processed a second", "50000"))
        .arg(number("step-us", "time of a step without any request", "5000"))
        .arg(number("step-per-running-us", "time that each generating request adds to a step", "100"))
        .arg(number("max-running", "most requests that run at once", "32"))
        .arg(number("max-waiting", "most requests in the inside queue", "256"))
        .arg(number("cache-tokens", "tokens that the prefix cache holds", "400000"))
        .arg(number("load-lag-ms", "how late the load is reported", "100"))
        .arg(number("event-lag-ms", "how late cache events are published", "50"))
        .arg(number("orphan-grace-ms", "how long a stream without a reader goes on", "500"))
        .arg(
            text("model", "model that it serves; may be repeated, none stands for any")
                .action(ArgAction::Append),
        )
        .arg(text("crash-marker", "text of a prompt that kills the engine").default_value("[[crash]]"))
        .arg(flag("ignores-fencing", "obey orders with an old fencing number"));
    let service = kind("service", "a replica of a plain service")
        .arg(number("latency-ms", "added to each call before it runs", "0"))
        .arg(text("crash-marker", "text of a body that kills the service").default_value("[[crash]]"))
        .arg(flag("no-lookup", "do not answer look-ups by key"));
    let weights = kind("weights", "the weight store")
        .arg(number("weight-bytes", "bytes of each model's weights", "1048576"))
        .arg(number("downloads-per-s", "downloads a second that are taken", "2"));
    Command::new("standin")
        .about("A stand-in for one of the systems beside flamingostand")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([platform, engine, service, weights])
}

fn kind(name: &'static str, about: &'static str) -> Command {
    let listen = Arg::new("listen").long("listen").value_name("IP:PORT").required(true);
    let listen =
        listen.value_parser(value_parser!(SocketAddr)).help("address to listen on; port 0 takes a free one");
    Command::new(name).about(about).arg(listen)
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn platform(spawner: &Spawner, arguments: &ArgMatches) -> Result<()> {
    let options = PlatformOptions {
        listen: listen(arguments)?,
        writes_per_s: get(arguments, "writes-per-s")? as f64,
        reads_per_s: get(arguments, "reads-per-s")? as f64,
        instance_lag_ms: get(arguments, "instance-lag-ms")?,
        log_changes: get(arguments, "log-changes")? as usize,
    };
    let standin = PlatformStandin::start(spawner, options)?;
    run("platform", standin.address())
}

fn engine(spawner: &Spawner, arguments: &ArgMatches) -> Result<()> {
    let batch = BatchOptions {
        prefill_tokens_per_s: get(arguments, "prefill-tokens-per-s")?,
        step_us: get(arguments, "step-us")?,
        step_per_running_us: get(arguments, "step-per-running-us")?,
        max_running: get(arguments, "max-running")? as usize,
        cache_tokens: get(arguments, "cache-tokens")?,
        ..BatchOptions::default()
    };
    let models = arguments.get_many::<String>("model").unwrap_or_default();
    let options = EngineOptions {
        listen: listen(arguments)?,
        batch,
        models: models.cloned().collect(),
        max_waiting: get(arguments, "max-waiting")? as usize,
        load_lag_ms: get(arguments, "load-lag-ms")?,
        event_lag_ms: get(arguments, "event-lag-ms")?,
        checks_fencing: !arguments.get_flag("ignores-fencing"),
        orphan_grace_ms: get(arguments, "orphan-grace-ms")?,
        crash_marker: marker(arguments)?,
        exits_on_crash: true,
        ..EngineOptions::default()
    };
    let standin = EngineStandin::start(spawner, options)?;
    run("engine", standin.address())
}

fn service(spawner: &Spawner, arguments: &ArgMatches) -> Result<()> {
    let options = ServiceOptions {
        listen: listen(arguments)?,
        finds_by_key: !arguments.get_flag("no-lookup"),
        crash_marker: marker(arguments)?,
        exits_on_crash: true,
        latency_ms: get(arguments, "latency-ms")?,
    };
    let standin = ServiceStandin::start(spawner, options)?;
    run("service", standin.address())
}

fn weights(spawner: &Spawner, arguments: &ArgMatches) -> Result<()> {
    let options = WeightsOptions {
        listen: listen(arguments)?,
        weight_bytes: get(arguments, "weight-bytes")? as usize,
        downloads_per_s: get(arguments, "downloads-per-s")? as f64,
    };
    let standin = WeightsStandin::start(spawner, options)?;
    run("weights", standin.address())
}

fn listen(arguments: &ArgMatches) -> Result<SocketAddr> {
    arguments.get_one::<SocketAddr>("listen").copied().context("--listen is missing")
}

fn get(arguments: &ArgMatches, name: &str) -> Result<u64> {
    arguments.get_one::<u64>(name).copied().with_context(|| format!("--{name} is missing"))
}

fn marker(arguments: &ArgMatches) -> Result<String> {
    arguments.get_one::<String>("crash-marker").cloned().context("--crash-marker is missing")
}

/// says that the stand-in listens, and serves until the process is ended.
fn run(name: &str, address: SocketAddr) -> Result<()> {
    println!("{name} listens on {address}");
    async_io::block_on(future::pending::<()>());
    Ok(())
}
