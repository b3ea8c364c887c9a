//! Binds the sockets of a process.

use std::net::SocketAddr;

use eyre::WrapErr;
use tokio::net::TcpListener;

use crate::settings::NodeSettings;
use crate::transport::datagram::DatagramSocket;

pub(super) struct NodeListeners {
    pub(super) callers: TcpListener,
    pub(super) peers: TcpListener,
    pub(super) local: TcpListener,
    pub(super) operators: TcpListener,
    pub(super) datagrams: DatagramSocket,
}

impl NodeListeners {
    pub(super) async fn bind(settings: &NodeSettings) -> eyre::Result<Self> {
        let addresses = &settings.addresses;
        Ok(Self {
            callers: bind("callers", addresses.callers).await?,
            peers: bind("peers", addresses.peers).await?,
            local: bind("local", addresses.local).await?,
            operators: bind("operators", addresses.operators).await?,
            datagrams: DatagramSocket::bind(addresses.peers)
                .await
                .wrap_err_with(|| cannot_bind("peers", addresses.peers))?,
        })
    }
}

async fn bind(field: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| cannot_bind(field, address))
}

fn cannot_bind(field: &str, address: SocketAddr) -> String {
    format!("cannot bind addresses.{field} {address}; free the address or set another")
}
