//! Delivery of clients' tries to limiters, and of answers to clients.

use super::*;

impl World {
    /// Carries out the actions of clients and schedules the next call of [`Clients::due`].
    pub(super) fn apply_client_actions(&mut self, mut actions: Vec<ClientAction>) {
        for action in actions.drain(..) {
            match action {
                ClientAction::Send(sent) => self.send_try(sent),
                ClientAction::Disconnect(try_id) => {
                    let Some(sent) = self.tries.get(&try_id) else { continue };
                    let limiter = sent.limiter;
                    let l = &self.limiters[limiter];
                    let held = l.request_by_try.contains_key(&try_id) || l.proxied_tries.contains(&try_id);
                    let excused = l.excused(self.now) || !held;
                    self.record_remaining_work(limiter, try_id);
                    self.oracle.client_disconnected(self.now, try_id, excused);
                    let at = self.now + draws::between(&mut self.rng, CLIENT_LATENCY_MS);
                    self.schedule(at, Event::ClientDisconnected { limiter, try_id });
                }
                ClientAction::Finished { last, outcome } => {
                    let plan = self.clients.customers()[last.customer].plan;
                    let inside = self.inside_quota.remove(&last.job).unwrap_or(false);
                    self.recorder.finished(self.now, plan, &last, outcome, inside);
                }
            }
        }
        self.actions = actions;
        let next = self.clients.next_due();
        let at = next.map(nanos);
        if at != self.clients_due_at {
            if let Some(next) = next {
                self.clients_due_at = at;
                self.schedule(next, Event::ClientsDue { at: nanos(next) });
            }
        }
    }

    /// Records how much work remains for the try of a client that disconnects: what is done of it from now on is
    /// wasted.
    fn record_remaining_work(&mut self, limiter: usize, try_id: u64) {
        let l = &self.limiters[limiter];
        let own =
            l.request_by_try.get(&try_id).and_then(|id| l.attempts.iter().find(|((of, _), _)| of == id));
        let Some(key) = own.map(|(_, key)| *key).or(l.proxied_attempts.get(&try_id).copied()) else { return };
        let Some(a) = self.attempts.get_mut(&key) else { return };
        let model = &mut self.servers[a.server].model;
        a.work_at_disconnect = Some(if a.at_server { model.remaining_work(self.now, key) } else { a.work });
    }

    /// Sends a try of a client to its limiter.
    pub(super) fn send_try(&mut self, sent: Try) {
        let customer = &self.clients.customers()[sent.customer];
        let (plan, class) = (customer.plan, &self.scenario.classes[sent.class]);
        let (rate, burst) = self.scenario.quota(plan);
        let inside_quota = if sent.earlier_tries == 0 {
            while self.quota_buckets.len() <= sent.customer {
                let customer = self.quota_buckets.len();
                self.quota_buckets.push(TokenBucket::full(self.now, f64::INFINITY));
                self.oracle.add_customer(self.now, self.clients.customers()[customer].plan);
            }
            // Requests of strangers are outside the service that the quotas promise.
            let regular = sent.customer < self.regular_customers;
            let inside =
                regular && self.quota_buckets[sent.customer].take(self.now, rate, burst, class.units);
            self.recorder.request_made(self.now, plan, sent.class, inside);
            inside
        } else {
            self.quota_buckets[sent.customer].holds(self.now, rate, burst, class.units)
        };
        let at = self.now + draws::between(&mut self.rng, CLIENT_LATENCY_MS);
        let Try { id, job, customer, class, limiter, work, .. } = sent;
        self.tries.insert(id, SentTry { job, customer, class, limiter, work, inside_quota });
        self.schedule(at, Event::TryArrives(Box::new(sent)));
    }

    /// A limiter receives a try, directly or through a proxy.
    pub(super) fn receive_try(&mut self, sent: Try) {
        if !self.limiters[sent.limiter].listening {
            let at = self.now + draws::between(&mut self.rng, CLIENT_LATENCY_MS);
            self.tries.remove(&sent.id);
            return self.schedule(at, Event::AnswerArrives { try_id: sent.id, result: TryResult::NoAnswer });
        }
        let customer = &self.clients.customers()[sent.customer];
        let request = Request {
            id: 0,
            class: sent.class,
            plan: customer.plan,
            customer: customer.id,
            budget_ms: sent.budget_ms,
            units: self.scenario.classes[sent.class].units,
            spread: customer.spread,
            first: customer.first,
        };
        let proxied = customer.proxied;
        let correlation_id: marldeal_engine::CorrelationId = sent.id.to_be_bytes().as_slice().into();
        self.oracle.try_accepted(sent.id, sent.customer, sent.class, sent.limiter, self.now + sent.budget_ms);
        self.recorder.try_accepted(self.now, sent.limiter);
        if proxied {
            let keyed = self.scenario.classes[sent.class].repeats == Repeats::Keyed;
            let key = keyed.then(|| sent.job.to_be_bytes().as_slice().into());
            let presentation = Presentation { correlation_id, key, attempt: Some(1), request };
            self.limiters[sent.limiter].proxied_tries.insert(sent.id);
            return self
                .handle_external(sent.limiter, external::Input::Presented { stream: sent.id, presentation });
        }
        let limiter = &mut self.limiters[sent.limiter];
        let Some(engine) = limiter.engine.as_mut() else { return };
        let mut outputs = std::mem::take(&mut self.outputs);
        let began = self.decision_time.map(|_| std::time::Instant::now());
        let id = engine.handle(self.now, Input::Request { correlation_id, request }, &mut outputs);
        self.add_decision_time(began);
        let limiter = &mut self.limiters[sent.limiter];
        if let Some(id) = id {
            limiter.try_by_request.insert(id, sent.id);
            limiter.request_by_try.insert(sent.id, id);
            self.account.request_received(self.now, sent.limiter, id);
        }
        self.perform_outputs(sent.limiter, outputs);
    }

    /// A limiter receives the disconnect of a client.
    pub(super) fn receive_disconnect(&mut self, limiter: usize, try_id: u64) {
        self.tries.remove(&try_id);
        self.oracle.disconnect_received(try_id);
        if let Some(id) = self.limiters[limiter].request_by_try.remove(&try_id) {
            self.limiters[limiter].try_by_request.remove(&id);
            self.account.request_finished(self.now, limiter, id, false);
            self.handle_input(limiter, Input::ClientDisconnected { id });
        }
        if self.limiters[limiter].proxied_tries.remove(&try_id) {
            self.drop_proxied_attempt(limiter, try_id);
            self.handle_external(limiter, external::Input::Closed { stream: try_id });
        }
    }
}
