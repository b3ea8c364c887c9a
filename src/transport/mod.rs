//! Connections and datagrams between processes.
