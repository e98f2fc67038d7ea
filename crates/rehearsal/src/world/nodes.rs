//! Nodes that finish, exit, start and fall, and the roster that tells of it.

use super::*;

impl World {
    pub(super) fn rearm(&mut self, node: usize) {
        let m = &mut self.machines[node];
        m.turn = m.turn.wrapping_add(1);
        if let Some(at) = m.node.next_due() {
            let turn = m.turn;
            self.note(at, Event::NodeDue { node, turn });
        }
    }

    pub(super) fn node_due(&mut self, node: usize) {
        let mut done = std::mem::take(&mut self.done);
        self.machines[node].node.due(self.now, &mut done);
        for d in done.drain(..) {
            let Some(a) = self.attempts.get_mut(&d.key) else { continue };
            a.at_node = false;
            let (limiter, way, job, repeat, over) = (a.limiter, a.way, a.job, a.repeat, a.over);
            self.recorder.abandoned_work_ms += a.left_with.unwrap_or(0.0);
            self.oracle.attempt_left_server(self.now, job, repeat, true);
            let m = &mut self.machines[node];
            let outcome = if draws::chance(&mut m.rng, m.errors) {
                Outcome::Error
            } else if draws::chance(&mut m.rng, m.resets) {
                Outcome::Severed
            } else {
                Outcome::Ok
            };
            if over {
                self.attempts.remove(&d.key);
            } else if self.reaches_node(limiter, node) {
                self.note(self.now + way, Event::Ended { key: d.key, outcome });
            }
        }
        self.done = done;
        self.rearm(node);
    }

    /// A node's process ends: what it holds is reset, its connections too.
    pub(super) fn node_exits(&mut self, node: usize) {
        if !self.machines[node].node.running() {
            return;
        }
        let lost = self.machines[node].node.exit(self.now);
        self.machines[node].turn += 1;
        let silent = self.machines[node].silent;
        for limiter in &mut self.limiters {
            limiter.idle[node].clear();
        }
        for key in lost {
            let Some(a) = self.attempts.get_mut(&key) else { continue };
            a.at_node = false;
            let (limiter, way, job, repeat, over) = (a.limiter, a.way, a.job, a.repeat, a.over);
            self.oracle.attempt_left_server(self.now, job, repeat, false);
            if over {
                self.attempts.remove(&key);
            } else if !silent && self.reaches_node(limiter, node) {
                self.note(self.now + way, Event::Ended { key, outcome: Outcome::Severed });
            }
        }
        self.publish(node, Condition::Gone);
    }

    pub(super) fn node_starts(&mut self, node: usize) {
        if self.machines[node].node.running() {
            return;
        }
        self.machines[node].node.start(self.now);
        self.publish(node, Condition::Serving);
    }

    pub(super) fn falls(&mut self, node: usize) {
        let notified_share = self.machines[node].node.overload_failure().map_or(0.0, |f| f.notified_share);
        self.oracle.server_overloaded(self.now, node, notified_share);
        self.recorder.falls += 1;
        // It stays down.
        self.node_exits(node);
    }

    pub(super) fn publish(&mut self, node: usize, condition: Condition) {
        self.machines[node].condition = condition;
        let entries: Arc<[ServerEntry]> = [self.machines[node].entry()].into();
        for limiter in 0..self.limiters.len() {
            self.roster_to(limiter, entries.clone());
        }
    }

    pub(super) fn roster_to(&mut self, limiter: usize, entries: Arc<[ServerEntry]>) {
        if self.roster_silent[limiter] > 0
            || !self.post.discovery_reports(self.limiters[limiter].zone, entries[0].zone)
        {
            return self.unheard[limiter].push(entries);
        }
        let after = 1000.0 * draws::between(&mut self.rng, self.scenario.net.roster_s);
        let l = &mut self.limiters[limiter];
        // Changes come in their order.
        l.heard = l.heard.max(self.now + after);
        let at = l.heard;
        self.note(at, Event::Roster { limiter, entries });
    }

    pub(super) fn roster_heard(&mut self, limiter: usize, entries: Arc<[ServerEntry]>) {
        self.account.server_list_changed(self.now, limiter, entries.len());
        for entry in entries.iter() {
            let node = self.by_id[&entry.server];
            self.limiters[limiter].view[node] = entry.clone();
            if self.limiters[limiter].engine.is_some() {
                self.oracle.server_notice(self.now, limiter, node, entry.condition == Condition::Serving);
            }
            if entry.condition != Condition::Serving {
                self.close_idle(limiter, node);
            }
        }
        self.tell(limiter, Input::Servers { whole: false, entries });
    }

    pub(super) fn flush_roster(&mut self) {
        for limiter in 0..self.limiters.len() {
            for entries in std::mem::take(&mut self.unheard[limiter]) {
                self.roster_to(limiter, entries);
            }
        }
    }
}
