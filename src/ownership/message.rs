//! The datagrams that holders, witnesses and successors exchange.
//!
//! Every message names incarnations. One that is addressed to another
//! incarnation than the receiver's is dropped: a restarted process remembers
//! nothing of what its predecessor promised.

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::Version;
use crate::state::record::ChainKey;
use crate::state::record::LapseCertificate;

/// Number of a holder's renewal round.
pub type RoundNumber = u64;

/// One datagram of the ownership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum OwnershipMessage {
    /// A holder asks a witness for a fresh promise.
    Renew {
        /// Who asks.
        holder: Incarnation,
        /// Who is asked.
        witness: Incarnation,
        /// The newest witness set that the holder knows. The witness
        /// acknowledges it by answering.
        set_version: Version,
        /// The witness set that the holder's lease rests on.
        active: Version,
        /// The renewal round.
        number: RoundNumber,
    },
    /// A witness promises to state no lapse for one lease time.
    Promise {
        /// Who promises.
        witness: Incarnation,
        /// To whom.
        holder: Incarnation,
        /// The acknowledged witness set.
        set_version: Version,
        /// The round that is answered.
        number: RoundNumber,
    },
    /// A witness has stated the holder's lapse and never promises again.
    Refusal {
        /// Who refuses.
        witness: Incarnation,
        /// Whom.
        holder: Incarnation,
        /// The next offset that the witness is going to fold.
        next_offset: Offset,
    },
    /// A witness states, for good, that it will not promise to the subject
    /// any more and that its last promise has run out.
    Lapsed {
        /// Who states it.
        witness: Incarnation,
        /// Whose promise ran out.
        subject: Incarnation,
        /// The newest witness set that the witness acknowledged to the
        /// subject; 0 if none.
        set_version: Version,
        /// The newest witness set on which the subject's lease was known to
        /// rest; 0 if none.
        active: Version,
    },
    /// A certificate, passed on.
    Certified(LapseCertificate),
    /// A holder has resigned positions, for good.
    Resigned {
        /// Who resigned.
        holder: Incarnation,
        /// The chains with the holder's epoch in each.
        positions: Vec<(ChainKey, Epoch)>,
    },
}

impl OwnershipMessage {
    /// Returns the incarnation that the message is addressed to; none if it
    /// is for everyone.
    pub fn addressee(&self) -> Option<Incarnation> {
        match self {
            Self::Renew { witness, .. } => Some(*witness),
            Self::Promise { holder, .. } | Self::Refusal { holder, .. } => Some(*holder),
            Self::Lapsed { .. } | Self::Certified(_) | Self::Resigned { .. } => None,
        }
    }
}
