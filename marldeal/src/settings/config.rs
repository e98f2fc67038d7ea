//! The start configuration: the JSON file that `ROUTER_CONFIG` names, with single environment variables overriding
//! it.

use std::net::SocketAddr;

use fawnhill::Settings;
use fawnhill_wirehost::wire::{self, Names, Setup};
use marldeal_lifecycle::Timings;
use serde::Deserialize;

use crate::settings::errors::{self, ConfigError};
use crate::settings::server_list::ServerList;
use crate::transient;

/// The configuration file as the platform writes it.
#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    mgmt: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<ServerList>,
    settings: Setup,
}

/// Resource limits that the platform sets. They bound the open connections; buffers are bounded per connection, so
/// memory follows.
#[derive(Deserialize, Clone, Copy)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192.0 }
    }
}

/// The validated configuration, with defaults applied and limits computed.
pub struct Config {
    /// Name of this limiter.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum number of open client connections.
    pub max_client_connections: usize,
    /// Maximum number of bytes of request bodies held in memory.
    pub max_body_bytes: usize,
    /// Maximum number of open connections to servers.
    pub max_server_connections: usize,
    /// Address of the management listener; `None` disables it.
    pub management: Option<SocketAddr>,
    /// Address on which datagrams from peers are received.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all limiters by position, including this one.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches every peer.
    pub peers_all: Option<SocketAddr>,
    /// The last known server list, used until discovery answers. It may be outdated.
    pub known_servers: Option<ServerList>,
    /// Idle time after which a connection to a server is closed, in milliseconds.
    pub server_idle_ms: f64,
    /// Longest time during which a draining server still receives new requests after the discovery agent was notified
    /// of the drain, in milliseconds.
    pub drain_grace_ms: f64,
    /// Durations of the drain and stop phases.
    pub timings: Timings,
    /// Maximum number of units that one request may ask for.
    pub max_units: f64,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of classes, plans and zones.
    pub names: Names,
}

/// Fraction of a server's idle time after which this side closes a connection. A request written while the server
/// closes the connection would be lost to a reset.
const SERVER_IDLE_FRACTION: f64 = 0.5;
/// Idle time of servers if the settings do not specify it.
const DEFAULT_SERVER_IDLE_MS: f64 = 10_000.0;
/// Grace period for drains if the settings do not specify it.
const DEFAULT_DRAIN_GRACE_MS: f64 = 1000.0;
/// Maximum units of a request if the settings do not specify it.
const DEFAULT_MAX_UNITS: f64 = 1000.0;
/// Maximum memory of a client connection: a request head and a chunk of a response.
const CLIENT_CONNECTION_MB: f64 = 0.05;
/// Maximum memory of a server connection: a read buffer and a chunk.
const SERVER_CONNECTION_MB: f64 = 0.1;
/// Fraction of the memory for client connections.
const CLIENT_MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the memory for server connections.
const SERVER_MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the descriptors for server connections.
const SERVER_DESCRIPTOR_FRACTION: f64 = 0.25;
/// Descriptors that neither clients nor servers get. They serve the management listener, discovery, peers and another
/// process of this limiter during an upgrade.
const MIN_RESERVED_DESCRIPTORS: usize = 34;
/// With a large limit, `1 / RESERVED_DESCRIPTOR_DIVISOR` of the descriptors is reserved instead, for proxies.
const RESERVED_DESCRIPTOR_DIVISOR: usize = 8;
/// Fraction of the memory for the state of customers.
const CUSTOMER_MEMORY_FRACTION: f64 = 0.125;
/// Fraction of the memory for request bodies that are buffered in full.
const BODY_MEMORY_FRACTION: f64 = 0.2;
/// Minimum number of connections with which a limiter can serve.
const MIN_CONNECTIONS: usize = 64;
/// Minimum number of customers whose state fits.
const MIN_CUSTOMERS: u32 = 1000;
/// Memory of the process itself, without connections and customers.
const PROCESS_MB: f64 = 8.0;

/// Returns the number of customers whose state fits in the given memory.
fn max_customers(memory_mb: f64) -> u32 {
    (memory_mb * CUSTOMER_MEMORY_FRACTION * f64::from(1 << 20) / Settings::BYTES_PER_CUSTOMER as f64)
        .clamp(0.0, 1e9) as u32
}

/// Returns the minimum memory with which a limiter can serve: connections, customers and the process itself.
fn min_memory_mb() -> f64 {
    let connections = MIN_CONNECTIONS as f64 * (CLIENT_CONNECTION_MB + SERVER_CONNECTION_MB);
    let customers = f64::from(MIN_CUSTOMERS) * Settings::BYTES_PER_CUSTOMER as f64 / f64::from(1 << 20);
    (connections + customers + PROCESS_MB).ceil()
}

/// SIGKILL follows SIGTERM no earlier than the longest deadline of a class, of which this much counts at most, plus
/// `KILL_AFTER_MS`.
const MAX_DEADLINE_MS: f64 = 3000.0;
const KILL_AFTER_MS: f64 = 700.0;
/// Margin between the last answer and SIGKILL when the drain time is computed.
const DRAIN_MARGIN_MS: f64 = 300.0;
/// Time to write the last answers and to end before SIGKILL, on a busy machine.
const ANSWER_MARGIN_MS: f64 = 200.0;
/// Minimum time after SIGTERM during which requests are accepted: new connections arrive for 0.4 s.
const MIN_DRAIN_MS: f64 = 600.0;

/// Returns how long requests are accepted after SIGTERM, so that each can still be answered before SIGKILL. The
/// module ends a request at its aim if a later answer earns nothing.
fn drain_ms(settings: &Setup) -> f64 {
    let deadline = |c: &wire::Class| c.deadline_ms.unwrap_or(0.0).min(MAX_DEADLINE_MS);
    let end = |c: &wire::Class| if c.late_worth > 0.0 { MAX_DEADLINE_MS } else { c.aim_ms };
    let longest_deadline = settings.classes.iter().map(deadline).fold(0.0, f64::max);
    let last_answer = settings.classes.iter().map(end).fold(0.0, f64::max);
    (longest_deadline + KILL_AFTER_MS - last_answer - DRAIN_MARGIN_MS).max(MIN_DRAIN_MS)
}

/// Returns the earliest time of SIGKILL after SIGTERM, less the time to write an answer. Every request must have been
/// answered by then. Infinite if no class has a deadline.
fn kill_after_ms(settings: &Setup) -> f64 {
    let longest_deadline = settings.classes.iter().filter_map(|c| c.deadline_ms).fold(0.0, f64::max);
    match longest_deadline > 0.0 {
        true => longest_deadline.min(MAX_DEADLINE_MS) + KILL_AFTER_MS - ANSWER_MARGIN_MS,
        false => f64::INFINITY,
    }
}

/// Returns the value of an environment variable, `None` if it is unset or empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

impl Config {
    /// Reads the configuration that `ROUTER_CONFIG` names, with the environment variables.
    ///
    /// # Errors
    /// Describes the first error, in one line.
    pub fn from_environment() -> Result<Config, String> {
        Config::read(variable, |path| transient::retry_blocking(|| std::fs::read_to_string(path)))
    }

    /// Reads the configuration again while serving. Ignores `ROUTER_DISCOVERY`, which holds the value of the start:
    /// only the file can name another address.
    ///
    /// # Errors
    /// Describes the first error, in one line.
    pub fn reload() -> Result<Config, String> {
        let var = |name: &str| if name == "ROUTER_DISCOVERY" { None } else { variable(name) };
        Config::read(var, |path| std::fs::read_to_string(path))
    }

    fn read(
        var: impl Fn(&str) -> Option<String>,
        open: impl Fn(&str) -> std::io::Result<String>,
    ) -> Result<Config, String> {
        let path = var("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
        let text = open(&path).map_err(|e| errors::summary(&[ConfigError::new(&path, "", e.to_string())]))?;
        Config::from_text(&path, &text, var).map_err(|errors| errors::summary(&errors))
    }

    /// Reads one file, with the values of `var` overriding its name and addresses.
    ///
    /// # Errors
    /// Returns all errors that were found.
    pub fn from_file(path: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, Vec<ConfigError>> {
        let text =
            std::fs::read_to_string(path).map_err(|e| vec![ConfigError::new(path, "", e.to_string())])?;
        Config::from_text(path, &text, var)
    }

    fn from_text(
        path: &str,
        text: &str,
        var: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, Vec<ConfigError>> {
        let error = |key: &str, message: String| ConfigError::new(path, key, message);
        let value = serde_json::from_str(text).map_err(|e| vec![error("", e.to_string())])?;
        let file: ConfigFile = errors::deserialize(path, value)?;
        let mut errors_found = Vec::new();
        let mut required = |from_file: Option<String>, name: &str, key: &str| {
            let text = var(name).or(from_file);
            if text.is_none() {
                errors_found.push(error(key, format!("missing, and {name} is not set")));
            }
            text.unwrap_or_default()
        };
        let name = required(file.name, "ROUTER_NAME", "name");
        let listen = required(file.listen, "ROUTER_LISTEN", "listen");
        let discovery = required(file.discovery, "ROUTER_DISCOVERY", "discovery");
        let mut address = |text: &str, key: &str| {
            text.parse::<SocketAddr>().unwrap_or_else(|_| {
                if !text.is_empty() {
                    errors_found.push(error(key, format!("'{text}' is not an IP address with a port")));
                }
                SocketAddr::from(([127, 0, 0, 1], 0))
            })
        };
        let listen = address(&listen, "listen");
        let discovery = address(&discovery, "discovery");
        let management = match var("ROUTER_MGMT") {
            Some(text) => Some(address(&text, "mgmt")),
            None => file.mgmt,
        };
        let seed = match &file.seed {
            Some(hex) => u64::from_str_radix(hex, 16).unwrap_or_else(|_| {
                errors_found.push(error("seed", format!("'{hex}' is not a 64-bit hexadecimal number")));
                0
            }),
            None => u64::from(std::process::id()),
        };
        let server_idle_time_ms = file.settings.bounds.idle_close_ms.unwrap_or(DEFAULT_SERVER_IDLE_MS);
        if !server_idle_time_ms.is_finite() || server_idle_time_ms < 0.0 {
            errors_found.push(error(
                "settings.Bounds.IdleCloseMs",
                format!("{server_idle_time_ms} is not a duration in milliseconds"),
            ));
        }
        let drain_grace_ms = file.settings.obligations.drain_grace_ms.unwrap_or(DEFAULT_DRAIN_GRACE_MS);
        if !drain_grace_ms.is_finite() || drain_grace_ms < 0.0 {
            errors_found.push(error(
                "settings.Obligations.DrainGraceMs",
                format!("{drain_grace_ms} is not a duration in milliseconds"),
            ));
        }
        let timings = Timings {
            drain_ms: drain_ms(&file.settings),
            kill_after_ms: kill_after_ms(&file.settings),
            ..Timings::default()
        };
        let max_units = file.settings.domain.units_top.unwrap_or(DEFAULT_MAX_UNITS);
        let (memory_mb, sockets) = (file.limits.memory_mb, file.limits.sockets);
        let fit_in_memory = |fraction: f64, each_mb: f64| (memory_mb * fraction / each_mb).max(0.0) as usize;
        let server_descriptors = (sockets as f64 * SERVER_DESCRIPTOR_FRACTION) as usize;
        let max_server_connections =
            server_descriptors.min(fit_in_memory(SERVER_MEMORY_FRACTION, SERVER_CONNECTION_MB));
        let unavailable =
            MIN_RESERVED_DESCRIPTORS.max(sockets / RESERVED_DESCRIPTOR_DIVISOR) + server_descriptors;
        let max_client_connections = sockets
            .saturating_sub(unavailable)
            .min(fit_in_memory(CLIENT_MEMORY_FRACTION, CLIENT_CONNECTION_MB));
        if file.limits.sockets < MIN_CONNECTIONS {
            let message =
                format!("{} is too few, {MIN_CONNECTIONS} are required at least", file.limits.sockets);
            errors_found.push(error("limits.sockets", message));
        }
        if !(memory_mb.is_finite() && memory_mb >= min_memory_mb()) {
            let message =
                format!("{memory_mb} MB is too small, {} MB are required at least", min_memory_mb());
            errors_found.push(error("limits.memory_mb", message));
        }
        let (mut settings, names) = match wire::settings(file.settings) {
            Ok(converted) => converted,
            Err(e) => {
                errors_found.push(error("settings", e));
                return Err(errors_found);
            }
        };
        settings.firms = max_customers(memory_mb).max(MIN_CUSTOMERS);
        errors_found.extend(
            fawnhill::validation_errors(&settings).into_iter().map(|message| error("settings", message)),
        );
        if !errors_found.is_empty() {
            return Err(errors_found);
        }
        Ok(Config {
            name,
            listen,
            discovery,
            seed,
            max_client_connections,
            max_server_connections,
            max_body_bytes: (memory_mb * BODY_MEMORY_FRACTION * f64::from(1 << 20)) as usize,
            management,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            known_servers: file.known,
            server_idle_ms: server_idle_time_ms * SERVER_IDLE_FRACTION,
            drain_grace_ms,
            timings,
            max_units,
            settings,
            classes: names.classes(),
            names,
        })
    }
}
