//! What goes wrong, and when.

use super::*;

impl World {
    pub(super) fn begins(&mut self, trouble: usize) {
        let t: Trouble = self.scenario.timeline[trouble].clone();
        let nodes = self.scenario.nodes_of(&t);
        let until = self.now + t.for_s * 1000.0;
        let limiters: Vec<usize> = t.limiters.iter().flatten().map(|l| *l as usize).collect();
        self.post.begin_fault(trouble, &t);
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
            What::Exit => nodes.iter().for_each(|n| self.node_exits(*n)),
            What::Drain => {
                for node in nodes {
                    self.machines[node].node.drain();
                    self.publish(node, Condition::Draining);
                    self.note(self.now + t.after_s.unwrap_or(0.0) * 1000.0, Event::NodeExit { node });
                }
            }
            What::Stall => nodes.iter().for_each(|n| self.halts(*n, true)),
            What::Pause => self.blinks(trouble, true),
            What::Slow => {
                for node in nodes {
                    self.machines[node].node.slow(self.now, t.times.unwrap_or(1.0).max(0.01));
                    self.rearm(node);
                }
            }
            What::Errors => nodes.iter().for_each(|n| self.machines[*n].errors = t.share.unwrap_or(0.0)),
            What::Resets => nodes.iter().for_each(|n| self.machines[*n].resets = t.share.unwrap_or(0.0)),
            What::Vanish => {
                for node in nodes {
                    self.machines[node].silent = true;
                    self.node_exits(node);
                }
            }
            What::RosterSilent => self.hushes(&t, 1),
            What::Restart => limiters.iter().for_each(|l| self.asked_to_end(*l, t.for_s * 1000.0)),
            What::Kill => limiters.iter().for_each(|l| self.dies(*l, t.for_s * 1000.0)),
            What::Freeze => {
                for l in limiters {
                    self.limiters[l].frozen_until = until;
                }
            }
            What::Rolling => {
                self.asked_to_end(0, t.down_s.unwrap_or(0.0) * 1000.0);
                for limiter in 1..self.limiters.len() {
                    let at = self.now + t.every_s.unwrap_or(1.0) * 1000.0 * limiter as f64;
                    self.note(at, Event::Blink { trouble, on: true });
                }
            }
            // The post's, or played by processes only.
            _ => {}
        }
        self.note(until, Event::End { trouble });
        self.stir();
    }

    pub(super) fn ends(&mut self, trouble: usize) {
        let t: Trouble = self.scenario.timeline[trouble].clone();
        let nodes = self.scenario.nodes_of(&t);
        self.post.end_fault(trouble, &t);
        match t.what {
            What::Surge => {
                let plan = t.plan.as_deref().and_then(|p| self.scenario.plan(p));
                self.clients.surge(self.now, plan, 1.0);
            }
            What::Flood => self.clients.flood(self.now, t.firms.unwrap_or(1), 0.0),
            What::Strangers => self.clients.strangers(self.now, None),
            What::Exit | What::Drain | What::Vanish => {
                for node in nodes {
                    self.machines[node].silent = false;
                    self.node_exits(node);
                    self.node_starts(node);
                }
            }
            What::Stall | What::Pause => nodes.iter().for_each(|n| self.halts(*n, false)),
            What::Slow => {
                for node in nodes {
                    self.machines[node].node.slow(self.now, 1.0);
                    self.rearm(node);
                }
            }
            What::Errors => nodes.iter().for_each(|n| self.machines[*n].errors = 0.0),
            What::Resets => nodes.iter().for_each(|n| self.machines[*n].resets = 0.0),
            What::Cut | What::Part => self.flush_roster(),
            What::RosterSilent => {
                self.hushes(&t, -1);
                self.flush_roster();
            }
            // What was begun ends by itself, or is the post's, or is played by processes only.
            _ => {}
        }
        self.stir();
    }

    /// The roster is silent towards some limiters, or all, or is so no longer.
    fn hushes(&mut self, t: &Trouble, by: i32) {
        for (l, silent) in self.roster_silent.iter_mut().enumerate() {
            if t.limiters.as_ref().is_none_or(|some| some.contains(&(l as u32))) {
                *silent = silent.saturating_add_signed(by);
            }
        }
    }

    /// Pauses come and go; a rolling restart takes its next limiter.
    pub(super) fn blinks(&mut self, trouble: usize, on: bool) {
        let t: Trouble = self.scenario.timeline[trouble].clone();
        let every = t.every_s.unwrap_or(1.0) * 1000.0;
        let began = BEGIN_MS + t.at_s * 1000.0;
        if t.what == What::Rolling {
            let limiter = ((self.now - began) / every).round() as usize;
            if limiter < self.limiters.len() {
                self.asked_to_end(limiter, t.down_s.unwrap_or(0.0) * 1000.0);
            }
            return;
        }
        if self.now >= began + t.for_s * 1000.0 {
            return;
        }
        self.scenario.nodes_of(&t).iter().for_each(|n| self.halts(*n, on));
        let length = t.length_s.unwrap_or(0.1) * 1000.0;
        let next = if on { length } else { (every - length).max(1.0) };
        self.note(self.now + next, Event::Blink { trouble, on: !on });
    }

    pub(super) fn halts(&mut self, node: usize, halted: bool) {
        self.machines[node].node.halt(self.now, halted);
        self.rearm(node);
    }

    /// Clients may be due at another moment now.
    pub(super) fn stir(&mut self) {
        let said = std::mem::take(&mut self.said);
        self.hear(said);
    }
}
