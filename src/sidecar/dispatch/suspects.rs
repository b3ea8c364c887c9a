//! Treats requests at the entry that were in crashes of upstreams.

use std::time::Duration;

use super::EntryRequest;
use super::SidecarDispatcher;
use crate::delivery::message::RequestFailure;
use crate::quarantine::fingerprint::RequestFingerprint;
use crate::quarantine::fingerprint::RequestIdentity;
use crate::quarantine::ledger::CrashCount;
use crate::quarantine::ledger::CrashRecord;
use crate::quarantine::ledger::RequestStanding;
use crate::sidecar::crash_watch::quarantined;
use crate::sidecar::quarantine::RequestQuarantine;
use crate::sidecar::upstream::UpstreamClient;

impl<U: UpstreamClient> SidecarDispatcher<U> {
    /// Returns the fingerprint of a request that was in a crash; `None` if it may
    /// run as any other.
    pub(super) fn suspect_fingerprint(&self, request: &EntryRequest) -> Option<RequestFingerprint> {
        let quarantine = self.quarantine();
        if !quarantine.is_active() {
            return None;
        }
        let fingerprint = self.fingerprint(request);
        let standing = quarantine.standing(fingerprint);
        (standing != RequestStanding::Clear).then_some(fingerprint)
    }

    /// Returns the failure of a request that is in quarantine; `None` for all others.
    pub(super) fn quarantine_failure(&self, request: &EntryRequest) -> Option<RequestFailure> {
        let fingerprint = self.suspect_fingerprint(request)?;
        match self.quarantine().standing(fingerprint) {
            RequestStanding::Quarantined(left) => Some(quarantined(left)),
            _ => None,
        }
    }

    /// Returns the known crashes of a request; `None` if there are none.
    pub(super) fn known_crashes(&self, request: &EntryRequest) -> Option<CrashCount> {
        let fingerprint = self.suspect_fingerprint(request)?;
        Some(self.quarantine().count(fingerprint))
    }

    /// Records that a peer's upstream crashed while it ran a request that was sent
    /// with the crashes `known`. The peer's own news may arrive only after the next
    /// attempt.
    pub(super) fn learn_crash(&self, request: &EntryRequest, known: Option<CrashCount>) {
        let known = known.unwrap_or_default();
        let record = CrashRecord {
            fingerprint: self.fingerprint(request),
            count: CrashCount {
                crashed: known.crashed + 1,
                ..known
            },
            age: Duration::ZERO,
        };
        self.quarantine().merge(record, "attempt");
    }

    fn fingerprint(&self, request: &EntryRequest) -> RequestFingerprint {
        RequestIdentity {
            caller: &self.shared.settings.service,
            method: &request.method,
            host: request.host.as_bytes(),
            path: &request.path,
            body: &request.body,
        }
        .fingerprint()
    }

    fn quarantine(&self) -> &RequestQuarantine {
        &self.shared.fleet.quarantine
    }
}
