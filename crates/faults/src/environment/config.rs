//! Configurations of the limiters, in the platform's form.

use std::net::SocketAddr;

use marldeal_rehearsal::scenario::{ClassOf, PlanOf, Repeats, Scenario};
use marldeal_standin::addresses::loopback_address;

/// Addresses at which a limiter reaches the others and is reached.
pub(super) struct Addresses {
    /// Discovery, as this limiter sees it.
    pub discovery: SocketAddr,
    /// The limiter's own socket for datagrams.
    pub datagrams: SocketAddr,
    /// The address for datagrams to each peer, by position.
    pub peers: Vec<SocketAddr>,
    /// The address for datagrams to all peers.
    pub broadcast: SocketAddr,
}

/// Returns the configuration of the limiter at a position.
pub(super) fn config(scenario: &Scenario, seed: u64, position: u32, at: &Addresses) -> serde_json::Value {
    let s = scenario.settings(position);
    let class = |(of, c): (&ClassOf, &fawnhill::Class)| {
        let effect = match of.repeats {
            Repeats::Safe => "read_like",
            Repeats::Keyed => "idempotency_key",
            Repeats::Unsafe => "non_idempotent",
        };
        serde_json::json!({"Name": of.name, "AimMs": c.aim_ms, "Effect": effect, "KeyScope": "all", "WindowMs": c.window_ms})
    };
    let plan = |(of, p): (&PlanOf, &fawnhill::Plan)| {
        serde_json::json!({"Name": of.name, "Rate": p.rate, "StoreSize": p.burst, "HardRate": p.ceiling_rate,
            "NeverOverDepth": p.ceiling_burst, "CeilingSlack": p.ceiling_slack})
    };
    let zones: Vec<String> = (0..scenario.buildings).map(|b| format!("b{b}")).collect();
    serde_json::json!({
        "name": format!("limiter-{position}"), "listen": SocketAddr::from((loopback_address(11, position as usize), 0)), "discovery": at.discovery,
        "seed": format!("{:x}", seed.wrapping_add(u64::from(position))),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": at.datagrams, "peers": at.peers, "peers_all": at.broadcast,
        "settings": {
            "Balancers": s.limiters, "Position": position, "Zone": zones[s.zone as usize], "Dcs": zones,
            "RoundMs": s.round_ms, "Discovery": "automatic",
            "Classes": scenario.classes.iter().zip(&s.classes).map(class).collect::<Vec<_>>(),
            "TiersOfService": scenario.plans.iter().zip(&s.plans).map(plan).collect::<Vec<_>>(),
            "Bounds": {"MostTries": s.max_attempts, "DialTimeoutMs": s.connect_timeout_ms, "Cancelling": true,
                       "MayTell": s.may_tell, "RetryAfter": s.may_advise},
            "Obligations": {"StartCapacity": s.cold_share, "ColdMs": s.cold_ms, "FallMultiple": s.fall_multiple,
                            "TipAfterMs": s.fall_ms},
            "Domain": {"MailPerS": s.messages_per_s}
        }
    })
}
