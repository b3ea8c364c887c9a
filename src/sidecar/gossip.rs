//! Sends status reports to peers, and receives reports, map changes and lease
//! votes from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::controller::ControllerEvent;
use super::fleet::FleetState;
use crate::admission::slot_queue::SlotGauge;
use crate::admission::slot_queue::SlotQueue;
use crate::base::boot_clock::since_boot;
use crate::peers::catch_up::OFFER_FANOUT;
use crate::peers::directory::ReportOutcome;
use crate::peers::directory::is_fresh;
use crate::peers::message::PeerDatagram;
use crate::peers::message::PeerReport;
use crate::peers::message::UpstreamGauge;
use crate::peers::message::UpstreamPhase;
use crate::quarantine::ledger::CrashRecord;
use crate::sidecar::upstream::LocalUpstreamRegistry;
use crate::transport::datagram::DatagramSocket;

/// Minimum time between two reports, even if the state changes more often.
const MIN_REPORT_GAP: Duration = Duration::from_millis(25);

/// Silent members get only one report in this many, in case they come back.
const SILENT_MEMBER_DIVISOR: u64 = 4;

/// The peers that a report goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportScope {
    /// All peers.
    All,
    /// [`OFFER_FANOUT`] random peers, to which the state is offered.
    Offer,
    /// Those that may not know this sidecar.
    Introductions,
}

/// Sends this sidecar's status reports.
#[derive(Debug)]
pub struct ReportSender {
    /// Socket to send from.
    pub socket: DatagramSocket,
    /// Source of the peers' addresses and of the reported versions.
    pub fleet: Arc<FleetState>,
    /// Slot queue whose load is reported.
    pub slots: SlotQueue,
    /// State of the local upstream.
    pub registry: LocalUpstreamRegistry,
    /// Whether this sidecar is handing over its ranges to shut down.
    pub leaving: watch::Receiver<bool>,
}

impl ReportSender {
    /// Sends reports until the process ends: to all peers at
    /// [`FleetState::report_interval`], early when the upstream or the shutdown state
    /// changes or [`FleetState::report_now`] is notified, to some peers when the
    /// configuration changes or this sidecar has caught up, with an offer of its state,
    /// and to single peers that may not know this sidecar.
    pub async fn run(self) {
        let mut sequence = 0;
        let mut upstream = self.registry.subscribe();
        let mut leaving = self.leaving.clone();
        let mut routes = self.fleet.watch_routes();
        let mut next = Instant::now();
        loop {
            let scope = tokio::select! {
                () = sleep_until(next) => ReportScope::All,
                () = self.fleet.report_now.notified() => ReportScope::All,
                Ok(()) = upstream.changed() => ReportScope::All,
                Ok(()) = leaving.changed() => ReportScope::All,
                Ok(()) = routes.changed() => ReportScope::Offer,
                () = self.fleet.offer_state.notified() => ReportScope::Offer,
                () = self.fleet.introduce_now.notified() => ReportScope::Introductions,
            };
            sequence += 1;
            self.send(sequence, scope);
            let sent = Instant::now();
            if scope == ReportScope::All {
                next = sent + self.fleet.report_interval();
            }
            sleep_until(sent + MIN_REPORT_GAP).await;
        }
    }

    fn send(&self, sequence: u64, scope: ReportScope) {
        let versions = self.fleet.versions();
        let short = PeerReport {
            incarnation: self.fleet.own().incarnation,
            member: None,
            sequence,
            gauge: self.gauge(),
            configuration: versions.configuration,
            map: versions.map,
            evacuations: versions.evacuations,
            era: self.fleet.newest_era(),
            leaving: *self.leaving.borrow(),
            restricted: self.fleet.quarantine.restricted(),
            departures: self.registry.departures().entries(),
        };
        let long = PeerReport {
            member: Some(self.fleet.own().clone()),
            ..short.clone()
        };
        let datagram = |report| match scope {
            ReportScope::Offer => PeerDatagram::Offer(Box::new(report)),
            ReportScope::All | ReportScope::Introductions => PeerDatagram::Report(Box::new(report)),
        };
        let (short, long) = (datagram(short), datagram(long));
        let recipients = match scope {
            ReportScope::All => self.recipients(sequence),
            ReportScope::Offer => {
                let mut all = self.recipients(sequence);
                all.shuffle(&mut rand::rng());
                all.truncate(OFFER_FANOUT);
                all
            }
            ReportScope::Introductions => {
                let addresses = self.fleet.take_introductions();
                addresses
                    .into_iter()
                    .map(|address| (address, false))
                    .collect()
            }
        };
        for (address, has_reported) in recipients {
            let report = if has_reported { &short } else { &long };
            self.socket.send(address, report);
        }
    }

    /// Returns the peers to send report `sequence` to, and for each whether it
    /// has sent a report itself: if so, it most likely knows this sidecar's
    /// member record.
    fn recipients(&self, sequence: u64) -> Vec<(SocketAddr, bool)> {
        let now = since_boot();
        let interval = self.fleet.report_interval();
        let directory = self.fleet.directory();
        let recipients = directory.peers().filter(|peer| {
            sequence.is_multiple_of(SILENT_MEMBER_DIVISOR)
                || sequence < SILENT_MEMBER_DIVISOR
                || is_fresh(peer, now, interval)
                || peer.last_report_at().is_none()
        });
        recipients
            .map(|peer| (peer.member.address, peer.last_report_at().is_some()))
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

/// Encodes the state of an upstream and its queue for a report. Values that
/// exceed a field are clamped.
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
        rate_limit: gauge.rate_limit,
        work_micros: u32::try_from(gauge.work.as_micros()).unwrap_or(u32::MAX),
        pace_permille: gauge.pace.permille(),
    }
}

/// Receives datagrams from peers until the process ends. Reports and map
/// changes are applied to `fleet`, departures to `registry`; everything else goes to
/// `controller`.
pub async fn receive_datagrams(
    socket: DatagramSocket,
    fleet: Arc<FleetState>,
    registry: LocalUpstreamRegistry,
    controller: mpsc::Sender<ControllerEvent>,
) {
    loop {
        match socket.receive::<PeerDatagram>().await {
            Ok((from, Ok(PeerDatagram::Report(report)))) => {
                handle_report(&socket, &fleet, from, *report);
            }
            Ok((from, Ok(PeerDatagram::Offer(report)))) => {
                let (incarnation, offered) = (report.incarnation, report.versions());
                handle_report(&socket, &fleet, from, *report);
                fleet.directory().record_offer(incarnation, offered);
            }
            Ok((from, Ok(PeerDatagram::AskMember))) => {
                fleet.introduce_to(from);
            }
            Ok((_from, Ok(PeerDatagram::Crashes(records)))) => {
                merge_crashes(&fleet, &records, "news");
            }
            Ok((_from, Ok(PeerDatagram::Departures(departures)))) => {
                registry.recall_departures(&departures, "peer");
            }
            Ok((_from, Ok(PeerDatagram::MapEdited { base, at, edit }))) => {
                fleet.apply_edit(base, at, &edit);
            }
            Ok((from, Ok(datagram))) => {
                // Dropping is safe: the network may lose datagrams too, so
                // peers repeat their requests.
                if controller
                    .try_send(ControllerEvent::Datagram(from, datagram))
                    .is_err()
                {
                    log::debug!(from:% = from; "gossip: dropped a datagram, the event queue is full");
                }
            }
            Ok((from, Err(error))) => {
                log::debug!(from:% = from, error:? = error; "gossip: dropped a datagram that cannot be decoded");
            }
            Err(error) => log::debug!(error:% = error; "gossip: cannot receive datagrams"),
        }
    }
}

fn handle_report(
    socket: &DatagramSocket,
    fleet: &FleetState,
    from: SocketAddr,
    report: PeerReport,
) {
    merge_crashes(fleet, &report.restricted, "report");
    fleet.record_newest_era(report.era);
    let (outcome, missing) = {
        let mut directory = fleet.directory();
        let missing = directory.missing_departures(&report);
        (directory.record_report(report, since_boot()), missing)
    };
    if !missing.is_empty() {
        socket.send(from, &PeerDatagram::Departures(missing));
    }
    match outcome {
        ReportOutcome::UnknownSender => socket.send(from, &PeerDatagram::AskMember),
        ReportOutcome::Unchanged => {}
        ReportOutcome::Changed => fleet.introduce_to(from),
    }
}

fn merge_crashes(fleet: &FleetState, records: &[CrashRecord], source: &str) {
    for record in records {
        fleet.quarantine.merge(*record, source);
    }
}
