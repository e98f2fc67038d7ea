//! Generated traffic for repeatable runs: the same requests at the same times, whichever interface of the limiters is
//! used.

use std::fmt::Write;

use bytes::Bytes;

/// A customer that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// ID of the customer; below 2^33.
    pub id: u64,
    /// Name of the customer's plan.
    pub plan: String,
    /// Average demand, in units per second.
    pub units_per_s: f64,
    /// Number of limiters that receive its requests, in a round.
    pub spread: u32,
    /// Index of the first of these limiters; the others follow it, with wrap-around.
    pub first: u32,
}

/// A kind of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Name of the class, the first part of the path.
    pub class: String,
    /// Whether requests carry an idempotency key and a body and are sent with `POST`.
    pub keyed: bool,
    /// Share of all requests.
    pub share: f64,
    /// Quota units per request.
    pub units: f64,
    /// Time until the client gives up, in seconds.
    pub budget_s: f64,
}

/// One request of the traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Time of sending, in milliseconds from the start.
    pub at_ms: f64,
    /// Index of the limiter that receives it.
    pub limiter: usize,
    /// `X-Correlation-Id`.
    pub name: String,
    /// The customer that sends it.
    pub customer: Customer,
    /// The kind of request.
    pub kind: Kind,
}

impl Call {
    /// The method and the path.
    pub fn method_and_path(&self) -> (&'static str, String) {
        let method = if self.kind.keyed { "POST" } else { "GET" };
        (method, format!("/{}/{:016x}", self.kind.class, self.customer.id))
    }

    /// The headers, except those for framing.
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

    /// The complete request, as a client sends it.
    ///
    /// # Panics
    /// If a name in it is not a valid header value.
    pub fn request(&self) -> hyper::Request<Bytes> {
        let (method, path) = self.method_and_path();
        let mut request =
            hyper::Request::builder().method(method).uri(path).header("host", "service.internal");
        for (name, value) in self.headers() {
            request = request.header(name, value);
        }
        request.body(self.body()).expect("names are valid header values")
    }
}

/// Generates `seconds` of traffic. The same arguments give the same requests. The requests of each customer are a
/// Poisson process and go to its limiters in turn. Request names contain the seed.
pub fn generate(seed: u64, customers: &[Customer], kinds: &[Kind], limiters: u32, seconds: f64) -> Vec<Call> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let shares: f64 = kinds.iter().map(|k| k.share).sum();
    let mean_units = kinds.iter().map(|k| k.share / shares * k.units).sum::<f64>();
    let mut calls = Vec::new();
    for customer in customers {
        let per_ms = customer.units_per_s / mean_units / 1000.0;
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
            let limiter = ((customer.first + turn % customer.spread) % limiters) as usize;
            let name = format!("{seed:x}-{:x}-{turn}", customer.id);
            calls.push(Call { at_ms, limiter, name, customer: customer.clone(), kind });
        }
    }
    calls.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    calls
}

/// Customers with a demand below, near and above the quotas of three plans (1.5, 4 and 16 units per second), for three
/// limiters, and the kinds of requests that they send. The last customer demands `greedy` units per second on the plan
/// `fleet`.
pub fn sample_traffic(greedy: f64) -> (Vec<Customer>, [Kind; 2]) {
    let customer = |id, plan: &str, units_per_s, spread, first| Customer {
        id,
        plan: plan.into(),
        units_per_s,
        spread,
        first,
    };
    let mut customers = Vec::new();
    for n in 0..8 {
        let (index, first) = (n as usize % 4, n as u32 % 3);
        customers.push(customer(100 + n, "small-yard", [0.5, 1.4, 4.0, 1.0][index], 2, first));
        customers.push(customer(200 + n, "mill", [1.5, 3.8, 12.0, 3.0][index], 3, first));
    }
    customers.push(customer(300, "fleet", 12.0, 3, 0));
    customers.push(customer(301, "fleet", greedy, 3, 1));
    let kind = |class: &str, keyed, share, units, budget_s| Kind {
        class: class.into(),
        keyed,
        share,
        units,
        budget_s,
    };
    (customers, [kind("slot-check", false, 0.62, 1.0, 4.0), kind("pickup-book", true, 0.38, 2.0, 8.0)])
}

#[cfg(test)]
mod tests {
    use super::*;

    fn generated(seed: u64) -> Vec<Call> {
        let customer = Customer { id: 9, plan: "mill".into(), units_per_s: 40.0, spread: 2, first: 2 };
        let kind =
            |class: &str, keyed, units| Kind { class: class.into(), keyed, share: 0.5, units, budget_s: 2.0 };
        generate(seed, &[customer], &[kind("look", false, 1.0), kind("book", true, 3.0)], 3, 20.0)
    }

    #[test]
    fn same_seed_gives_the_same_traffic_at_the_given_rate() {
        let calls = generated(5);
        assert_eq!(calls, generated(5));
        assert_ne!(calls, generated(6));
        let units: f64 = calls.iter().map(|c| c.kind.units).sum();
        assert!((units / 20.0 - 40.0).abs() < 8.0, "{units}");
        assert!(calls.iter().all(|c| c.limiter == 2 || c.limiter == 0), "two limiters, with wrap-around");
    }

    #[test]
    fn keyed_request_carries_its_key() {
        let call = generated(5).into_iter().find(|c| c.kind.keyed).expect("some");
        let request = call.request();
        assert_eq!(request.method(), "POST");
        assert_eq!(request.headers()["idempotency-key"], format!("key-{}", call.name).as_str());
    }
}
