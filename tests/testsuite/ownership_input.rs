//! Arbitrary datagrams neither stop a process nor make its lease live.

use buckthornwinch::node::datagrams::NodeDatagram;
use buckthornwinch::ownership::machine::OwnershipMachine;
use buckthornwinch::ownership::message::OwnershipMessage;
use buckthornwinch::ownership::rules::SoundRules;
use buckthornwinch::ownership::timing::LeaseTiming;
use buckthornwinch::state::record::LapseCertificate;
use buckthornwinch::transport::datagram::MAX_DATAGRAM_BYTES;
use buckthornwinch::transport::datagram::decode_datagram;
use buckthornwinch::transport::datagram::encode_datagram;
use proptest::collection::vec;
use proptest::prelude::*;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::at;
use winch_test_support::fleet::incarnation;
use winch_test_support::records::slice;

/// The small ranges contain the versions, epochs and incarnations that exist in
/// the fleet under test.
fn any_number() -> impl Strategy<Value = u64> {
    prop_oneof![0..4_u64, 100..107_u64, any::<u64>()]
}

fn any_message() -> impl Strategy<Value = OwnershipMessage> {
    let n = any_number;
    prop_oneof![
        (n(), n(), n(), n(), n()).prop_map(|(holder, witness, set_version, active, number)| {
            OwnershipMessage::Renew {
                holder,
                witness,
                set_version,
                active,
                number,
            }
        }),
        (n(), n(), n()).prop_map(|(witness, holder, next_offset)| OwnershipMessage::Refusal {
            witness,
            holder,
            next_offset,
        }),
        (n(), n(), n(), n()).prop_map(|(witness, subject, set_version, active)| {
            OwnershipMessage::Lapsed {
                witness,
                subject,
                set_version,
                active,
            }
        }),
        (n(), n(), vec(n(), 0..4)).prop_map(|(subject, set_version, witnesses)| {
            OwnershipMessage::Certified(LapseCertificate {
                subject,
                set_version,
                witnesses,
            })
        }),
        (n(), vec((0..4_u16, n()), 0..4)).prop_map(|(holder, positions)| {
            let positions = positions.into_iter();
            OwnershipMessage::Resigned {
                holder,
                positions: positions.map(|it| (slice(it.0), it.1)).collect(),
            }
        }),
    ]
}

/// Maximum payload of a renewal and of its response.
const MAX_RENEWAL_BYTES: usize = 32;

#[test]
fn renewals_and_promises_stay_small() {
    let incarnation = 1 << 63;
    let number = 10_000_000;
    let renewal = OwnershipMessage::Renew {
        holder: incarnation,
        witness: incarnation,
        set_version: 100,
        active: 100,
        number,
    };
    let promise = OwnershipMessage::Promise {
        witness: incarnation,
        holder: incarnation,
        set_version: 100,
        number,
    };

    let sizes = [renewal, promise].map(|message| {
        let datagram = NodeDatagram::Ownership(message);
        encode_datagram(&datagram).expect("an encoding").len()
    });

    println!("renewal and promise: {sizes:?} bytes");
    assert!(
        sizes.iter().all(|size| *size <= MAX_RENEWAL_BYTES),
        "{sizes:?}"
    );
}

proptest! {
    #[test]
    fn any_message_is_unchanged_after_encoding_and_decoding(message in any_message()) {
        let bytes = encode_datagram(&message).expect("an encoding");

        let decoded: OwnershipMessage = decode_datagram(&bytes).expect("a message");

        prop_assert_eq!(decoded, message);
    }

    #[test]
    fn a_truncated_datagram_is_rejected(message in any_message(), cut in 1..64_usize) {
        let mut bytes = encode_datagram(&message).expect("an encoding");
        bytes.truncate(bytes.len().saturating_sub(cut));

        let decoded = decode_datagram::<OwnershipMessage>(&bytes);

        prop_assert!(decoded.is_err());
    }

    #[test]
    fn any_bytes_that_decode_can_be_encoded_again(bytes in vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES)) {
        let decoded = decode_datagram::<OwnershipMessage>(&bytes);

        if let Ok(message) = decoded {
            let bytes = encode_datagram(&message).expect("an encoding");
            prop_assert_eq!(decode_datagram(&bytes), Ok(message));
        }
    }

    #[test]
    fn messages_other_than_promises_never_make_the_lease_live(messages in vec(any_message(), 0..40)) {
        let mut log = FleetLog::with_nodes(5);
        log.name_witnesses(2, &[3, 4, 5]);
        log.assign(&slice(0), &[1, 2, 3]);
        let mut machine: OwnershipMachine<SoundRules> =
            OwnershipMachine::new(incarnation(2), LeaseTiming::default());
        machine.apply_state(log.shared(), at(0));

        for (time, message) in (0..).step_by(40).zip(messages) {
            machine.deliver(message, at(time));
            machine.tick(at(time));
        }

        prop_assert!(machine.remaining(at(10_000)).is_zero());
    }
}
