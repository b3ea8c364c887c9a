//! Datagrams exchanged by lease holders, witnesses and successors.
//!
//! Messages are addressed to an incarnation, and a process drops one that is
//! addressed to another incarnation: a restarted process does not know what
//! its previous incarnation promised.

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::Version;
use crate::state::record::ChainKey;
use crate::state::record::LapseCertificate;

/// Sequence number of a holder's renewal round, from 1.
pub type RoundNumber = u64;

/// A datagram of the ownership protocol. All of them may be lost, duplicated
/// or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum OwnershipMessage {
    /// A holder requests a new promise from a witness.
    Renew {
        /// The lease holder, which sends the message.
        holder: Incarnation,
        /// The witness, which receives it.
        witness: Incarnation,
        /// Version of the newest witness set that the holder knows. The
        /// witness acknowledges it with its promise.
        set_version: Version,
        /// Version of the holder's active witness set.
        active: Version,
        /// The renewal round.
        number: RoundNumber,
    },
    /// A witness promises not to state a lapse for one lease time.
    Promise {
        /// The witness, which sends the message.
        witness: Incarnation,
        /// The lease holder, which receives it.
        holder: Incarnation,
        /// Version of the witness set that the witness acknowledges.
        set_version: Version,
        /// The renewal round that this is the response to.
        number: RoundNumber,
    },
    /// A witness has already stated the holder's lapse and will make it no
    /// more promises.
    Refusal {
        /// The witness, which sends the message.
        witness: Incarnation,
        /// The lease holder, which receives it.
        holder: Incarnation,
        /// The next log offset that the witness will fold.
        next_offset: Offset,
    },
    /// A witness states that its last promise to the subject has expired and
    /// that it will make no more promises to it. This is irrevocable.
    Lapsed {
        /// The witness, which sends the message.
        witness: Incarnation,
        /// The holder whose promise expired.
        subject: Incarnation,
        /// Version of the newest witness set that the witness acknowledged to
        /// the subject; 0 if none.
        set_version: Version,
        /// Version of the newest witness set that the witness knew to be
        /// active for the subject; 0 if none.
        active: Version,
    },
    /// A lapse certificate, forwarded to members that may have missed a
    /// statement.
    Certified(LapseCertificate),
    /// A holder has irrevocably resigned positions.
    Resigned {
        /// The holder that resigned, which sends the message.
        holder: Incarnation,
        /// The chains, with the resigned epoch of each.
        positions: Vec<(ChainKey, Epoch)>,
    },
}

impl OwnershipMessage {
    /// Returns the incarnation that the message is addressed to; `None` if
    /// every member handles it.
    pub fn addressee(&self) -> Option<Incarnation> {
        match self {
            Self::Renew { witness, .. } => Some(*witness),
            Self::Promise { holder, .. } | Self::Refusal { holder, .. } => Some(*holder),
            Self::Lapsed { .. } | Self::Certified(_) | Self::Resigned { .. } => None,
        }
    }
}
