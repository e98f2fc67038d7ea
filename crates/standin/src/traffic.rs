//! Recorded traffic: the same requests, at the same moments, for any front.

use std::fmt::Write;

use bytes::Bytes;

/// A member firm that asks.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its number; below 2^33.
    pub id: u64,
    /// Name of its plan.
    pub plan: String,
    /// Units a second that it asks for, on average.
    pub units_per_s: f64,
    /// How many limiters get its requests...
    pub spread: u32,
    /// ...counted round from this one.
    pub first: u32,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Its name, the first part of the path.
    pub class: String,
    /// It carries a key and a body, and is sent with `POST`.
    pub keyed: bool,
    /// Share of the requests.
    pub share: f64,
    /// Units that each takes.
    pub units: f64,
    /// Seconds until the client gives up.
    pub budget_s: f64,
}

/// One recorded request.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// When it is sent, in milliseconds from the start.
    pub at_ms: f64,
    /// Number of the limiter that gets it.
    pub limiter: usize,
    /// `X-Correlation-Id`.
    pub name: String,
    /// Whose it is.
    pub customer: Customer,
    /// What it is.
    pub kind: Kind,
}

impl Call {
    /// Method and path.
    pub fn method_and_path(&self) -> (&'static str, String) {
        let method = if self.kind.keyed { "POST" } else { "GET" };
        (method, format!("/{}/{:016x}", self.kind.class, self.customer.id))
    }

    /// Its headers, without those of framing.
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let mut weight = String::new();
        let _ = write!(
            weight,
            "units={},spread={},first={}",
            self.kind.units, self.customer.spread, self.customer.first
        );
        let mut headers = vec![
            ("x-correlation-id", self.name.clone()),
            ("x-tariff", self.customer.plan.clone()),
            ("x-time-left", format!("{:.3}", self.kind.budget_s)),
            ("x-weight", weight),
        ];
        if self.kind.keyed {
            headers.push(("idempotency-key", format!("key-{}", self.name)));
        }
        headers
    }

    /// The body.
    pub fn body(&self) -> Bytes {
        Bytes::from_static(if self.kind.keyed { b"lot=7&truck=3" } else { b"" })
    }

    /// The whole request, as a client sends it.
    ///
    /// # Panics
    /// When a name in it is no header value.
    pub fn request(&self) -> hyper::Request<Bytes> {
        let (method, path) = self.method_and_path();
        let mut request =
            hyper::Request::builder().method(method).uri(path).header("host", "service.internal");
        for (name, value) in self.headers() {
            request = request.header(name, value);
        }
        request.body(self.body()).expect("names that a header can hold")
    }
}

/// Draws `seconds` of traffic. The same arguments give the same requests: arrivals of each firm are Poisson, its
/// requests are dealt out evenly among its limiters, and names hold the seed.
pub fn generate(seed: u64, customers: &[Customer], kinds: &[Kind], limiters: u32, seconds: f64) -> Vec<Call> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let shares: f64 = kinds.iter().map(|k| k.share).sum();
    let mean_units = kinds.iter().map(|k| k.share / shares * k.units).sum::<f64>();
    let mut calls = Vec::new();
    for firm in customers {
        let per_ms = firm.units_per_s / mean_units / 1000.0;
        let mut at_ms = 0.0;
        for turn in 0.. {
            at_ms += -(1.0 - rng.f64()).ln() / per_ms;
            if at_ms >= seconds * 1000.0 {
                break;
            }
            let mut pick = rng.f64() * shares;
            let kind = kinds.iter().find(|k| {
                pick -= k.share;
                pick < 0.0
            });
            let kind = kind.unwrap_or(&kinds[kinds.len() - 1]).clone();
            let limiter = ((firm.first + turn % firm.spread) % limiters) as usize;
            let name = format!("{seed:x}-{:x}-{turn}", firm.id);
            calls.push(Call { at_ms, limiter, name, customer: firm.clone(), kind });
        }
    }
    calls.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    calls
}

/// Firms inside, near and beyond the quotas of three plans (1.5, 4 and 16 units a second) over three limiters, and the
/// kinds of requests that they make. The last firm asks for `greedy` units a second on the plan `fleet`.
pub fn sample_traffic(greedy: f64) -> (Vec<Customer>, [Kind; 2]) {
    let firm = |id, plan: &str, units_per_s, spread, first| Customer {
        id,
        plan: plan.into(),
        units_per_s,
        spread,
        first,
    };
    let mut firms = Vec::new();
    for n in 0..8 {
        let (which, first) = (n as usize % 4, n as u32 % 3);
        firms.push(firm(100 + n, "small-yard", [0.5, 1.4, 4.0, 1.0][which], 2, first));
        firms.push(firm(200 + n, "mill", [1.5, 3.8, 12.0, 3.0][which], 3, first));
    }
    firms.push(firm(300, "fleet", 12.0, 3, 0));
    firms.push(firm(301, "fleet", greedy, 3, 1));
    let kind = |class: &str, keyed, share, units, budget_s| Kind {
        class: class.into(),
        keyed,
        share,
        units,
        budget_s,
    };
    (firms, [kind("slot-check", false, 0.62, 1.0, 4.0), kind("pickup-book", true, 0.38, 2.0, 8.0)])
}

#[cfg(test)]
mod tests {
    use super::*;

    fn drawn(seed: u64) -> Vec<Call> {
        let firm = Customer { id: 9, plan: "mill".into(), units_per_s: 40.0, spread: 2, first: 2 };
        let kind =
            |class: &str, keyed, units| Kind { class: class.into(), keyed, share: 0.5, units, budget_s: 2.0 };
        generate(seed, &[firm], &[kind("look", false, 1.0), kind("book", true, 3.0)], 3, 20.0)
    }

    #[test]
    fn the_same_seed_gives_the_same_traffic_at_the_asked_rate() {
        let calls = drawn(5);
        assert_eq!(calls, drawn(5));
        assert_ne!(calls, drawn(6));
        let units: f64 = calls.iter().map(|c| c.kind.units).sum();
        assert!((units / 20.0 - 40.0).abs() < 8.0, "{units}");
        assert!(calls.iter().all(|c| c.limiter == 2 || c.limiter == 0), "two in a row, counted round");
    }

    #[test]
    fn a_keyed_request_carries_its_key() {
        let call = drawn(5).into_iter().find(|c| c.kind.keyed).expect("some");
        let request = call.request();
        assert_eq!(request.method(), "POST");
        assert_eq!(request.headers()["idempotency-key"], format!("key-{}", call.name).as_str());
    }
}
