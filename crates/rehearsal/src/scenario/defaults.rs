//! Default values of all keys: the reference deployment.

use super::*;

impl Default for Net {
    fn default() -> Net {
        Net {
            same_ms: [0.1, 0.3],
            cross_ms: [0.42, 0.78],
            far_ms: [20.0, 40.0],
            mail_ms: [1.0, 13.0],
            mail_loss: 0.03,
            roster_s: [0.3, 2.0],
        }
    }
}

impl Default for Limiters {
    fn default() -> Limiters {
        Limiters {
            count: 3,
            firms: 100_000,
            messages_per_s: 60.0,
            max_attempts: 3,
            connect_timeout_ms: 250.0,
            close_s: 0.4,
            kill_s: 3.7,
            advise: true,
            prefetch: 0,
        }
    }
}

impl Default for Nodes {
    fn default() -> Nodes {
        Nodes {
            count: 10,
            cores: 4.0,
            slots: 8,
            queue: 24,
            speed: [0.9, 1.1],
            law: Law::Lognormal,
            cold_share: 0.17,
            cold_s: 14.0,
            fall_multiple: 4.0,
            fall_s: 2.0,
            thrash: 0.3,
            connections: 2000,
            table_tax: 0.05,
            handshake_ms: 1.0,
            idle_s: 30.0,
            cancel_stops: true,
        }
    }
}

impl Default for ClientsOf {
    fn default() -> ClientsOf {
        ClientsOf {
            load: 0.5,
            full: 0.2,
            greedy: 0.1,
            greedy_times: 4.2,
            flash: 0.18,
            flash_times: 7.0,
            flash_s: [0.7, 3.0],
            spread: [2, 4],
            shift_s: [6.5, 24.0],
            retries: 1,
            backoff_ms: [50.0, 400.0],
            obey: 0.7,
            patience: [0.5, 1.0],
            proxied: 0.0,
            leave: 0.005,
        }
    }
}

impl Default for Scenario {
    fn default() -> Scenario {
        let class = |name: &str, share, work_ms, aim_s, give_up_s, worth, units, repeats, window_s| ClassOf {
            name: name.into(),
            share,
            work_ms,
            aim_s,
            give_up_s,
            worth,
            units,
            repeats,
            window_s,
        };
        let plan = |name: &str, share, rate, burst_s, price, over_cost, ceiling| PlanOf {
            name: name.into(),
            share,
            rate,
            burst_s,
            price,
            over_cost,
            ceiling,
        };
        Scenario {
            name: "quiet day".into(),
            about: String::new(),
            seconds: 60.0,
            buildings: 3,
            regions: 1,
            net: Net::default(),
            limiters: Limiters::default(),
            nodes: Nodes::default(),
            classes: vec![
                class("slot-check", 0.62, 150.0, 1.0, 4.0, 1.0, 1.0, Repeats::Safe, 0.0),
                class("pickup-book", 0.38, 325.0, 2.5, 8.0, 3.0, 2.0, Repeats::Keyed, 8.0),
            ],
            plans: vec![
                plan("small-yard", 0.42, 1.3, 4.5, 0.72, 1.0, 0.0),
                plan("mill", 0.22, 4.2, 4.4, 1.2, 1.2, 0.0),
                plan("fleet", 0.36, 17.0, 2.0, 1.8, 0.6, 2.2),
            ],
            clients: ClientsOf::default(),
            timeline: Vec::new(),
        }
    }
}
