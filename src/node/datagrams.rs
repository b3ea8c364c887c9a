//! The datagrams of a process, and the parts that they are for.

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

/// Any datagram between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum NodeDatagram {
    /// Leases and succession.
    Ownership(OwnershipMessage),
    /// The planner lives.
    Heartbeat(PlannerHeartbeat),
    /// Planned moves.
    Handover(HandoverMessage),
    /// The log has entries below this offset: worth a read.
    LogHint(Offset),
    /// An owner's load, for the planner.
    Load(LoadSummary),
}

/// A datagram while it is sent, without a copy of what it holds.
#[derive(Debug)]
#[derive(Serialize)]
enum SentDatagram<'a> {
    Ownership(&'a OwnershipMessage),
    Heartbeat(PlannerHeartbeat),
    Handover(HandoverMessage),
    LogHint(Offset),
    Load(&'a LoadSummary),
}

/// Sends the datagrams of every part.
#[derive(Debug, Clone)]
pub struct NodeSender {
    socket: DatagramSocket,
    inputs: watch::Receiver<NodeInputs>,
}

impl NodeSender {
    /// Creates a sender that finds members' addresses in the inputs.
    pub fn new(socket: DatagramSocket, inputs: watch::Receiver<NodeInputs>) -> Self {
        Self { socket, inputs }
    }

    /// Tells every member that the log has entries below an offset.
    pub fn hint_log(&self, own: Incarnation, end: Offset) {
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
    /// Tells the planner an owner's load. Without a planner it is lost.
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

/// Hands each datagram to its part until `stop` fires.
#[derive(Debug)]
pub struct DatagramReceiver<O, P, H> {
    /// The socket.
    pub socket: DatagramSocket,
    /// Takes ownership messages.
    pub ownership: Address<O>,
    /// Takes planner's heartbeats.
    pub planner: Address<P>,
    /// Takes handover messages.
    pub handover: Address<H>,
    /// Reads the log on a hint.
    pub follower: FollowerHandle,
    /// Counts what was dropped.
    pub metrics: TransportMetrics,
}

impl<O, P, H> DatagramReceiver<O, P, H>
where
    O: Handler<Deliver>,
    P: Handler<PlannerHeartbeat> + Handler<LoadSummary>,
    H: Handler<HandoverDelivery>,
{
    /// Receives until `stop` fires.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                received = self.socket.receive::<NodeDatagram>() => match received {
                    Ok((from, Ok(datagram))) => self.deliver(from, datagram).await,
                    Ok((from, Err(error))) => {
                        self.metrics.undecodable_datagrams.inc();
                        log::debug!("transport: dropped a datagram from {from}: {error:?}");
                    }
                    Err(error) => log::debug!("transport: cannot receive: {error}"),
                },
            }
        }
    }

    async fn deliver(&self, from: SocketAddr, datagram: NodeDatagram) {
        // A part that has ended takes nothing more: the process is stopping.
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
