//! The way to a node: connections, attempts and their ends.

use super::*;

impl World {
    pub(super) fn reaches_node(&self, limiter: usize, node: usize) -> bool {
        !self.machines[node].silent
            && self.post.reachable(self.limiters[limiter].zone, self.machines[node].zone)
    }

    /// An attempt goes out, from a limiter or from a proxy beside it; its key, if it does.
    pub(super) fn sends(
        &mut self,
        limiter: usize,
        try_id: u64,
        id: Option<RequestId>,
        attempt: u32,
        server: &ServerId,
    ) -> Option<u64> {
        let node = self.by_id.get(server).copied()?;
        let sent = self.tries.get(&try_id)?;
        let (job, customer, class, work) = (sent.job, sent.customer, sent.class, sent.work);
        if let Some(inside) = self.oracle.attempt_sent(self.now, try_id, node) {
            self.recorder.try_sent_on(self.clients.customers()[customer].plan, class, inside);
            *self.inside.entry(job).or_insert(false) |= inside;
        }
        self.recorder.attempts += 1;
        let crosses = self.limiters[limiter].zone != self.machines[node].zone;
        self.recorder.cross_zone_attempts += u64::from(crosses);
        let net = &self.scenario.net;
        let span = match crosses {
            true if self.post.in_different_regions(self.limiters[limiter].zone, self.machines[node].zone) => {
                net.far_ms
            }
            true => net.cross_ms,
            false => net.same_ms,
        };
        let way = draws::between(&mut self.rng, span);
        let idle_ms = self.scenario.nodes.idle_s * 1000.0;
        let idle = &mut self.limiters[limiter].idle[node];
        let stale = idle.iter().take_while(|since| self.now - **since >= idle_ms).count();
        idle.drain(..stale);
        let kept = idle.pop().is_some();
        if stale > 0 {
            self.machines[node].node.disconnect(self.now, stale);
        }
        if let Some(id) = id.filter(|_| attempt == 0) {
            self.account.first_attempt_sent(self.now, limiter, id, (!kept).then_some(2.0 * way));
        }
        self.next_attempt += 1;
        let key = self.next_attempt;
        let epoch = self.limiters[limiter].epoch;
        let (fresh, sent) = (!kept, self.now);
        self.attempts.insert(
            key,
            Attempt {
                limiter,
                epoch,
                id,
                attempt,
                try_id,
                node,
                way,
                sent,
                fresh,
                connected: kept,
                over: false,
                at_node: false,
                left_with: None,
                repeat: false,
                job,
                class,
                work,
            },
        );
        let there = self.now + way;
        if kept {
            self.note(there, Event::Reaches { key });
        } else {
            self.recorder.connections += 1;
            self.note(there, Event::Connects { key });
            self.note(self.now + self.scenario.limiters.connect_timeout_ms, Event::ConnectTimeout { key });
        }
        Some(key)
    }

    pub(super) fn connects(&mut self, key: u64) {
        let Some(a) = self.attempts.get(&key) else { return };
        let (limiter, node, way) = (a.limiter, a.node, a.way);
        if a.over {
            self.attempts.remove(&key);
            return;
        }
        // Silence: the limiter's own time-out ends it.
        if !self.reaches_node(limiter, node) {
            return;
        }
        if !self.machines[node].node.connect(self.now) {
            return self.note(self.now + way, Event::Ended { key, outcome: Outcome::NoConnection });
        }
        if let Some(a) = self.attempts.get_mut(&key) {
            a.connected = true;
        }
        self.note(self.now + 2.0 * way, Event::Reaches { key });
    }

    pub(super) fn reaches(&mut self, key: u64) {
        let Some(a) = self.attempts.get(&key) else { return };
        let (limiter, node, way, fresh) = (a.limiter, a.node, a.way, a.fresh);
        let (job, class, work) = (a.job, a.class, a.work);
        if !self.reaches_node(limiter, node) {
            return;
        }
        let sender_notified = {
            let m = &self.machines[node];
            let started = m.node.started();
            self.limiters[limiter].view[node].started >= started && started > 0.0
        };
        let repeat = self.machines[node].node.running() && self.oracle.attempt_arrived(self.now, job, class);
        let work = if repeat { REPEAT_MS } else { work };
        let taken = self.machines[node].node.arrive(self.now, Job { key, work, sender_notified }, fresh);
        match taken {
            Ok(()) => {
                if let Some(a) = self.attempts.get_mut(&key) {
                    (a.at_node, a.repeat) = (true, repeat);
                }
                self.rearm(node);
            }
            Err(turned) => {
                if turned != Rejection::Down {
                    self.oracle.attempt_left_server(self.now, job, repeat, false);
                }
                let outcome = if turned == Rejection::Full { Outcome::Full } else { Outcome::Severed };
                self.note(self.now + way, Event::Ended { key, outcome });
                if turned == Rejection::Overloaded {
                    self.falls(node);
                }
            }
        }
    }

    pub(super) fn stops(&mut self, limiter: usize, id: RequestId, attempt: u32, how: Outcome) {
        let Some(key) = self.limiters[limiter].attempts.get(&(id, attempt)).copied() else { return };
        let Some(a) = self.attempts.get(&key).filter(|a| !a.over) else { return };
        let outcome = if a.connected { how } else { Outcome::NoConnection };
        // Heard after what else was asked for in the same call, as a socket's end would be.
        self.abandon(key);
        self.note(self.now, Event::Stopped { key, outcome });
    }

    /// The end of an attempt reaches its limiter.
    pub(super) fn ended(&mut self, key: u64, outcome: Outcome) {
        let Some(a) = self.attempts.get(&key) else { return };
        let (limiter, node, over, connected) = (a.limiter, a.node, a.over, a.connected);
        if over {
            self.attempts.remove(&key);
            return;
        }
        let keeps = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        let l = &mut self.limiters[limiter];
        if keeps && l.idle[node].len() < MOST_IDLE && self.machines[node].node.running() {
            l.idle[node].push(self.now);
        } else if connected {
            self.machines[node].node.disconnect(self.now, 1);
            self.rearm(node);
        }
        if outcome == Outcome::Ok {
            let a = &self.attempts[&key];
            // An answer that nobody waits for any more is work in vain.
            let l = &self.limiters[limiter];
            let wanted = a.id.map_or(l.presented.contains(&a.try_id), |id| l.open.contains_key(&id));
            let useful = if a.repeat { REPEAT_MS } else { a.work };
            self.recorder.useful_work_ms += if wanted { useful } else { 0.0 };
        }
        self.hear_end(key, outcome);
        self.attempts.remove(&key);
    }

    pub(super) fn hear_end(&mut self, key: u64, outcome: Outcome) {
        let Some(a) = self.attempts.get_mut(&key) else { return };
        a.over = true;
        let (limiter, epoch, id, attempt, try_id, sent) =
            (a.limiter, a.epoch, a.id, a.attempt, a.try_id, a.sent);
        if self.limiters[limiter].epoch != epoch {
            return;
        }
        self.oracle.attempt_ended(try_id, sent, outcome);
        match id {
            Some(id) => {
                self.limiters[limiter].attempts.remove(&(id, attempt));
                self.tell(limiter, Input::attempt_ended(id, attempt, outcome));
            }
            None => {
                self.limiters[limiter].carried.remove(&try_id);
                self.give(limiter, external::Input::Responded { stream: try_id, outcome });
            }
        }
    }

    pub(super) fn called_off(&mut self, node: usize, key: u64) {
        let Some(a) = self.attempts.get(&key) else { return };
        if !a.at_node || !self.reaches_node(a.limiter, node) {
            if !a.at_node {
                self.attempts.remove(&key);
            }
            return;
        }
        let (job, repeat, left_with) = (a.job, a.repeat, a.left_with);
        let left = self.machines[node].node.remaining_work(self.now, key);
        let how = self.machines[node].node.cancel(self.now, key);
        if matches!(how, Cancellation::Waiting | Cancellation::Stopped) {
            self.recorder.abandoned_work_ms += left_with.map_or(0.0, |with| with - left);
        }
        if matches!(how, Cancellation::Waiting | Cancellation::Stopped | Cancellation::Unknown) {
            if how != Cancellation::Unknown {
                self.oracle.attempt_left_server(self.now, job, repeat, false);
            }
            self.attempts.remove(&key);
        }
        self.rearm(node);
    }

    pub(super) fn close_idle(&mut self, limiter: usize, node: usize) {
        let connections = std::mem::take(&mut self.limiters[limiter].idle[node]).len();
        self.machines[node].node.disconnect(self.now, connections);
    }
}
