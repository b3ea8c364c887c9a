//! Sends and receives the datagrams exchanged between processes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xtra::Address;
use xtra::Handler;

use super::inputs::NodeInputs;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::handover::coordinator::HandoverDelivery;
use crate::handover::coordinator::HandoverMessage;
use crate::handover::coordinator::HandoverSender;
use crate::hotkeys::report::LoadSummary;
use crate::log::follower::FollowerHandle;
use crate::ownership::actor::DatagramSender;
use crate::ownership::actor::Deliver;
use crate::ownership::message::OwnershipMessage;
use crate::planner::actor::HeartbeatSender;
use crate::planner::actor::PlannerHeartbeat;
use crate::telemetry::metrics::TransportMetrics;
use crate::transport::datagram::DatagramSocket;

/// A datagram between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum NodeDatagram {
    /// Message of the lease and succession protocol.
    Ownership(OwnershipMessage),
    /// Heartbeat of the planner that holds the term.
    Heartbeat(PlannerHeartbeat),
    /// Message about a planned move of a chain.
    Handover(HandoverMessage),
    /// The log has entries up to this offset (exclusive). A receiver that is
    /// behind reads the log at once.
    LogHint(Offset),
    /// Load of an owner, sent to the planner.
    Load(LoadSummary),
}

/// [`NodeDatagram`] as it is sent: borrows the large payloads. The variants and
/// their order must be the same, because both have one encoding.
#[derive(Debug)]
#[derive(Serialize)]
enum SentDatagram<'a> {
    Ownership(&'a OwnershipMessage),
    Heartbeat(PlannerHeartbeat),
    Handover(HandoverMessage),
    LogHint(Offset),
    Load(&'a LoadSummary),
}

/// Sends the datagrams of every component. Clones share the socket.
#[derive(Debug, Clone)]
pub struct NodeSender {
    socket: DatagramSocket,
    inputs: watch::Receiver<NodeInputs>,
}

impl NodeSender {
    /// Creates a sender that looks up members' addresses in the folded state of
    /// `inputs`.
    pub fn new(socket: DatagramSocket, inputs: watch::Receiver<NodeInputs>) -> Self {
        Self { socket, inputs }
    }

    /// Sends a log hint to every other member: the log has entries up to `end`
    /// (exclusive).
    pub fn announce_log_end(&self, own: Incarnation, end: Offset) {
        let state = Arc::clone(&self.inputs.borrow().state);
        for (incarnation, member) in &state.members {
            if *incarnation != own {
                self.socket
                    .send(member.info.peer_address, &SentDatagram::LogHint(end));
            }
        }
    }
}

impl NodeSender {
    /// Sends an owner's load to the planner. Does nothing if no member holds the
    /// planner's term.
    pub fn report_load(&self, summary: &LoadSummary) {
        let planner = {
            let state = &self.inputs.borrow().state;
            let planner = state
                .planner
                .and_then(|planner| state.members.get(&planner));
            planner.map(|member| member.info.peer_address)
        };
        if let Some(address) = planner {
            self.socket.send(address, &SentDatagram::Load(summary));
        }
    }
}

impl DatagramSender for NodeSender {
    fn send(&self, to: SocketAddr, message: &OwnershipMessage) {
        self.socket.send(to, &SentDatagram::Ownership(message));
    }
}

impl HeartbeatSender for NodeSender {
    fn send(&self, to: SocketAddr, heartbeat: PlannerHeartbeat) {
        self.socket.send(to, &SentDatagram::Heartbeat(heartbeat));
    }
}

impl HandoverSender for NodeSender {
    fn send(&self, to: Incarnation, message: HandoverMessage) {
        let address = {
            let inputs = self.inputs.borrow();
            inputs
                .state
                .members
                .get(&to)
                .map(|member| member.info.peer_address)
        };
        if let Some(address) = address {
            self.socket.send(address, &SentDatagram::Handover(message));
        }
    }
}

/// Receives datagrams and dispatches them to the components.
#[derive(Debug)]
pub struct DatagramReceiver<O, P, H> {
    /// Socket on which other processes' datagrams arrive.
    pub socket: DatagramSocket,
    /// Receives ownership messages.
    pub ownership: Address<O>,
    /// Receives planner heartbeats and load reports.
    pub planner: Address<P>,
    /// Receives handover messages.
    pub handover: Address<H>,
    /// Reads the log when a hint arrives.
    pub follower: FollowerHandle,
    /// Counts datagrams that cannot be decoded.
    pub metrics: TransportMetrics,
}

impl<O, P, H> DatagramReceiver<O, P, H>
where
    O: Handler<Deliver>,
    P: Handler<PlannerHeartbeat> + Handler<LoadSummary>,
    H: Handler<HandoverDelivery>,
{
    /// Receives until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                received = self.socket.receive::<NodeDatagram>() => match received {
                    Ok((from, Ok(datagram))) => self.deliver(from, datagram).await,
                    Ok((from, Err(error))) => {
                        self.metrics.undecodable_datagrams.inc();
                        log::debug!("transport: dropped a datagram from {from} that cannot be decoded: {error:?}");
                    }
                    Err(error) => log::debug!("transport: cannot receive a datagram: {error}"),
                },
            }
        }
    }

    async fn deliver(&self, from: SocketAddr, datagram: NodeDatagram) {
        // Sending to an actor fails only after the actor has stopped, which
        // happens when the process stops; the datagram is then dropped.
        match datagram {
            NodeDatagram::Ownership(message) => {
                drop(
                    self.ownership
                        .send(Deliver { from, message })
                        .detach()
                        .await,
                );
            }
            NodeDatagram::Heartbeat(heartbeat) => drop(self.planner.send(heartbeat).detach().await),
            NodeDatagram::Handover(message) => {
                drop(self.handover.send(HandoverDelivery(message)).detach().await);
            }
            NodeDatagram::LogHint(end) => self.follower.wake_if_behind(end),
            NodeDatagram::Load(summary) => drop(self.planner.send(summary).detach().await),
        }
    }
}
