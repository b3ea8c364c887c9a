//! Reports and votes between the processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::fleet::FleetState;
use super::keeper::KeeperEvent;
use crate::admission::slot_queue::SlotGauge;
use crate::admission::slot_queue::SlotQueue;
use crate::base::boot_clock::since_boot;
use crate::peers::directory::ReportOutcome;
use crate::peers::directory::is_fresh;
use crate::peers::message::PeerDatagram;
use crate::peers::message::PeerReport;
use crate::peers::message::UpstreamGauge;
use crate::peers::message::UpstreamPhase;
use crate::sidecar::upstream::LocalRegistry;
use crate::transport::datagram::DatagramSocket;

/// Least time between two reports, however much changes.
const LEAST_GAP: Duration = Duration::from_millis(25);

/// Members that have been silent are told every so many reports, in case they
/// come back.
const SILENT_TURN: u64 = 4;

/// Sends this process's reports until it ends.
#[derive(Debug)]
pub struct ReportSender {
    /// The socket.
    pub socket: DatagramSocket,
    /// Who is to be told.
    pub fleet: Arc<FleetState>,
    /// The upstream's queue.
    pub slots: SlotQueue,
    /// The upstream.
    pub registry: LocalRegistry,
    /// Whether the process is leaving.
    pub leaving: watch::Receiver<bool>,
}

impl ReportSender {
    /// Sends reports at the fleet's interval, and at once on a change.
    pub async fn run(self) {
        let mut number = 0;
        let mut upstream = self.registry.subscribe();
        let mut leaving = self.leaving.clone();
        let mut routes = self.fleet.watch_routes();
        loop {
            number += 1;
            self.send(number);
            let least = Instant::now() + LEAST_GAP;
            let next = Instant::now() + self.fleet.report_interval();
            tokio::select! {
                () = sleep_until(next) => {}
                () = self.fleet.report_now.notified() => {}
                Ok(()) = upstream.changed() => {}
                Ok(()) = leaving.changed() => {}
                Ok(()) = routes.changed() => {}
            }
            sleep_until(least).await;
        }
    }

    fn send(&self, number: u64) {
        let short = PeerReport {
            incarnation: self.fleet.own().incarnation,
            member: None,
            sequence: number,
            gauge: self.gauge(),
            configuration: self.fleet.configuration_version(),
            map: self.fleet.map().offset,
            leaving: *self.leaving.borrow(),
        };
        let long = PeerReport {
            member: Some(self.fleet.own().clone()),
            ..short.clone()
        };
        let short = PeerDatagram::Report(Box::new(short));
        let long = PeerDatagram::Report(Box::new(long));
        for (address, introduced) in self.addressees(number) {
            let report = if introduced { &short } else { &long };
            self.socket.send(address, report);
        }
    }

    /// Returns who is told, and whether it has told something itself, so that
    /// it most likely knows this process.
    fn addressees(&self, number: u64) -> Vec<(SocketAddr, bool)> {
        let now = since_boot();
        let interval = self.fleet.report_interval();
        let directory = self.fleet.directory();
        let told = directory.peers().filter(|peer| {
            number.is_multiple_of(SILENT_TURN)
                || number < SILENT_TURN
                || is_fresh(peer, now, interval)
                || peer.last_report_at().is_none()
        });
        told.map(|peer| (peer.member.address, peer.last_report_at().is_some()))
            .collect()
    }

    fn gauge(&self) -> UpstreamGauge {
        let phase = self
            .registry
            .current()
            .map_or(UpstreamPhase::Absent, |upstream| upstream.phase);
        upstream_gauge(phase, self.slots.gauge())
    }
}

/// Returns what is reported of an upstream.
pub fn upstream_gauge(phase: UpstreamPhase, gauge: SlotGauge) -> UpstreamGauge {
    let permille = |part: f32| (part * 1000.0).clamp(0.0, f32::from(u16::MAX)) as u16;
    let small = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    UpstreamGauge {
        phase,
        slots: small(gauge.slots),
        running: small(gauge.running),
        waiting: small(gauge.waiting),
        service_micros: u32::try_from(gauge.service.as_micros()).unwrap_or(u32::MAX),
        utilization_permille: permille(gauge.utilization),
        rate: gauge.rate.clamp(0.0, f32::from(u16::MAX)) as u16,
        failing_permille: permille(gauge.failure_ratio),
    }
}

/// Receives datagrams until the process ends.
pub async fn receive_datagrams(
    socket: DatagramSocket,
    fleet: Arc<FleetState>,
    keeper: mpsc::Sender<KeeperEvent>,
) {
    loop {
        match socket.receive::<PeerDatagram>().await {
            Ok((from, Ok(PeerDatagram::Report(report)))) => {
                take_report(&socket, &fleet, from, *report);
            }
            Ok((from, Ok(PeerDatagram::AskMember))) => {
                fleet.forget_heard(from);
                fleet.report_now.notify_one();
            }
            Ok((_from, Ok(PeerDatagram::MapEdited { base, at, edit }))) => {
                fleet.take_edit(base, at, &edit);
            }
            Ok((from, Ok(datagram))) => {
                // A keeper that is behind loses votes, as the network may.
                if keeper
                    .try_send(KeeperEvent::Datagram(from, datagram))
                    .is_err()
                {
                    log::debug!(from:% = from; "gossip: dropped a vote, the keeper is behind");
                }
            }
            Ok((from, Err(error))) => {
                log::debug!(from:% = from, error:? = error; "gossip: dropped a datagram");
            }
            Err(error) => log::debug!(error:% = error; "gossip: cannot receive"),
        }
    }
}

fn take_report(socket: &DatagramSocket, fleet: &FleetState, from: SocketAddr, report: PeerReport) {
    let verdict = fleet.directory().record_report(report, since_boot());
    match verdict {
        ReportOutcome::UnknownSender => socket.send(from, &PeerDatagram::AskMember),
        ReportOutcome::Unchanged => {}
        ReportOutcome::Changed => fleet.report_now.notify_one(),
    }
}
