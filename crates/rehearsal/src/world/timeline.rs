//! Begins and ends the faults of the timeline.

use super::*;

impl World {
    /// Begins a fault of the timeline and schedules its end.
    pub(super) fn begin_fault(&mut self, fault: usize) {
        let t: Trouble = self.scenario.timeline[fault].clone();
        let servers = self.scenario.affected_servers(&t);
        let until = self.now + t.for_s * 1000.0;
        let limiters: Vec<usize> = t.limiters.iter().flatten().map(|l| *l as usize).collect();
        self.network.begin_fault(fault, &t);
        match t.what {
            What::Surge => {
                let plan = t.plan.as_deref().and_then(|p| self.scenario.plan(p));
                self.clients.surge(self.now, plan, t.times.unwrap_or(1.0));
            }
            What::Flood => self.clients.flood(self.now, t.firms.unwrap_or(1), t.share.unwrap_or(0.0)),
            What::Strangers => {
                let plan = t.plan.as_deref().and_then(|p| self.scenario.plan(p)).unwrap_or(0);
                self.clients.strangers(self.now, t.per_s.map(|per_s| (per_s, plan)));
            }
            What::Exit => servers.iter().for_each(|n| self.exit_server(*n)),
            What::Drain => {
                for server in servers {
                    self.servers[server].model.drain();
                    self.publish_condition(server, Condition::Draining);
                    self.schedule(
                        self.now + t.after_s.unwrap_or(0.0) * 1000.0,
                        Event::ServerExits { server },
                    );
                }
            }
            What::Stall => servers.iter().for_each(|n| self.set_stalled(*n, true)),
            What::Pause => self.step_fault(fault, true),
            What::Slow => {
                for server in servers {
                    self.servers[server].model.set_slowdown(self.now, t.times.unwrap_or(1.0).max(0.01));
                    self.schedule_server(server);
                }
            }
            What::Errors => servers.iter().for_each(|n| self.servers[*n].errors = t.share.unwrap_or(0.0)),
            What::Resets => servers.iter().for_each(|n| self.servers[*n].resets = t.share.unwrap_or(0.0)),
            What::Vanish => {
                for server in servers {
                    self.servers[server].silent = true;
                    self.exit_server(server);
                }
            }
            What::RosterSilent => self.silence_discovery(&t, 1),
            What::Restart => limiters.iter().for_each(|l| self.terminate_limiter(*l, t.for_s * 1000.0)),
            What::Kill => limiters.iter().for_each(|l| self.stop_limiter(*l, t.for_s * 1000.0)),
            What::Freeze => {
                for l in limiters {
                    self.limiters[l].stalled_until = until;
                }
            }
            What::Rolling => {
                self.terminate_limiter(0, t.down_s.unwrap_or(0.0) * 1000.0);
                for limiter in 1..self.limiters.len() {
                    let at = self.now + t.every_s.unwrap_or(1.0) * 1000.0 * limiter as f64;
                    self.schedule(at, Event::FaultStep { fault, on: true });
                }
            }
            // Other faults belong to the network, or are simulated with real processes only.
            _ => {}
        }
        self.schedule(until, Event::FaultEnds { fault });
        self.reschedule_clients();
    }

    /// Ends a fault of the timeline.
    pub(super) fn end_fault(&mut self, fault: usize) {
        let t: Trouble = self.scenario.timeline[fault].clone();
        let servers = self.scenario.affected_servers(&t);
        self.network.end_fault(fault, &t);
        match t.what {
            What::Surge => {
                let plan = t.plan.as_deref().and_then(|p| self.scenario.plan(p));
                self.clients.surge(self.now, plan, 1.0);
            }
            What::Flood => self.clients.flood(self.now, t.firms.unwrap_or(1), 0.0),
            What::Strangers => self.clients.strangers(self.now, None),
            What::Exit | What::Drain | What::Vanish => {
                for server in servers {
                    self.servers[server].silent = false;
                    self.exit_server(server);
                    self.start_server(server);
                }
            }
            What::Stall | What::Pause => servers.iter().for_each(|n| self.set_stalled(*n, false)),
            What::Slow => {
                for server in servers {
                    self.servers[server].model.set_slowdown(self.now, 1.0);
                    self.schedule_server(server);
                }
            }
            What::Errors => servers.iter().for_each(|n| self.servers[*n].errors = 0.0),
            What::Resets => servers.iter().for_each(|n| self.servers[*n].resets = 0.0),
            What::Cut | What::Part => self.send_held_server_lists(),
            What::RosterSilent => {
                self.silence_discovery(&t, -1);
                self.send_held_server_lists();
            }
            // Other faults end by themselves, belong to the network, or are simulated with real processes only.
            _ => {}
        }
        self.reschedule_clients();
    }

    /// Changes the number of faults that keep server list changes from the limiters of a fault, or from all.
    fn silence_discovery(&mut self, t: &Trouble, by: i32) {
        for (l, silent) in self.discovery_silence.iter_mut().enumerate() {
            if t.limiters.as_ref().is_none_or(|some| some.contains(&(l as u32))) {
                *silent = silent.saturating_add_signed(by);
            }
        }
    }

    /// Advances a periodic fault: pauses or resumes servers, or restarts the next limiter of a rolling restart.
    pub(super) fn step_fault(&mut self, fault: usize, on: bool) {
        let t: Trouble = self.scenario.timeline[fault].clone();
        let every = t.every_s.unwrap_or(1.0) * 1000.0;
        let began = BEGIN_MS + t.at_s * 1000.0;
        if t.what == What::Rolling {
            let limiter = ((self.now - began) / every).round() as usize;
            if limiter < self.limiters.len() {
                self.terminate_limiter(limiter, t.down_s.unwrap_or(0.0) * 1000.0);
            }
            return;
        }
        if self.now >= began + t.for_s * 1000.0 {
            return;
        }
        self.scenario.affected_servers(&t).iter().for_each(|n| self.set_stalled(*n, on));
        let length = t.length_s.unwrap_or(0.1) * 1000.0;
        let next = if on { length } else { (every - length).max(1.0) };
        self.schedule(self.now + next, Event::FaultStep { fault, on: !on });
    }

    /// Stalls a server, or ends its stall.
    pub(super) fn set_stalled(&mut self, server: usize, stalled: bool) {
        self.servers[server].model.set_stalled(self.now, stalled);
        self.schedule_server(server);
    }

    /// Reschedules the clients, because the time of their next event may have changed.
    pub(super) fn reschedule_clients(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        self.apply_client_actions(actions);
    }
}
