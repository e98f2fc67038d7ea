//! Servers that complete requests, exit, start and fail, and the server list that reports it.

use super::*;

impl World {
    /// Schedules the next completion of a server.
    pub(super) fn schedule_server(&mut self, server: usize) {
        let m = &mut self.servers[server];
        m.generation = m.generation.wrapping_add(1);
        if let Some(at) = m.model.next_due() {
            let generation = m.generation;
            self.schedule(at, Event::ServerDue { server, generation });
        }
    }

    /// Handles the requests that a server has completed.
    pub(super) fn server_due(&mut self, server: usize) {
        let mut completions = std::mem::take(&mut self.completions);
        self.servers[server].model.due(self.now, &mut completions);
        for d in completions.drain(..) {
            let Some(a) = self.attempts.get_mut(&d.key) else { continue };
            a.at_server = false;
            let (limiter, latency, job, repeat, ended) = (a.limiter, a.latency, a.job, a.repeat, a.ended);
            self.recorder.abandoned_work_ms += a.work_at_disconnect.unwrap_or(0.0);
            self.oracle.attempt_left_server(self.now, job, repeat, true);
            let m = &mut self.servers[server];
            let outcome = if draws::chance(&mut m.rng, m.errors) {
                Outcome::Error
            } else if draws::chance(&mut m.rng, m.resets) {
                Outcome::Severed
            } else {
                Outcome::Ok
            };
            if ended {
                self.attempts.remove(&d.key);
            } else if self.is_reachable(limiter, server) {
                self.schedule(self.now + latency, Event::AttemptEnded { key: d.key, outcome });
            }
        }
        self.completions = completions;
        self.schedule_server(server);
    }

    /// Ends a server's process, which resets its requests and connections.
    pub(super) fn exit_server(&mut self, server: usize) {
        if !self.servers[server].model.running() {
            return;
        }
        let lost = self.servers[server].model.exit(self.now);
        if let Some(judge) = &mut self.slow_start {
            judge.server_exited(server);
        }
        self.servers[server].generation += 1;
        let silent = self.servers[server].silent;
        for limiter in &mut self.limiters {
            limiter.idle_since[server].clear();
        }
        for key in lost {
            let Some(a) = self.attempts.get_mut(&key) else { continue };
            a.at_server = false;
            let (limiter, latency, job, repeat, ended) = (a.limiter, a.latency, a.job, a.repeat, a.ended);
            self.oracle.attempt_left_server(self.now, job, repeat, false);
            if ended {
                self.attempts.remove(&key);
            } else if !silent && self.is_reachable(limiter, server) {
                self.schedule(self.now + latency, Event::AttemptEnded { key, outcome: Outcome::Severed });
            }
        }
        self.publish_condition(server, Condition::Gone);
    }

    /// Starts a server that is down.
    pub(super) fn start_server(&mut self, server: usize) {
        if self.servers[server].model.running() {
            return;
        }
        self.servers[server].model.start(self.now);
        let capacity = self.servers[server].model.parameters().capacity();
        let capacity_per_s = capacity * 1000.0 / self.scenario.mean(|class| class.work_ms);
        if let Some(judge) = &mut self.slow_start {
            judge.server_started(self.now, server, capacity_per_s);
        }
        self.publish_condition(server, Condition::Serving);
    }

    /// Handles the failure of a cold server that was overloaded.
    pub(super) fn fail_overloaded(&mut self, server: usize) {
        let notified_share = self.servers[server].model.overload_failure().map_or(0.0, |f| f.notified_share);
        self.oracle.server_overloaded(self.now, server, notified_share);
        self.recorder.overload_failures += 1;
        // The server stays down until a fault ends that starts it again.
        self.exit_server(server);
    }

    /// Publishes the condition of a server to all limiters.
    pub(super) fn publish_condition(&mut self, server: usize, condition: Condition) {
        self.servers[server].condition = condition;
        let entries: Arc<[ServerEntry]> = [self.servers[server].entry()].into();
        for limiter in 0..self.limiters.len() {
            self.send_server_list(limiter, entries.clone());
        }
    }

    /// Sends changes of the server list to a limiter, or holds them while they cannot reach it.
    pub(super) fn send_server_list(&mut self, limiter: usize, entries: Arc<[ServerEntry]>) {
        if self.discovery_silence[limiter] > 0
            || !self.network.discovery_reports(self.limiters[limiter].zone, entries[0].zone)
        {
            return self.held_server_lists[limiter].push(entries);
        }
        let delay_ms = 1000.0 * draws::between(&mut self.rng, self.scenario.net.roster_s);
        let l = &mut self.limiters[limiter];
        // Changes arrive in the order in which they were sent.
        l.last_notice_at = l.last_notice_at.max(self.now + delay_ms);
        let at = l.last_notice_at;
        self.schedule(at, Event::ServerListArrives { limiter, entries });
    }

    /// A limiter receives changes of the server list.
    pub(super) fn receive_server_list(&mut self, limiter: usize, entries: Arc<[ServerEntry]>) {
        self.account.server_list_changed(self.now, limiter, entries.len());
        for entry in entries.iter() {
            let server = self.by_id[&entry.server];
            self.limiters[limiter].known_servers[server] = entry.clone();
            if self.limiters[limiter].engine.is_some() {
                self.oracle.server_notice(self.now, limiter, server, entry.condition == Condition::Serving);
            }
            if entry.condition != Condition::Serving {
                self.close_idle_connections(limiter, server);
            }
        }
        self.handle_input(limiter, Input::Servers { whole: false, entries });
    }

    /// Sends the changes that were held, as far as they can reach their limiters now.
    pub(super) fn send_held_server_lists(&mut self) {
        for limiter in 0..self.limiters.len() {
            for entries in std::mem::take(&mut self.held_server_lists[limiter]) {
                self.send_server_list(limiter, entries);
            }
        }
    }
}
