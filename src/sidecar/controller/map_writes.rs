//! Selects the change of the range map that is due, writes it to the store and
//! handles the result.

use std::net::SocketAddr;
use std::time::Duration;

use super::ControllerEvent;
use super::MapChange;
use super::PendingVoters;
use super::RangeController;
use crate::base::boot_clock::since_boot;
use crate::base::ids::Offset;
use crate::log::backoff::RetryBackoff;
use crate::peers::message::PeerDatagram;
use crate::ranges::edit::MapEdit;
use crate::ranges::map::RangeMap;
use crate::ranges::map::encode_map;
use crate::sidecar::fleet::MapView;
use crate::sidecar::follow::MAP_KEY;
use crate::sidecar::reconcile::MapReconciler;
use crate::sidecar::reconcile::STAGGER_STEP;
use crate::sidecar::upstream::UpstreamClient;
use crate::store::StateStore;
use crate::store::StoreError;
use crate::store::StoreTopic;
use crate::store::era::era_of;
use crate::transport::datagram::encode_datagram;

/// Longest time for which reports of peers are awaited before the map is written
/// again.
const MAX_HEARING_TIME: Duration = Duration::from_secs(2);

/// Longest time for which a sidecar leaves the writing of the map again to older
/// ones.
const MAX_RESTORE_STAGGER: Duration = Duration::from_millis(900);

/// First and maximum wait after a failed write of the map, other than a conflict.
const FAILURE_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(3));

/// First and maximum wait after a conflict. In the first one the newer map arrives;
/// the longer ones spread out many writers, of which only one at a time succeeds.
const CONFLICT_BACKOFF: (Duration, Duration) = (Duration::from_millis(15), Duration::from_secs(1));

/// Time that the designated writer has to write another owner's finished move,
/// before that owner writes it itself and then asks another holder.
const WRITER_TIMEOUT: Duration = Duration::from_millis(150);

/// Waits between failed writes of the map.
#[derive(Debug)]
pub(super) struct WriteBackoff {
    conflicts: RetryBackoff,
    failures: RetryBackoff,
}

impl Default for WriteBackoff {
    fn default() -> Self {
        Self {
            conflicts: RetryBackoff::new(CONFLICT_BACKOFF.0, CONFLICT_BACKOFF.1),
            failures: RetryBackoff::new(FAILURE_BACKOFF.0, FAILURE_BACKOFF.1),
        }
    }
}

impl WriteBackoff {
    /// Returns the wait after a write that failed with `error`.
    fn next_wait(&mut self, error: &StoreError) -> Duration {
        match error {
            StoreError::Conflict => self.conflicts.next_wait(),
            _ => self.failures.next_wait(),
        }
    }
}

impl<S: StateStore, U: UpstreamClient> RangeController<S, U> {
    pub(super) fn handle_written(&mut self, change: MapChange, result: Result<Offset, StoreError>) {
        let now = since_boot();
        match result {
            Ok(offset) => {
                log::info!(edit = change.edit.name(), base = change.base, offset = offset; "ranges: wrote the map");
                self.metrics.map_writes.inc();
                self.write_backoff = WriteBackoff::default();
                self.next_change = Some(now);
                self.fleet.offer_map(change.map, offset);
                self.fleet.advance_end(offset + 1);
                self.send_change(change.base, offset, change.edit);
            }
            Err(error) => {
                log::info!(edit = change.edit.name(), at = change.record_offset, error:% = error; "ranges: cannot write the map");
                self.next_change = Some(now + self.write_backoff.next_wait(&error));
                if error == StoreError::Conflict {
                    self.conflicted_at = Some(change.record_offset);
                    self.fleet.fleet_read_request.notify_one();
                }
                self.update_pending_voters(change.record_offset, &error);
                if error != StoreError::Conflict {
                    self.write_failed = Some(now);
                }
            }
        }
    }

    /// Updates the pending change of voters after a failed write at `at`, if it
    /// was written there. Only a refusal proves that the change has no effect,
    /// and only if no earlier write of it went without a response: a conflict
    /// may be caused by that earlier write.
    fn update_pending_voters(&mut self, at: Offset, error: &StoreError) {
        let Some(pending) = self
            .pending_voters
            .as_mut()
            .filter(|pending| pending.record_offset == at)
        else {
            return;
        };
        match error {
            StoreError::Unknown(_) | StoreError::Conflict | StoreError::Expired => {
                pending.uncertain = true;
            }
            StoreError::Refused(_) if pending.uncertain => {}
            StoreError::Refused(_) => self.end_pending_voters(),
        }
    }

    /// Sends a written change to all peers, so that they need not read the
    /// store. If it is too large for a datagram, peers learn of the new map
    /// from a report.
    pub(super) fn send_change(&self, base: Offset, at: Offset, edit: MapEdit) {
        let datagram = PeerDatagram::MapEdited { base, at, edit };
        if encode_datagram(&datagram).is_err() {
            self.fleet.report_now.notify_one();
            return;
        }
        let addresses: Vec<SocketAddr> = {
            let directory = self.fleet.directory();
            directory.peers().map(|peer| peer.member.address).collect()
        };
        for address in addresses {
            self.socket.send(address, &datagram);
        }
    }

    /// Ends the pending change of voters, which has not taken effect and never
    /// will: promises of the present voters count again.
    pub(super) fn end_pending_voters(&mut self) {
        self.pending_voters = None;
        if let Some(lease) = &mut self.lease {
            lease.unfreeze();
        }
    }

    /// Writes the change of the map that is due, unless a write is in progress
    /// or has to wait.
    pub(super) fn change_map(&mut self, now: Duration) {
        let may_write = self.next_change.is_some_and(|next| now >= next);
        let Some(at) = self.fleet.fleet_topic_end() else {
            return;
        };
        let is_outdated = self
            .conflicted_at
            .is_some_and(|conflicted| at <= conflicted);
        if !may_write || is_outdated {
            return;
        }
        let view = self.fleet.map();
        if view.offset == 0 && self.fleet.is_map_known_to_peers() {
            // The store has lost the map. It must not be begun anew.
            return;
        }
        if let Some(unrestored) = self.fleet.unrestored_for() {
            if self.may_restore(unrestored, now) && era_of(at) > era_of(view.offset) {
                self.write_edit(MapEdit::Restore, &view, at, now);
            }
            return;
        }
        let sharded = self.sharded_services();
        let candidates = self.candidates(now);
        let own = self.fleet.own().clone();
        let reconciler = MapReconciler::new(&own, &view.map, &sharded, &candidates);
        let due = self
            .due_transfers(&reconciler, now)
            .or_else(|| self.due_adoption(&reconciler, now))
            .or_else(|| self.due_voters(&view.map, now))
            .or_else(|| self.due_expulsion(&reconciler, now))
            .or_else(|| self.due_assignment(&reconciler, now));
        if let Some(edit) = due {
            self.write_edit(edit, &view, at, now);
        }
    }

    /// Returns whether this sidecar may write the map again, after the store was first
    /// seen in its present era `unrestored` ago.
    ///
    /// By then this sidecar has heard of newer maps that peers know, and a grant under
    /// a map that nobody knows any more has run out. Older sidecars go first, as they
    /// are the most likely to know the newest map.
    fn may_restore(&self, unrestored: Duration, now: Duration) -> bool {
        let lease = self.settings.lease_times().voter;
        let heard = lease.max((self.fleet.report_interval() * 2).min(MAX_HEARING_TIME));
        let turn = (STAGGER_STEP * self.fleet.older_members() as u32).min(MAX_RESTORE_STAGGER);
        unrestored.min(now.saturating_sub(self.started)) >= heard + turn
    }

    fn write_edit(&mut self, edit: MapEdit, view: &MapView, at: Offset, now: Duration) {
        if let Some(map) = edit.apply(&view.map, at) {
            let change = MapChange {
                edit,
                base: view.offset,
                map,
                record_offset: at,
            };
            self.write(change, now);
        }
    }

    /// Starts to write a change to the store. Its result arrives as
    /// [`ControllerEvent::Written`].
    pub(super) fn write(&mut self, change: MapChange, now: Duration) {
        match &change.edit {
            MapEdit::NameVoters { .. } => {
                // From now on the present voters may be replaced at any time,
                // so their later promises must not extend the lease.
                if let Some(lease) = &mut self.lease {
                    lease.freeze(now);
                }
                let known = self
                    .pending_voters
                    .filter(|pending| pending.record_offset == change.record_offset);
                self.pending_voters = known.or(Some(PendingVoters {
                    record_offset: change.record_offset,
                    uncertain: false,
                }));
            }
            MapEdit::Adopt { .. }
            | MapEdit::Assign { .. }
            | MapEdit::Batch(_)
            | MapEdit::Expel { .. }
            | MapEdit::Restore
            | MapEdit::Transfer { .. } => {}
        }
        self.next_change = None;
        let store = self.store.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let encoded = encode_map(change.map.clone(), change.record_offset).into();
            let written = store
                .append(
                    StoreTopic::Fleet,
                    MAP_KEY,
                    encoded,
                    Some(change.record_offset),
                )
                .await;
            drop(sender.send(ControllerEvent::Written(change, written)).await);
        });
    }

    /// Returns the change that makes all candidates holders, with voters for each;
    /// `None` while an older candidate is to write it.
    fn due_adoption(&mut self, reconciler: &MapReconciler<'_>, now: Duration) -> Option<MapEdit> {
        let Some(MapEdit::Adopt {
            sharded,
            mut candidates,
        }) = reconciler.adopt_candidates()
        else {
            self.candidate_since = None;
            return None;
        };
        let since = *self.candidate_since.get_or_insert(now);
        if now.saturating_sub(since) < reconciler.adoption_delay() {
            return None;
        }
        for candidate in &mut candidates {
            candidate.voters = self.choose_voters(candidate.incarnation, now);
        }
        Some(MapEdit::Adopt {
            sharded,
            candidates,
        })
    }

    /// Returns this sidecar's finished move, if it is to write it, and the
    /// finished moves that other owners asked it to write.
    pub(super) fn due_transfers(
        &mut self,
        reconciler: &MapReconciler<'_>,
        now: Duration,
    ) -> Option<MapEdit> {
        let mut edits: Vec<MapEdit> = self
            .requested_edits
            .drain()
            .map(|(_owner, edit)| edit)
            .collect();
        edits.extend(self.due_transfer(reconciler, now));
        (!edits.is_empty()).then_some(MapEdit::Batch(edits))
    }

    /// Returns this sidecar's finished move if it is to write it itself: it is
    /// the designated writer, or the designated writer did not write the move
    /// in time. Otherwise asks the designated writer, which batches the moves
    /// of all owners to avoid conflicts. Each further try asks another holder,
    /// since this sidecar may be cut off from the store.
    pub(super) fn due_transfer(
        &mut self,
        reconciler: &MapReconciler<'_>,
        now: Duration,
    ) -> Option<MapEdit> {
        let planned = self.planned.as_ref()?;
        let edit = MapEdit::Transfer {
            service: planned.service.clone(),
            owner: self.own(),
            transfers: planned.transfers(now)?,
        };
        let holders = reconciler.service_holders();
        let writer = *holders.get(self.asks % holders.len().max(1))?;
        let waited = self.asked_writer.map(|asked| now.saturating_sub(asked));
        if writer == self.own() || waited.is_some_and(|waited| waited > WRITER_TIMEOUT) {
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

    /// Returns the change of this holder's voters, if the present ones do not
    /// renew its lease and others are available.
    pub(super) fn due_voters(&self, map: &RangeMap, now: Duration) -> Option<MapEdit> {
        let lease = self.lease.as_ref()?;
        if !lease.needs_new_voters(now) {
            return None;
        }
        let voters = self.choose_voters(self.own(), now);
        let holder = map.holder(self.own())?;
        // Naming the same voters again changes nothing but the term, which
        // helps only if they may have refused the present one.
        let same = voters.iter().all(|voter| holder.voters.contains(voter))
            && voters.len() == holder.voters.len();
        let may_be_refused = lease
            .valid_until()
            .is_none_or(|until| now > until + self.settings.lease_times().voter);
        if voters.is_empty() || (same && !may_be_refused) {
            return None;
        }
        Some(MapEdit::NameVoters {
            holder: self.own(),
            voters,
        })
    }

    /// Returns the removal of a holder whose lease is proven to have lapsed.
    pub(super) fn due_expulsion(
        &self,
        reconciler: &MapReconciler<'_>,
        now: Duration,
    ) -> Option<MapEdit> {
        self.suspicions.iter().find_map(|(holder, suspicion)| {
            let noticed = now.saturating_sub(suspicion.proven?);
            reconciler.expel(*holder, suspicion.term, noticed)
        })
    }

    /// Returns the assignment of unowned keys, once they have been unowned for
    /// long enough.
    pub(super) fn due_assignment(
        &mut self,
        reconciler: &MapReconciler<'_>,
        now: Duration,
    ) -> Option<MapEdit> {
        if !reconciler.has_unowned() || !reconciler.service_holders().contains(&reconciler.own) {
            self.unowned_since = None;
            return None;
        }
        let since = *self.unowned_since.get_or_insert(now);
        reconciler.assign_unowned(now.saturating_sub(since))
    }
}
