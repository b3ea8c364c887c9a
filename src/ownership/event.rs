//! Decisions on ownership, as the log shows them.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use super::holder::EndCause;
use super::succession::TenureCause;
use super::succession::TenureChange;
use crate::base::ids::Incarnation;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;
use crate::state::record::LapseCertificate;

/// A decision on ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipEvent {
    /// The lease became live.
    LeaseLive,
    /// The lease stopped being live.
    LeaseLapsed,
    /// This process stated a member's lapse.
    LapseStated(Incarnation),
    /// Statements made a certificate.
    CertificateFormed(LapseCertificate),
    /// A certificate came from another member.
    CertificateReceived(LapseCertificate),
    /// What the process may serve changed.
    Tenure(TenureChange),
    /// The process was paused for this long.
    PauseDetected(Duration),
    /// The process cannot hold its lease any more.
    Ended(EndCause),
}

impl Display for OwnershipEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseLive => write!(f, "the lease is live"),
            Self::LeaseLapsed => write!(f, "the lease is not live any more"),
            Self::LapseStated(subject) => write!(f, "stated the lapse of {subject:x}"),
            Self::CertificateFormed(certificate) => {
                let LapseCertificate {
                    subject,
                    set_version,
                    witnesses,
                } = certificate;
                write!(
                    f,
                    "certified the lapse of {subject:x} by {witnesses:x?} under set {set_version}"
                )
            }
            Self::CertificateReceived(certificate) => {
                let subject = certificate.subject;
                write!(f, "received a certificate of the lapse of {subject:x}")
            }
            Self::Tenure(TenureChange::Started(key, tenure)) => {
                let cause = describe_cause(tenure.cause);
                let epoch = tenure.epoch;
                write!(f, "serving {} at epoch {epoch}, {cause}", ChainName(key))
            }
            Self::Tenure(TenureChange::Stopped(key, epoch)) => {
                write!(f, "ceased serving {} at epoch {epoch}", ChainName(key))
            }
            Self::PauseDetected(gap) => {
                write!(f, "was paused for {} ms, renewing first", gap.as_millis())
            }
            Self::Ended(cause) => {
                let reason = describe_end(*cause);
                write!(f, "ended for good, {reason}; join as a new incarnation")
            }
        }
    }
}

fn describe_cause(cause: TenureCause) -> &'static str {
    match cause {
        TenureCause::First => "as its first holder",
        TenureCause::Resignation => "after a resignation",
        TenureCause::Certificate => "after a lapse certificate",
        TenureCause::Log => "as the log says",
    }
}

fn describe_end(cause: EndCause) -> &'static str {
    match cause {
        EndCause::Log => "as the log says",
        EndCause::Certificate => "by a lapse certificate",
        EndCause::Refused => "refused by its witnesses",
        EndCause::WitnessesGone => "its witnesses are gone",
    }
}

/// Writes a chain's name on a log line.
struct ChainName<'a>(&'a ChainKey);

impl Display for ChainName<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let service = &self.0.service;
        match self.0.subject {
            ChainSubject::Slice(slice) => write!(f, "{service}/slice {slice}"),
            ChainSubject::Key(key) => write!(f, "{service}/key {key:016x}"),
            ChainSubject::Any => write!(f, "{service}"),
        }
    }
}
