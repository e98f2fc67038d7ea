//! How clients' tries reach limiters, and what clients hear of them.

use super::*;

impl World {
    pub(super) fn hear(&mut self, mut said: Vec<ClientAction>) {
        for say in said.drain(..) {
            match say {
                ClientAction::Send(sent) => self.client_sends(sent),
                ClientAction::Disconnect(try_id) => {
                    let Some(sent) = self.tries.get(&try_id) else { continue };
                    let limiter = sent.limiter;
                    let l = &self.limiters[limiter];
                    let held = l.ids.contains_key(&try_id) || l.presented.contains(&try_id);
                    let excused = l.excused(self.now) || !held;
                    self.notes_departure(limiter, try_id);
                    self.oracle.client_disconnected(self.now, try_id, excused);
                    let at = self.now + draws::between(&mut self.rng, CLIENT_MS);
                    self.note(at, Event::Left { limiter, try_id });
                }
                ClientAction::Finished { last, outcome } => {
                    let plan = self.clients.customers()[last.customer].plan;
                    let inside = self.inside.remove(&last.job).unwrap_or(false);
                    self.recorder.finished(self.now, plan, &last, outcome, inside);
                }
            }
        }
        self.said = said;
        let next = self.clients.next_due();
        let at = next.map(nanos);
        if at != self.clients_at {
            if let Some(next) = next {
                self.clients_at = at;
                self.note(next, Event::Clients { at: nanos(next) });
            }
        }
    }

    /// What is still to be done for a client that leaves, will have been done for nobody.
    fn notes_departure(&mut self, limiter: usize, try_id: u64) {
        let l = &self.limiters[limiter];
        let direct = l.ids.get(&try_id).and_then(|id| l.attempts.iter().find(|((of, _), _)| of == id));
        let Some(key) = direct.map(|(_, key)| *key).or(l.carried.get(&try_id).copied()) else { return };
        let Some(a) = self.attempts.get_mut(&key) else { return };
        let node = &mut self.machines[a.node].node;
        a.left_with = Some(if a.at_node { node.remaining_work(self.now, key) } else { a.work });
    }

    pub(super) fn client_sends(&mut self, sent: Try) {
        let customer = &self.clients.customers()[sent.customer];
        let (plan, class) = (customer.plan, &self.scenario.classes[sent.class]);
        if sent.turn == 0 {
            let (rate, most) = self.scenario.quota(plan);
            while self.asked.len() <= sent.customer {
                let customer = self.asked.len();
                self.asked.push(TokenBucket::full(self.now, f64::INFINITY));
                self.oracle.add_customer(self.now, self.clients.customers()[customer].plan);
            }
            // What strangers ask for is a flood, not service that anybody was promised.
            let usual = sent.customer < self.usual;
            let inside = usual && self.asked[sent.customer].take(self.now, rate, most, class.units);
            self.recorder.request_made(self.now, plan, sent.class, inside);
        }
        let at = self.now + draws::between(&mut self.rng, CLIENT_MS);
        let Try { id, job, customer, class, limiter, work, .. } = sent;
        self.tries.insert(id, Sent { job, customer, class, limiter, work });
        self.note(at, Event::TryArrives(Box::new(sent)));
    }

    pub(super) fn try_arrives(&mut self, sent: Try) {
        if !self.limiters[sent.limiter].listening {
            let at = self.now + draws::between(&mut self.rng, CLIENT_MS);
            self.tries.remove(&sent.id);
            return self.note(at, Event::Answered { try_id: sent.id, got: TryResult::NoAnswer });
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
            self.limiters[sent.limiter].presented.insert(sent.id);
            return self.give(sent.limiter, external::Input::Presented { stream: sent.id, presentation });
        }
        let limiter = &mut self.limiters[sent.limiter];
        let Some(engine) = limiter.engine.as_mut() else { return };
        let mut outputs = std::mem::take(&mut self.outputs);
        let began = self.decision_time.map(|_| std::time::Instant::now());
        let id = engine.handle(self.now, Input::Request { correlation_id, request }, &mut outputs);
        self.took(began);
        let limiter = &mut self.limiters[sent.limiter];
        if let Some(id) = id {
            limiter.open.insert(id, sent.id);
            limiter.ids.insert(sent.id, id);
            self.account.request_received(self.now, sent.limiter, id);
        }
        self.perform(sent.limiter, outputs);
    }

    pub(super) fn left(&mut self, limiter: usize, try_id: u64) {
        self.tries.remove(&try_id);
        self.oracle.disconnect_received(try_id);
        if let Some(id) = self.limiters[limiter].ids.remove(&try_id) {
            self.limiters[limiter].open.remove(&id);
            self.account.request_finished(self.now, limiter, id, false);
            self.tell(limiter, Input::ClientDisconnected { id });
        }
        if self.limiters[limiter].presented.remove(&try_id) {
            self.drop_carried(limiter, try_id);
            self.give(limiter, external::Input::Closed { stream: try_id });
        }
    }
}
