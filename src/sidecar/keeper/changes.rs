//! Which change of the map is due, and how it is written.

use std::net::SocketAddr;
use std::time::Duration;

use super::KeeperEvent;
use super::MapChange;
use super::OpenVoters;
use super::RangeKeeper;
use crate::base::boot_clock::since_boot;
use crate::base::ids::Offset;
use crate::peers::message::PeerDatagram;
use crate::ranges::edit::MapEdit;
use crate::ranges::lease::VOTER_LEASE;
use crate::ranges::map::RangeMap;
use crate::ranges::map::encode_map;
use crate::sidecar::duties::DutyView;
use crate::sidecar::follow::MAP_KEY;
use crate::sidecar::upstream::UpstreamPort;
use crate::store::StateStore;
use crate::store::StoreError;
use crate::store::StoreTopic;
use crate::transport::datagram::encode_datagram;

/// Wait before a change of the map whose answer was lost is tried again.
const RETRY_CHANGE: Duration = Duration::from_millis(200);

/// Wait after a conflict, in which the newer map arrives.
const AFTER_CONFLICT: Duration = Duration::from_millis(15);

/// How long the writer of all changes has for a change before its owner writes
/// it itself, and after which it is asked again.
const WRITER_TIME: Duration = Duration::from_millis(150);

impl<S: StateStore, U: UpstreamPort> RangeKeeper<S, U> {
    pub(super) fn take_written(&mut self, change: MapChange, result: Result<Offset, StoreError>) {
        let now = since_boot();
        match result {
            Ok(offset) => {
                log::info!(edit = change.edit.name(), base = change.base, offset = offset; "ranges: wrote the map");
                self.metrics.map_writes.inc();
                self.next_change = Some(now);
                self.fleet.offer_map(change.map, offset);
                self.fleet.reach_end(offset + 1);
                self.tell_change(change.base, offset, change.edit);
            }
            Err(error) => {
                log::info!(edit = change.edit.name(), at = change.at, error:% = error; "ranges: the map was not written");
                self.next_change = Some(now + RETRY_CHANGE);
                if error == StoreError::Conflict {
                    self.next_change = Some(now + AFTER_CONFLICT);
                    self.fleet.nudge_fleet.notify_waiters();
                }
                self.note_open_voters(change.at, &error);
                if error != StoreError::Conflict {
                    self.store_failed = Some(now);
                }
            }
        }
    }

    /// Takes the failure of a write at `at` into account, if a change of voters
    /// is open there. Only a refusal shows that the change had no effect, and
    /// only if no earlier write of it went without an answer: a conflict may be
    /// that earlier write.
    fn note_open_voters(&mut self, at: Offset, error: &StoreError) {
        let Some(open) = self.open_voters.as_mut().filter(|open| open.at == at) else {
            return;
        };
        match error {
            StoreError::Unknown(_) | StoreError::Conflict | StoreError::Expired => {
                open.uncertain = true;
            }
            StoreError::Refused(_) if open.uncertain => {}
            StoreError::Refused(_) => self.settle_voters(),
        }
    }

    /// Tells the others what this process changed, so that they need not read
    /// the store. A change too large for a datagram shows in the reports.
    pub(super) fn tell_change(&self, base: Offset, at: Offset, edit: MapEdit) {
        let told = PeerDatagram::MapEdited { base, at, edit };
        if encode_datagram(&told).is_ok() {
            let addresses: Vec<SocketAddr> = {
                let directory = self.fleet.directory();
                directory.peers().map(|peer| peer.member.address).collect()
            };
            for address in addresses {
                self.socket.send(address, &told);
            }
        }
        self.fleet.report_now.notify_one();
    }

    /// The change of voters has not taken effect and never will.
    pub(super) fn settle_voters(&mut self) {
        self.open_voters = None;
        if let Some(lease) = &mut self.lease {
            lease.unfreeze();
        }
    }

    pub(super) fn change_map(&mut self, now: Duration) {
        let open = self.next_change.is_some_and(|next| now >= next);
        let Some(at) = self.fleet.end() else { return };
        if !open {
            return;
        }
        let view = self.fleet.map();
        let divided = self.divided();
        let candidates = self.candidates(now);
        let own = self.fleet.own().clone();
        let duties = DutyView::new(&own, &view.map, &divided, &candidates);
        let due = self
            .due_transfers(&duties, now)
            .or_else(|| duties.adopt_candidates())
            .or_else(|| self.due_voters(&view.map, now))
            .or_else(|| self.due_expulsion(&duties, now))
            .or_else(|| self.due_assignment(&duties, now));
        let Some(edit) = due else { return };
        if let Some(map) = edit.apply(&view.map, at) {
            let change = MapChange {
                edit,
                base: view.offset,
                map,
                at,
            };
            self.write(change, now);
        }
    }

    pub(super) fn write(&mut self, change: MapChange, now: Duration) {
        match &change.edit {
            MapEdit::NameVoters { .. } => {
                if let Some(lease) = &mut self.lease {
                    lease.freeze(now);
                }
                let known = self.open_voters.filter(|open| open.at == change.at);
                self.open_voters = known.or(Some(OpenVoters {
                    at: change.at,
                    uncertain: false,
                }));
            }
            MapEdit::Adopt { .. }
            | MapEdit::Assign { .. }
            | MapEdit::Batch(_)
            | MapEdit::Expel { .. }
            | MapEdit::Transfer { .. } => {}
        }
        self.next_change = None;
        let store = self.store.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let encoded = encode_map(&change.map).into();
            let written = store
                .append(StoreTopic::Fleet, MAP_KEY, encoded, Some(change.at))
                .await;
            drop(sender.send(KeeperEvent::Written(change, written)).await);
        });
    }

    /// Returns the finished move of this process and those that others asked
    /// it to write.
    pub(super) fn due_transfers(
        &mut self,
        duties: &DutyView<'_>,
        now: Duration,
    ) -> Option<MapEdit> {
        let mut edits: Vec<MapEdit> = self.collected.drain().map(|(_owner, edit)| edit).collect();
        edits.extend(self.due_transfer(duties, now));
        (!edits.is_empty()).then_some(MapEdit::Batch(edits))
    }

    /// Returns the finished move, if this process is to write it itself: it is
    /// the writer of all changes, or the writer has had its time. After that
    /// another one is asked, since this process may be cut off from the store.
    pub(super) fn due_transfer(&mut self, duties: &DutyView<'_>, now: Duration) -> Option<MapEdit> {
        let planned = self.planned.as_ref()?;
        let edit = MapEdit::Transfer {
            service: planned.service.clone(),
            owner: self.own(),
            transfers: planned.transfers(now)?,
        };
        let mates = duties.mates();
        let writer = *mates.get(self.asks % mates.len().max(1))?;
        let waited = self.asked_writer.map(|asked| now.saturating_sub(asked));
        if writer == self.own() || waited.is_some_and(|waited| waited > WRITER_TIME) {
            self.asked_writer = None;
            self.asks += usize::from(writer == self.own());
            return Some(edit);
        }
        if waited.is_none() {
            self.asked_writer = Some(now);
            self.asks += 1;
            let address = self.fleet.directory().find(writer)?.member.address;
            let owner = self.own();
            self.socket.send(
                address,
                &PeerDatagram::AskWrite {
                    writer,
                    owner,
                    edit,
                },
            );
        }
        None
    }

    pub(super) fn due_voters(&self, map: &RangeMap, now: Duration) -> Option<MapEdit> {
        let lease = self.lease.as_ref()?;
        if !lease.needs_new_voters(now) {
            return None;
        }
        let voters = self.choose_voters(self.own(), now);
        let holder = map.holder(self.own())?;
        // Naming the same voters again would change nothing but the term.
        let same = voters.iter().all(|voter| holder.voters.contains(voter))
            && voters.len() == holder.voters.len();
        let refused = lease
            .valid_until()
            .is_none_or(|until| now > until + VOTER_LEASE);
        if voters.is_empty() || (same && !refused) {
            return None;
        }
        Some(MapEdit::NameVoters {
            holder: self.own(),
            voters,
        })
    }

    pub(super) fn due_expulsion(&self, duties: &DutyView<'_>, now: Duration) -> Option<MapEdit> {
        self.suspicions.iter().find_map(|(holder, suspicion)| {
            let noticed = now.saturating_sub(suspicion.proven?);
            duties.expel(*holder, suspicion.term, noticed)
        })
    }

    pub(super) fn due_assignment(
        &mut self,
        duties: &DutyView<'_>,
        now: Duration,
    ) -> Option<MapEdit> {
        if !duties.has_unowned() || !duties.mates().contains(&duties.own) {
            self.unowned_since = None;
            return None;
        }
        let since = *self.unowned_since.get_or_insert(now);
        duties.assign_unowned(now.saturating_sub(since))
    }
}
