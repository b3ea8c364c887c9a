//! Ownership events, and their text in log lines.

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

/// A change in a process's ownership state that is logged and counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipEvent {
    /// This process's lease became live.
    LeaseLive,
    /// This process's lease is no longer live; a renewal may make it live
    /// again.
    LeaseLapsed,
    /// This process, as a witness, stated a member's lapse.
    LapseStated(Incarnation),
    /// The statements known to this process prove a lapse.
    CertificateFormed(LapseCertificate),
    /// Another member sent a certificate that this process did not have.
    CertificateReceived(LapseCertificate),
    /// This process may start, or has to stop, serving a chain.
    Tenure(TenureChange),
    /// The process made no step for this long, which exceeds
    /// [`LeaseTiming::max_tick_gap`](super::timing::LeaseTiming::max_tick_gap).
    PauseDetected(Duration),
    /// This incarnation has permanently lost its lease.
    Ended(EndCause),
}

impl Display for OwnershipEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseLive => write!(f, "the lease is live"),
            Self::LeaseLapsed => write!(f, "the lease is no longer live"),
            Self::LapseStated(subject) => write!(f, "stated the lapse of {subject:x}"),
            Self::CertificateFormed(certificate) => {
                let LapseCertificate {
                    subject,
                    set_version,
                    witnesses,
                } = certificate;
                write!(
                    f,
                    "certified the lapse of {subject:x}, stated by {witnesses:x?} of witness set {set_version}"
                )
            }
            Self::CertificateReceived(certificate) => {
                let subject = certificate.subject;
                write!(f, "received a lapse certificate of {subject:x}")
            }
            Self::Tenure(TenureChange::Started(key, tenure)) => {
                let cause = describe_cause(tenure.cause);
                let epoch = tenure.epoch;
                write!(f, "serving {} at epoch {epoch}, {cause}", ChainName(key))
            }
            Self::Tenure(TenureChange::Stopped(key, epoch)) => {
                write!(f, "stopped serving {} at epoch {epoch}", ChainName(key))
            }
            Self::PauseDetected(gap) => {
                write!(
                    f,
                    "the process was paused for {} ms, renewing the lease",
                    gap.as_millis()
                )
            }
            Self::Ended(cause) => {
                let reason = describe_end(*cause);
                write!(
                    f,
                    "this incarnation has ended: {reason}; only a new one can hold a lease"
                )
            }
        }
    }
}

fn describe_cause(cause: TenureCause) -> &'static str {
    match cause {
        TenureCause::First => "as the first holder",
        TenureCause::Resignation => "predecessor resigned",
        TenureCause::Certificate => "predecessor's lapse certified",
        TenureCause::Log => "predecessor's position vacated in the log",
    }
}

fn describe_end(cause: EndCause) -> &'static str {
    match cause {
        EndCause::Log => "its end is in the log",
        EndCause::Certificate => "its lapse is certified",
        EndCause::Refused => "too many witnesses refused to renew",
        EndCause::WitnessesGone => "too few witnesses are left",
    }
}

/// Formats a chain for log lines as service and subject.
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
