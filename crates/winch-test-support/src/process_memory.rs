//! Memory that a process uses, with the bytes that the kernel holds in its sockets.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// Memory that a process uses at one moment, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemorySample {
    /// Resident memory.
    pub resident: u64,
    /// Bytes that its sockets have received and that it has not read.
    pub unread: u64,
    /// Bytes that it has written and that the other sides have not acknowledged.
    pub unsent: u64,
}

impl MemorySample {
    /// Returns the resident memory and the unread bytes, in bytes.
    pub fn counted(self) -> u64 {
        self.resident + self.unread
    }

    /// Reads the memory of the process `id`. Connections to `listeners` that it has not
    /// accepted count as its own.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn read(id: u32, listeners: &[SocketAddr]) -> Self {
        let inodes = socket_inodes(id);
        let ports: Vec<String> = listeners
            .iter()
            .map(|address| format!("{:04X}", address.port()))
            .collect();
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
        let mut sample = Self {
            resident: resident_bytes(id),
            ..Self::default()
        };
        for line in table.lines().skip(1) {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let [_, local, _, state, queues, _, _, _, _, inode, ..] = fields[..] else {
                continue;
            };
            let port = local.rsplit(':').next().unwrap_or_default();
            let is_waiting = inode == "0" && ports.iter().any(|other| other == port);
            let is_own = inodes.contains(inode) || is_waiting;
            if state == LISTENING || !is_own {
                continue;
            }
            let (sent, received) = queues.split_once(':').expect("two queues");
            sample.unsent += u64::from_str_radix(sent, 16).expect("a number");
            sample.unread += u64::from_str_radix(received, 16).expect("a number");
        }
        sample
    }
}

/// Returns the number of sockets that the process `id` has open.
///
/// # Panics
///
/// If the process has ended.
pub fn open_sockets(id: u32) -> usize {
    socket_inodes(id).len()
}

/// Returns the highest resident memory of the process `id` so far, in bytes.
///
/// # Panics
///
/// If the process has ended.
pub fn peak_resident_bytes(id: u32) -> u64 {
    status_bytes(id, "VmHWM:")
}

fn resident_bytes(id: u32) -> u64 {
    status_bytes(id, "VmRSS:")
}

fn status_bytes(id: u32, name: &str) -> u64 {
    let path = format!("/proc/{id}/status");
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .expect("a line");
    let digits = line.trim().trim_end_matches(" kB");
    digits.parse::<u64>().expect("a number of kilobytes") * 1024
}

fn socket_inodes(id: u32) -> HashSet<String> {
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).expect("the process runs");
    descriptors
        .flatten()
        .filter_map(|entry| std::fs::read_link(entry.path()).ok())
        .filter_map(|target| {
            let target = target.to_string_lossy();
            Some(
                target
                    .strip_prefix("socket:[")?
                    .strip_suffix(']')?
                    .to_owned(),
            )
        })
        .collect()
}

/// Samples the memory of a process until it is dropped.
#[derive(Debug)]
pub struct MemoryWatch {
    counted: Arc<AtomicU64>,
    unsent: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    /// Starts to sample as [`MemorySample::read`] does.
    pub fn start(id: u32, listeners: Vec<SocketAddr>) -> Self {
        let counted = Arc::<AtomicU64>::default();
        let unsent = Arc::<AtomicU64>::default();
        let is_stopped = Arc::<AtomicBool>::default();
        let thread = std::thread::spawn({
            let counted = Arc::clone(&counted);
            let unsent = Arc::clone(&unsent);
            let is_stopped = Arc::clone(&is_stopped);
            move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    let sample = MemorySample::read(id, &listeners);
                    counted.fetch_max(sample.counted(), Ordering::Relaxed);
                    unsent.fetch_max(sample.unsent, Ordering::Relaxed);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            }
        });
        Self {
            counted,
            unsent,
            is_stopped,
            thread: Some(thread),
        }
    }

    /// Returns the most resident memory and unread bytes at one moment, in bytes.
    pub fn peak_counted(&self) -> u64 {
        self.counted.load(Ordering::Relaxed)
    }

    /// Returns the most bytes at one moment that were written and not acknowledged.
    pub fn peak_unsent(&self) -> u64 {
        self.unsent.load(Ordering::Relaxed)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        // It panics only if the process has ended, which the tests check themselves.
        drop(self.thread.take().map(JoinHandle::join));
    }
}
