//! What the limiter is told at its start: the JSON file of `ROUTER_CONFIG`, with the single variables above it.

use std::net::SocketAddr;

use fawnhill::Settings;
use fawnhill_wirehost::wire::{self, Names, Setup};
use marldeal_lifecycle::Timings;
use serde::Deserialize;

use crate::settings::errors::{self, ConfigError};
use crate::settings::server_list::ServerList;
use crate::transient;

/// The configuration as the platform writes it.
#[derive(Deserialize)]
struct File {
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

/// The platform's limits that bear on what is kept open. Memory follows from them: buffers are bounded.
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

/// The configuration in the program's terms.
pub struct Config {
    /// This limiter's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Most client connections held.
    pub max_client_connections: usize,
    /// Most bytes of requests' bodies held.
    pub max_body_bytes: usize,
    /// Most connections to servers held.
    pub max_server_connections: usize,
    /// Where operators call; nowhere if not told.
    pub management: Option<SocketAddr>,
    /// Where peers' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Peers by their position, this limiter among them.
    pub peers: Vec<SocketAddr>,
    /// Reaches every peer.
    pub peers_all: Option<SocketAddr>,
    /// The list of servers as it was last known; may be old.
    pub known_servers: Option<ServerList>,
    /// Milliseconds after which an idle connection to a server is dropped.
    pub server_idle_ms: f64,
    /// Nothing new goes to a server for longer after the agent has been told that it drains, in milliseconds.
    pub drain_grace_ms: f64,
    /// How long the steps of a drain and of an end last.
    pub timings: Timings,
    /// Most units that one request may ask for.
    pub max_units: f64,
    /// The module's settings.
    pub settings: Settings,
    /// The classes' names in their order.
    pub classes: Vec<String>,
    /// Names of classes, plans and zones.
    pub names: Names,
}

/// Share of a server's idle time after which this side drops a connection: a request written to one that the
/// server closes at that moment would be lost as a reset.
const IDLE_PART: f64 = 0.5;
/// A server's idle time where the settings name none.
const IDLE_MS: f64 = 10_000.0;
/// The grace for drains where the settings name none.
const DRAIN_GRACE_MS: f64 = 1000.0;
/// Most units of a request where the settings name none.
const MOST_UNITS: f64 = 1000.0;
/// Memory that a client's connection may hold at most (a head, an answer's piece) and a server's (a read buffer, a piece),
/// and the shares of the memory for each.
const CLIENT_MB: f64 = 0.05;
const SERVER_MB: f64 = 0.1;
const CLIENTS_PART: f64 = 0.25;
const SERVERS_PART: f64 = 0.25;
/// Share of the descriptors for servers' connections, and descriptors that neither these nor clients get: operators,
/// discovery, peers, another process of this limiter; for a large limit a part of it, which proxies use.
const SERVERS_DESCRIPTORS: f64 = 0.25;
const RESERVE: usize = 34;
const RESERVE_PART: usize = 8;
/// Share of the memory for what is remembered of customers.
const FIRMS_PART: f64 = 0.125;
/// Share of the memory for requests' bodies that are held whole.
const BODIES_PART: f64 = 0.2;
/// Fewest connections and customers that serving makes sense with, and the program's own memory.
const LEAST_CONNECTIONS: usize = 64;
const LEAST_FIRMS: u32 = 1000;
const PROGRAM_MB: f64 = 8.0;

/// Customers that so much memory has room for.
fn firms(memory_mb: f64) -> u32 {
    (memory_mb * FIRMS_PART * f64::from(1 << 20) / Settings::BYTES_PER_CUSTOMER as f64).clamp(0.0, 1e9) as u32
}

/// The least memory that serves: for the connections and customers, and for the program beside them.
fn least_mb() -> f64 {
    let connections = LEAST_CONNECTIONS as f64 * (CLIENT_MB + SERVER_MB);
    let firms = f64::from(LEAST_FIRMS) * Settings::BYTES_PER_CUSTOMER as f64 / f64::from(1 << 20);
    (connections + firms + PROGRAM_MB).ceil()
}

/// SIGKILL comes no sooner than the longest deadline, or this if that is less, and a while more after SIGTERM.
const MOST_DEADLINE_MS: f64 = 3000.0;
const KILL_AFTER_MS: f64 = 700.0;
/// Kept between the last answer and SIGKILL.
const DRAIN_SPARE_MS: f64 = 300.0;
const ANSWER_SPARE_MS: f64 = 100.0;
/// New connections come for 0.4 s after SIGTERM: requests are taken for so long at least.
const LEAST_DRAIN_MS: f64 = 600.0;

/// Takes requests for as long after SIGTERM as each can still be answered before SIGKILL. The module ends one at
/// its aim where a later answer is worth nothing.
fn drain_ms(settings: &Setup) -> f64 {
    let deadline = |c: &wire::Class| c.deadline_ms.unwrap_or(0.0).min(MOST_DEADLINE_MS);
    let ends = |c: &wire::Class| if c.late_worth > 0.0 { MOST_DEADLINE_MS } else { c.aim_ms };
    let longest = settings.classes.iter().map(deadline).fold(0.0, f64::max);
    let answered = settings.classes.iter().map(ends).fold(0.0, f64::max);
    (longest + KILL_AFTER_MS - answered - DRAIN_SPARE_MS).max(LEAST_DRAIN_MS)
}

/// When SIGKILL may come after SIGTERM, less what an answer needs to be written: nothing is left to be answered then.
fn killed_ms(settings: &Setup) -> f64 {
    let longest = settings.classes.iter().filter_map(|c| c.deadline_ms).fold(0.0, f64::max);
    match longest > 0.0 {
        true => longest.min(MOST_DEADLINE_MS) + KILL_AFTER_MS - ANSWER_SPARE_MS,
        false => f64::INFINITY,
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

impl Config {
    /// Reads the environment at a start. The error is one plain line.
    pub fn from_environment() -> Result<Config, String> {
        Config::read(variable, |path| transient::retry_blocking(|| std::fs::read_to_string(path)))
    }

    /// Reads the file again. `ROUTER_DISCOVERY` tells of the start: only the file can name another address.
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
        Config::from_text(&path, &text, var).map_err(|mistakes| errors::summary(&mistakes))
    }

    /// Reads one file, with `var` above what it says of name, addresses. All mistakes at once.
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
        let wrong = |key: &str, what: String| ConfigError::new(path, key, what);
        let value = serde_json::from_str(text).map_err(|e| vec![wrong("", e.to_string())])?;
        let file: File = errors::deserialize(path, value)?;
        let mut found = Vec::new();
        let mut pick = |own: Option<String>, name: &str, key: &str| {
            let text = var(name).or(own);
            if text.is_none() {
                found.push(wrong(key, format!("missing, and {name} does not tell it either")));
            }
            text.unwrap_or_default()
        };
        let name = pick(file.name, "ROUTER_NAME", "name");
        let listen = pick(file.listen, "ROUTER_LISTEN", "listen");
        let discovery = pick(file.discovery, "ROUTER_DISCOVERY", "discovery");
        let mut address = |text: &str, key: &str| {
            text.parse::<SocketAddr>().unwrap_or_else(|_| {
                if !text.is_empty() {
                    found.push(wrong(key, format!("'{text}' is not an address and port")));
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
                found.push(wrong("seed", format!("'{hex}' is not a hex number of 64 bits")));
                0
            }),
            None => u64::from(std::process::id()),
        };
        let server_idle = file.settings.bounds.idle_close_ms.unwrap_or(IDLE_MS);
        if !server_idle.is_finite() || server_idle < 0.0 {
            found.push(wrong("settings.Bounds.IdleCloseMs", format!("{server_idle} is not a time")));
        }
        let drain_grace_ms = file.settings.obligations.drain_grace_ms.unwrap_or(DRAIN_GRACE_MS);
        if !drain_grace_ms.is_finite() || drain_grace_ms < 0.0 {
            found.push(wrong("settings.Obligations.DrainGraceMs", format!("{drain_grace_ms} is not a time")));
        }
        let timings = Timings {
            drain_ms: drain_ms(&file.settings),
            kill_after_ms: killed_ms(&file.settings),
            ..Timings::default()
        };
        let max_units = file.settings.domain.units_top.unwrap_or(MOST_UNITS);
        let (memory_mb, sockets) = (file.limits.memory_mb, file.limits.sockets);
        let by_memory = |part: f64, each: f64| (memory_mb * part / each).max(0.0) as usize;
        let for_servers = (sockets as f64 * SERVERS_DESCRIPTORS) as usize;
        let max_server_connections = for_servers.min(by_memory(SERVERS_PART, SERVER_MB));
        let others = RESERVE.max(sockets / RESERVE_PART) + for_servers;
        let max_client_connections = sockets.saturating_sub(others).min(by_memory(CLIENTS_PART, CLIENT_MB));
        if file.limits.sockets < LEAST_CONNECTIONS {
            let what = format!("{} is too few, {LEAST_CONNECTIONS} at least are needed", file.limits.sockets);
            found.push(wrong("limits.sockets", what));
        }
        if !(memory_mb.is_finite() && memory_mb >= least_mb()) {
            let what = format!("{memory_mb} MB is too small, {} MB at least are needed", least_mb());
            found.push(wrong("limits.memory_mb", what));
        }
        let (mut settings, names) = match wire::settings(file.settings) {
            Ok(both) => both,
            Err(e) => {
                found.push(wrong("settings", e));
                return Err(found);
            }
        };
        settings.firms = firms(memory_mb).max(LEAST_FIRMS);
        found.extend(fawnhill::validation_errors(&settings).into_iter().map(|what| wrong("settings", what)));
        if !found.is_empty() {
            return Err(found);
        }
        Ok(Config {
            name,
            listen,
            discovery,
            seed,
            max_client_connections,
            max_server_connections,
            max_body_bytes: (memory_mb * BODIES_PART * f64::from(1 << 20)) as usize,
            management,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            known_servers: file.known,
            server_idle_ms: server_idle * IDLE_PART,
            drain_grace_ms,
            timings,
            max_units,
            settings,
            classes: names.classes(),
            names,
        })
    }
}
