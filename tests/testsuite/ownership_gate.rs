//! The gate admits a request only while the process owns the chain and its
//! lease is live.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::ownership::gate::ClockSource;
use buckthornwinch::ownership::gate::FencingToken;
use buckthornwinch::ownership::gate::GateView;
use buckthornwinch::ownership::gate::LeaseGate;
use buckthornwinch::ownership::gate::OwnershipGate;
use buckthornwinch::ownership::timing::ClockReading;
use winch_test_support::fleet::at;
use winch_test_support::fleet::millis;
use winch_test_support::records::slice;

const MAX_TICK_GAP: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Default)]
struct FakeClock(Arc<AtomicU64>);

impl ClockSource for FakeClock {
    fn read(&self) -> ClockReading {
        at(self.0.load(Ordering::Relaxed))
    }
}

/// Returns a gate whose view, published at 100 ms, has slice 0 at epoch 7.
fn gate_of_slice_0(remaining: u64, draining: bool) -> (FakeClock, LeaseGate<FakeClock>) {
    let clock = FakeClock::default();
    let gate = LeaseGate::new(clock.clone(), MAX_TICK_GAP);
    gate.publish(GateView {
        table: Arc::new(std::iter::once((slice(0), 7)).collect()),
        read_at: at(100),
        remaining: millis(remaining),
        draining,
    });
    (clock, gate)
}

#[test]
fn a_new_gate_admits_nothing() {
    let gate = LeaseGate::new(FakeClock::default(), MAX_TICK_GAP);

    assert_eq!(gate.admit(&slice(0)), Err(ErrorKind::NotOwner));
}

#[test]
fn the_token_has_the_epoch_and_the_end_of_the_lease() {
    let (clock, gate) = gate_of_slice_0(600, false);
    clock.0.store(150, Ordering::Relaxed);

    let token = gate.admit(&slice(0));

    let expected = FencingToken {
        epoch: 7,
        expires_at: SystemTime::UNIX_EPOCH + at(700).wall,
    };
    assert_eq!(token, Ok(expected));
}

#[test]
fn a_chain_that_is_not_served_is_rejected() {
    let (_, gate) = gate_of_slice_0(600, false);

    assert_eq!(gate.admit(&slice(1)), Err(ErrorKind::NotOwner));
}

#[test]
fn the_gate_closes_when_the_lease_expires() {
    let (clock, gate) = gate_of_slice_0(200, false);

    clock.0.store(299, Ordering::Relaxed);
    let before = gate.admit(&slice(0));
    clock.0.store(300, Ordering::Relaxed);

    assert!(matches!(before, Ok(token) if token.epoch == 7));
    assert_eq!(gate.admit(&slice(0)), Err(ErrorKind::LeaseLapsed));
}

#[test]
fn the_gate_closes_on_a_gap_in_ticks_while_the_lease_is_live() {
    let (clock, gate) = gate_of_slice_0(600, false);

    clock.0.store(351, Ordering::Relaxed);

    assert_eq!(gate.admit(&slice(0)), Err(ErrorKind::LeaseLapsed));
}

#[test]
fn a_draining_process_admits_nothing() {
    let (clock, gate) = gate_of_slice_0(600, true);

    clock.0.store(150, Ordering::Relaxed);

    assert_eq!(gate.admit(&slice(0)), Err(ErrorKind::Draining));
}
