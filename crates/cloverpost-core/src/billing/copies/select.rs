//! Selection of holders.

use crate::billing::Copies;
use crate::billing::copies::Peer;
use crate::id;
use crate::time;

impl Copies {
    /// Selects holders again if a peer joined, left, failed or its exclusion ended.
    pub(super) fn select_holders(&mut self, now: time::Moment) {
        if self.reselect_at.is_none_or(|at| now < at) {
            return;
        }
        let mut chosen: Vec<id::Vm> = Vec::new();
        let mut zones = vec![self.zone.clone()];
        while let Some((vm, peer)) = self.best_candidate(&chosen, &zones, now) {
            chosen.push(vm.clone());
            zones.push(peer.zone.clone());
        }
        for (vm, peer) in &mut self.peers {
            let selected = chosen.contains(vm);
            if selected && !peer.chosen {
                peer.sent = peer.acked;
                peer.awaiting_ack_since = None;
            }
            peer.chosen = selected;
        }
        self.reselect_at = self.next_exclusion_end(now);
    }

    fn best_candidate(
        &self,
        chosen: &[id::Vm],
        zones: &[id::AvailabilityZone],
        now: time::Moment,
    ) -> Option<(&id::Vm, &Peer)> {
        if chosen.len() >= self.options.copies {
            return None;
        }
        self.peers
            .iter()
            .filter(|(vm, _)| !chosen.contains(vm))
            .min_by_key(|(_, peer)| {
                let excluded = peer.excluded_until > now;
                (excluded, zones.contains(&peer.zone), peer.rank)
            })
    }

    fn next_exclusion_end(&self, now: time::Moment) -> Option<time::Moment> {
        let excluded = self.peers.values().map(|peer| peer.excluded_until);
        excluded.filter(|until| *until > now).min()
    }
}
