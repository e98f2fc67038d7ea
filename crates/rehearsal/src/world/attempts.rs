//! Connections to servers, attempts and their outcomes.

use super::*;

impl World {
    /// Whether packets between a limiter and a server arrive.
    pub(super) fn is_reachable(&self, limiter: usize, server: usize) -> bool {
        !self.servers[server].silent
            && self.network.reachable(self.limiters[limiter].zone, self.servers[server].zone)
    }

    /// Sends an attempt from a limiter, or from a proxy next to it, and returns its key. Returns `None` if the server
    /// or the try is unknown.
    pub(super) fn send_attempt(
        &mut self,
        limiter: usize,
        try_id: u64,
        id: Option<RequestId>,
        attempt: u32,
        server_id: &ServerId,
    ) -> Option<u64> {
        let server = self.by_id.get(server_id).copied()?;
        let sent = self.tries.get(&try_id)?;
        let (job, customer, class, work) = (sent.job, sent.customer, sent.class, sent.work);
        if let Some(inside) = self.oracle.attempt_sent(self.now, try_id, server) {
            self.recorder.try_sent_on(self.clients.customers()[customer].plan, class, inside);
            *self.inside_quota.entry(job).or_insert(false) |= inside;
        }
        self.recorder.attempts += 1;
        let crosses = self.limiters[limiter].zone != self.servers[server].zone;
        self.recorder.cross_zone_attempts += u64::from(crosses);
        let net = &self.scenario.net;
        let range = match crosses {
            true if self
                .network
                .in_different_regions(self.limiters[limiter].zone, self.servers[server].zone) =>
            {
                net.far_ms
            }
            true => net.cross_ms,
            false => net.same_ms,
        };
        let latency = draws::between(&mut self.rng, range);
        let idle_ms = self.scenario.nodes.idle_s * 1000.0;
        let idle = &mut self.limiters[limiter].idle_since[server];
        let stale = idle.iter().take_while(|since| self.now - **since >= idle_ms).count();
        idle.drain(..stale);
        let reused = idle.pop().is_some();
        if stale > 0 {
            self.servers[server].model.disconnect(self.now, stale);
        }
        if let Some(id) = id.filter(|_| attempt == 0) {
            self.account.first_attempt_sent(self.now, limiter, id, (!reused).then_some(2.0 * latency));
        }
        self.next_attempt += 1;
        let key = self.next_attempt;
        let epoch = self.limiters[limiter].epoch;
        let (new_connection, sent_at) = (!reused, self.now);
        self.attempts.insert(
            key,
            Attempt {
                limiter,
                epoch,
                id,
                attempt,
                try_id,
                server,
                latency,
                sent_at,
                new_connection,
                connected: reused,
                ended: false,
                at_server: false,
                work_at_disconnect: None,
                repeat: false,
                job,
                class,
                work,
            },
        );
        let arrival = self.now + latency;
        if reused {
            self.schedule(arrival, Event::RequestArrives { key });
        } else {
            self.recorder.connections += 1;
            self.schedule(arrival, Event::ConnectArrives { key });
            self.schedule(
                self.now + self.scenario.limiters.connect_timeout_ms,
                Event::ConnectTimeout { key },
            );
        }
        Some(key)
    }

    /// A connection request has arrived at its server.
    pub(super) fn connect(&mut self, key: u64) {
        let Some(a) = self.attempts.get(&key) else { return };
        let (limiter, server, latency) = (a.limiter, a.server, a.latency);
        if a.ended {
            self.attempts.remove(&key);
            return;
        }
        // Packets are lost; the limiter's connect timeout ends the attempt.
        if !self.is_reachable(limiter, server) {
            return;
        }
        if !self.servers[server].model.connect(self.now) {
            return self
                .schedule(self.now + latency, Event::AttemptEnded { key, outcome: Outcome::NoConnection });
        }
        if let Some(a) = self.attempts.get_mut(&key) {
            a.connected = true;
        }
        self.schedule(self.now + 2.0 * latency, Event::RequestArrives { key });
    }

    /// The request of an attempt has arrived at its server completely.
    pub(super) fn request_arrives(&mut self, key: u64) {
        let Some(a) = self.attempts.get(&key) else { return };
        let (limiter, server, latency, new_connection) = (a.limiter, a.server, a.latency, a.new_connection);
        let (job, class, work) = (a.job, a.class, a.work);
        if !self.is_reachable(limiter, server) {
            return;
        }
        let sender_notified = {
            let m = &self.servers[server];
            let started = m.model.started();
            self.limiters[limiter].known_servers[server].started >= started && started > 0.0
        };
        self.judge_arrival(server, limiter, sender_notified, work);
        let repeat =
            self.servers[server].model.running() && self.oracle.attempt_arrived(self.now, job, class);
        let work = if repeat { REPEAT_WORK_MS } else { work };
        let taken =
            self.servers[server].model.arrive(self.now, Job { key, work, sender_notified }, new_connection);
        match taken {
            Ok(()) => {
                if let Some(a) = self.attempts.get_mut(&key) {
                    (a.at_server, a.repeat) = (true, repeat);
                }
                self.schedule_server(server);
            }
            Err(rejection) => {
                if rejection != Rejection::Down {
                    self.oracle.attempt_left_server(self.now, job, repeat, false);
                }
                let outcome = if rejection == Rejection::Full { Outcome::Full } else { Outcome::Severed };
                self.schedule(self.now + latency, Event::AttemptEnded { key, outcome });
                if rejection == Rejection::Overloaded {
                    self.fail_overloaded(server);
                }
            }
        }
    }

    /// Reports a request that reached a running server to the judge of slow starts.
    fn judge_arrival(&mut self, server: usize, limiter: usize, sender_notified: bool, work: Millis) {
        if !self.servers[server].model.running() {
            return;
        }
        let requests = work / self.scenario.mean(|class| class.work_ms);
        if let Some(judge) = &mut self.slow_start {
            judge.request_arrived(self.now, server, limiter, sender_notified, requests);
        }
    }

    /// A limiter stops one of its attempts.
    pub(super) fn stop_attempt(&mut self, limiter: usize, id: RequestId, attempt: u32, reason: Outcome) {
        let Some(key) = self.limiters[limiter].attempts.get(&(id, attempt)).copied() else { return };
        let Some(a) = self.attempts.get(&key).filter(|a| !a.ended) else { return };
        let outcome = if a.connected { reason } else { Outcome::NoConnection };
        // The limiter receives the outcome after the other outputs of the same call, as with a real socket.
        self.abandon_attempt(key);
        self.schedule(self.now, Event::AttemptStopped { key, outcome });
    }

    /// Delivers the end of an attempt to its limiter.
    pub(super) fn end_attempt(&mut self, key: u64, outcome: Outcome) {
        let Some(a) = self.attempts.get(&key) else { return };
        let (limiter, server, ended, connected) = (a.limiter, a.server, a.ended, a.connected);
        if ended {
            self.attempts.remove(&key);
            return;
        }
        let reusable = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        let l = &mut self.limiters[limiter];
        if reusable
            && l.idle_since[server].len() < MAX_IDLE_CONNECTIONS
            && self.servers[server].model.running()
        {
            l.idle_since[server].push(self.now);
        } else if connected {
            self.servers[server].model.disconnect(self.now, 1);
            self.schedule_server(server);
        }
        if outcome == Outcome::Ok {
            let a = &self.attempts[&key];
            // Work for an answer that no client waits for any more is wasted.
            let l = &self.limiters[limiter];
            let wanted =
                a.id.map_or(l.proxied_tries.contains(&a.try_id), |id| l.try_by_request.contains_key(&id));
            let useful = if a.repeat { REPEAT_WORK_MS } else { a.work };
            self.recorder.useful_work_ms += if wanted { useful } else { 0.0 };
        }
        self.report_attempt_end(key, outcome);
        self.attempts.remove(&key);
    }

    /// Reports the outcome of an attempt to its limiter, unless that has restarted since.
    pub(super) fn report_attempt_end(&mut self, key: u64, outcome: Outcome) {
        let Some(a) = self.attempts.get_mut(&key) else { return };
        a.ended = true;
        let (limiter, epoch, id, attempt, try_id, sent) =
            (a.limiter, a.epoch, a.id, a.attempt, a.try_id, a.sent_at);
        if self.limiters[limiter].epoch != epoch {
            return;
        }
        self.oracle.attempt_ended(try_id, sent, outcome);
        match id {
            Some(id) => {
                self.limiters[limiter].attempts.remove(&(id, attempt));
                self.handle_input(limiter, Input::attempt_ended(id, attempt, outcome));
            }
            None => {
                self.limiters[limiter].proxied_attempts.remove(&try_id);
                self.handle_external(limiter, external::Input::Responded { stream: try_id, outcome });
            }
        }
    }

    /// The server of an attempt notices that the connection was closed.
    pub(super) fn cancel_arrives(&mut self, server: usize, key: u64) {
        let Some(a) = self.attempts.get(&key) else { return };
        if !a.at_server || !self.is_reachable(a.limiter, server) {
            if !a.at_server {
                self.attempts.remove(&key);
            }
            return;
        }
        let (job, repeat, work_at_disconnect) = (a.job, a.repeat, a.work_at_disconnect);
        let left = self.servers[server].model.remaining_work(self.now, key);
        let cancellation = self.servers[server].model.cancel(self.now, key);
        if matches!(cancellation, Cancellation::Waiting | Cancellation::Stopped) {
            self.recorder.abandoned_work_ms += work_at_disconnect.map_or(0.0, |with| with - left);
        }
        if matches!(cancellation, Cancellation::Waiting | Cancellation::Stopped | Cancellation::Unknown) {
            if cancellation != Cancellation::Unknown {
                self.oracle.attempt_left_server(self.now, job, repeat, false);
            }
            self.attempts.remove(&key);
        }
        self.schedule_server(server);
    }

    /// Closes all idle connections of a limiter to a server.
    pub(super) fn close_idle_connections(&mut self, limiter: usize, server: usize) {
        let connections = std::mem::take(&mut self.limiters[limiter].idle_since[server]).len();
        self.servers[server].model.disconnect(self.now, connections);
    }
}
