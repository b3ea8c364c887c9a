//! The lease actor sends messages, publishes the gate and the view, and queues
//! certificates for the log as the machine's output requires.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::base::timer::TimerTick;
use buckthornwinch::ownership::actor::CloseGate;
use buckthornwinch::ownership::actor::DatagramSender;
use buckthornwinch::ownership::actor::Deliver;
use buckthornwinch::ownership::actor::LeaseActor;
use buckthornwinch::ownership::actor::ResignPositions;
use buckthornwinch::ownership::actor::StateChanged;
use buckthornwinch::ownership::gate::ClockSource;
use buckthornwinch::ownership::gate::LeaseGate;
use buckthornwinch::ownership::gate::OwnershipGate;
use buckthornwinch::ownership::holder::EndCause;
use buckthornwinch::ownership::message::OwnershipMessage;
use buckthornwinch::ownership::timing::ClockReading;
use buckthornwinch::ownership::view::OwnershipView;
use buckthornwinch::state::record::LapseCertificate;
use buckthornwinch::telemetry::metrics::MetricRegistry;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::at;
use winch_test_support::fleet::incarnation;
use winch_test_support::fleet::millis;
use winch_test_support::records::address;
use winch_test_support::records::slice;

#[derive(Debug, Clone, Default)]
struct FakeClock(Arc<AtomicU64>);

impl ClockSource for FakeClock {
    fn read(&self) -> ClockReading {
        at(self.0.load(Ordering::Relaxed))
    }
}

#[derive(Debug, Clone, Default)]
struct FakeSender(Arc<Mutex<Vec<(SocketAddr, OwnershipMessage)>>>);

impl FakeSender {
    fn take(&self) -> Vec<(SocketAddr, OwnershipMessage)> {
        std::mem::take(&mut *self.0.lock().expect("a lock"))
    }
}

impl DatagramSender for FakeSender {
    fn send(&self, to: SocketAddr, message: &OwnershipMessage) {
        self.0.lock().expect("a lock").push((to, message.clone()));
    }
}

/// A running actor of node 2, with its inputs and outputs.
struct ActorFixture {
    address: xtra::Address<LeaseActor<FakeClock, FakeSender>>,
    clock: FakeClock,
    sender: FakeSender,
    gate: LeaseGate<FakeClock>,
    view: watch::Receiver<Arc<OwnershipView>>,
    appends: mpsc::Receiver<LapseCertificate>,
}

impl ActorFixture {
    fn start() -> Self {
        let clock = FakeClock::default();
        let sender = FakeSender::default();
        let (append_sender, appends) = mpsc::channel(8);
        let actor = LeaseActor::builder()
            .incarnation(incarnation(2))
            .clock(clock.clone())
            .sender(sender.clone())
            .appends(append_sender)
            .metrics(MetricRegistry::default().ownership)
            .build();
        let gate = actor.gate();
        let view = actor.view();
        let (address, mailbox) = xtra::Mailbox::bounded(8);
        tokio::spawn(xtra::run(mailbox, actor));
        Self {
            address,
            clock,
            sender,
            gate,
            view,
            appends,
        }
    }

    /// Starts the actor in a fleet in which nodes 1, 2 and 3 hold slice 0 in
    /// this order, and nodes 3, 4 and 5 are the actor's witnesses.
    async fn in_fleet() -> Self {
        let mut log = FleetLog::with_nodes(5);
        log.name_witnesses(1, &[3, 4, 5]);
        log.name_witnesses(2, &[3, 4, 5]);
        log.assign(&slice(0), &[1, 2, 3]);
        let fixture = Self::start();
        fixture.send(StateChanged(log.shared())).await;
        fixture
    }

    async fn send<M>(&self, message: M)
    where
        M: Send + 'static,
        LeaseActor<FakeClock, FakeSender>: xtra::Handler<M, Return = ()>,
    {
        self.address.send(message).await.expect("a running actor");
    }

    async fn tick_at(&self, time: u64) {
        self.clock.0.store(time, Ordering::Relaxed);
        let tick = TimerTick {
            now: Instant::now(),
            since_last: millis(50),
        };
        self.send(tick).await;
    }

    async fn deliver(&self, message: OwnershipMessage) {
        let from = address(2003);
        self.send(Deliver { from, message }).await;
    }

    async fn promise(&self, witness: u16, number: u64) {
        self.deliver(OwnershipMessage::Promise {
            witness: incarnation(witness),
            holder: incarnation(2),
            set_version: 1,
            number,
        })
        .await;
    }

    async fn certify(&self, subject: Incarnation) {
        self.deliver(OwnershipMessage::Certified(LapseCertificate {
            subject,
            set_version: 1,
            witnesses: vec![incarnation(3), incarnation(4)],
        }))
        .await;
    }
}

#[tokio::test]
async fn a_tick_renews_with_every_witness() {
    let fixture = ActorFixture::in_fleet().await;

    fixture.tick_at(10).await;

    let addresses: Vec<SocketAddr> = fixture.sender.take().into_iter().map(|it| it.0).collect();
    assert_eq!(addresses, [address(2003), address(2004), address(2005)]);
}

#[tokio::test]
async fn a_certified_predecessor_opens_the_gate_to_a_live_successor() {
    let fixture = ActorFixture::in_fleet().await;
    fixture.tick_at(10).await;
    fixture.promise(3, 1).await;
    fixture.promise(4, 1).await;

    let before = fixture.gate.admit(&slice(0));
    fixture.certify(incarnation(1)).await;

    assert_eq!(before, Err(ErrorKind::NotOwner));
    let token = fixture.gate.admit(&slice(0)).expect("a token");
    assert_eq!(token.epoch, 1);
    let view = fixture.view.borrow().clone();
    assert!(view.ended.contains(&incarnation(1)));
    assert_eq!(view.serving[&slice(0)].epoch, 1);
    assert!(view.lease_live);
}

#[tokio::test]
async fn the_gate_stays_closed_without_a_lease() {
    let fixture = ActorFixture::in_fleet().await;

    fixture.certify(incarnation(1)).await;

    assert_eq!(fixture.gate.admit(&slice(0)), Err(ErrorKind::LeaseLapsed));
}

#[tokio::test]
async fn a_pause_closes_the_gate_until_a_fresh_renewal() {
    let fixture = ActorFixture::in_fleet().await;
    fixture.tick_at(10).await;
    fixture.promise(3, 1).await;
    fixture.promise(4, 1).await;
    fixture.certify(incarnation(1)).await;

    fixture.clock.0.store(311, Ordering::Relaxed);
    let resumed = fixture.gate.admit(&slice(0));
    fixture.promise(5, 1).await;
    let late_promise = fixture.gate.admit(&slice(0));
    fixture.tick_at(312).await;
    fixture.promise(3, 2).await;
    fixture.promise(4, 2).await;

    assert_eq!(resumed, Err(ErrorKind::LeaseLapsed));
    assert_eq!(late_promise, Err(ErrorKind::LeaseLapsed));
    assert!(fixture.gate.admit(&slice(0)).is_ok_and(|it| it.epoch == 1));
}

#[tokio::test]
async fn resigned_positions_are_closed_and_successors_told() {
    let fixture = ActorFixture::in_fleet().await;
    fixture.tick_at(10).await;
    fixture.promise(3, 1).await;
    fixture.promise(4, 1).await;
    fixture.certify(incarnation(1)).await;
    fixture.sender.take();

    let positions = vec![(slice(0), 1)];
    fixture.send(ResignPositions(positions.clone())).await;

    assert_eq!(fixture.gate.admit(&slice(0)), Err(ErrorKind::NotOwner));
    let holder = incarnation(2);
    let resigned = OwnershipMessage::Resigned { holder, positions };
    assert_eq!(fixture.sender.take(), [(address(2003), resigned)]);
}

#[tokio::test]
async fn a_process_that_leaves_admits_nothing() {
    let fixture = ActorFixture::in_fleet().await;

    fixture.send(CloseGate).await;

    assert_eq!(fixture.gate.admit(&slice(0)), Err(ErrorKind::Draining));
}

#[tokio::test]
async fn a_certified_process_ends_for_good() {
    let fixture = ActorFixture::in_fleet().await;
    fixture.tick_at(10).await;
    fixture.promise(3, 1).await;
    fixture.promise(4, 1).await;

    fixture.certify(incarnation(2)).await;
    fixture.tick_at(210).await;
    fixture.promise(3, 2).await;

    let view = fixture.view.borrow().clone();
    assert_eq!(view.end_cause, Some(EndCause::Certificate));
    assert!(!view.lease_live);
}

#[tokio::test]
async fn a_certificate_is_handed_over_when_its_witnesses_did_not_append_it() {
    let mut fixture = ActorFixture::in_fleet().await;
    fixture.certify(incarnation(1)).await;

    let at_once = fixture.appends.try_recv().is_ok();
    fixture.tick_at(30_000).await;

    assert!(!at_once);
    let certificate = fixture.appends.try_recv().expect("a certificate");
    assert_eq!(certificate.subject, incarnation(1));
}
