//! Log records for tests, and random histories of them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::base::ids::Version;
use buckthornwinch::declarations::Declaration;
use buckthornwinch::declarations::DivisionMode;
use buckthornwinch::declarations::ServiceDeclaration;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::ChainAppend;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::state::record::ChainSubject;
use buckthornwinch::state::record::ChangeRecord;
use buckthornwinch::state::record::EndProof;
use buckthornwinch::state::record::LapseCertificate;
use buckthornwinch::state::record::LogBatch;
use buckthornwinch::state::record::LogRecord;
use buckthornwinch::state::record::MemberInfo;
use buckthornwinch::state::record::UpstreamInfo;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Name of the service in the test records.
pub const SERVICE: &str = "catalogue";

/// Returns the loopback address with a port.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns the announced information of an incarnation of node `node`: 20 slots,
/// 130 connections, and a failure domain that is one of three.
pub fn member_info(node: u16, incarnation: Incarnation) -> MemberInfo {
    MemberInfo {
        node: format!("node-{node}").into(),
        incarnation,
        peer_address: address(2000 + node),
        caller_address: address(3000 + node),
        operator_address: address(4000 + node),
        domain: format!("domain-{}", node % 3).into(),
        region: "region-0".into(),
        upstream: UpstreamInfo {
            service: SERVICE.into(),
            address: address(5000 + node),
            slots: 20,
            connections: 130,
            checks_fence: true,
            accepts_cancel: true,
            max_request_duration: Duration::from_secs(1),
            cold_start: Duration::from_millis(100),
        },
    }
}

/// Returns the join record of an incarnation.
pub fn join(node: u16, incarnation: Incarnation) -> LogRecord {
    LogRecord::Join(Box::new(member_info(node, incarnation)))
}

/// Returns the declaration of the service [`SERVICE`], divided by key.
pub fn service(slices: u16, max_body: u32) -> Declaration {
    Declaration::Service(ServiceDeclaration {
        name: SERVICE.into(),
        slices,
        division: DivisionMode::Key,
        max_body_bytes: max_body,
    })
}

/// Returns the record of a change by `operator-1` that is based on version
/// `base`.
pub fn change(id: &str, base: Version, declaration: Declaration) -> LogRecord {
    LogRecord::Change(Box::new(ChangeRecord {
        change: id.into(),
        operator: "operator-1".into(),
        object: declaration.key(),
        base_version: base,
        declaration: Some(declaration),
    }))
}

/// Returns the key of a slice's chain.
pub fn slice(index: u16) -> ChainKey {
    ChainKey {
        service: SERVICE.into(),
        subject: ChainSubject::Slice(index),
    }
}

/// Returns the key of a single key's chain.
pub fn key(hash: u64) -> ChainKey {
    ChainKey {
        service: SERVICE.into(),
        subject: ChainSubject::Key(hash),
    }
}

/// Returns a batch of records by `author`.
pub fn batch(author: Incarnation, sequence: u64, records: Vec<LogRecord>) -> LogBatch {
    LogBatch {
        author,
        sequence,
        records,
    }
}

const NODES: u16 = 6;
const RESTARTS: u64 = 4;
const SLICES: u16 = 4;
const KEYS: u64 = 3;

/// Returns a random history of `length` batches. Most records are based on the
/// state before them; some are stale or not allowed.
pub fn random_history(seed: u64, length: usize) -> Vec<LogBatch> {
    let mut history = HistoryBuilder {
        random: SmallRng::seed_from_u64(seed),
        state: FoldedState::default(),
        sequences: vec![0; usize::from(NODES) * RESTARTS as usize],
    };
    (0..length).map(|_| history.next_batch()).collect()
}

struct HistoryBuilder {
    random: SmallRng,
    state: FoldedState,
    sequences: Vec<u64>,
}

impl HistoryBuilder {
    fn next_batch(&mut self) -> LogBatch {
        let (node, author) = self.any_incarnation();
        let index = usize::from(node) * RESTARTS as usize + (author / 100 - 1) as usize;
        self.sequences[index] += 1;
        let mut records = Vec::new();
        if !self.state.members.contains_key(&author) {
            records.push(join(node, author));
        }
        for _ in 0..self.random.random_range(1..4) {
            records.push(self.any_record(author));
        }
        let batch = batch(author, self.sequences[index], records);
        self.state.apply(self.state.next, &batch);
        batch
    }

    /// Returns a node and one of its incarnations, usually the newest.
    /// Incarnations are `100 * restart + node`, with restarts from 1.
    fn any_incarnation(&mut self) -> (u16, Incarnation) {
        let node = self.random.random_range(0..NODES);
        let newest = (self.state.next / 20 + 1).min(RESTARTS);
        let restart = if self.random.random_bool(0.1) {
            self.random.random_range(1..=RESTARTS)
        } else {
            newest
        };
        (node, restart * 100 + u64::from(node))
    }

    fn any_record(&mut self, author: Incarnation) -> LogRecord {
        let stale = u64::from(self.random.random_bool(0.1));
        let term = self.state.term.saturating_sub(stale);
        let member = self.any_incarnation().1;
        match self.random.random_range(0..20) {
            0 => LogRecord::Drain { member },
            1 => LogRecord::Ended {
                member,
                proof: EndProof::Certificate(self.certificate_of(member)),
            },
            2 => LogRecord::Ended {
                member: author,
                proof: EndProof::Left,
            },
            3 => LogRecord::Ended {
                member,
                proof: EndProof::DeclaredLost {
                    operator: "operator-2".into(),
                    change: format!("lost-{}", self.random.random_range(0..30)).into(),
                },
            },
            4..7 => LogRecord::Claim { term: term + 1 },
            7..9 => self.any_witnesses(term, member, stale),
            9..13 => self.any_assign(term, stale),
            13..16 => self.any_resign(author),
            16 => LogRecord::Merge {
                term,
                chains: (0..KEYS).map(key).collect(),
            },
            _ => self.any_change(stale),
        }
    }

    fn certificate_of(&mut self, member: Incarnation) -> LapseCertificate {
        let set = self
            .state
            .members
            .get(&member)
            .map(|member| member.witnesses.clone())
            .unwrap_or_default();
        let witnesses = set.members.iter().copied();
        LapseCertificate {
            subject: member,
            set_version: set.version,
            witnesses: witnesses.take(self.random.random_range(0..4)).collect(),
        }
    }

    fn any_witnesses(&mut self, term: u64, member: Incarnation, stale: u64) -> LogRecord {
        let version = self
            .state
            .members
            .get(&member)
            .map_or(0, |member| member.witnesses.version);
        let mut others = self.live();
        others.retain(|other| *other != member);
        others.truncate(3);
        LogRecord::Witnesses {
            term,
            member,
            version: version + 1 - stale,
            witnesses: others,
        }
    }

    fn live(&self) -> Vec<Incarnation> {
        self.state.members.keys().copied().collect()
    }

    fn any_chain(&mut self) -> ChainKey {
        if self.random.random_bool(0.3) {
            key(self.random.random_range(0..KEYS))
        } else {
            slice(self.random.random_range(0..SLICES))
        }
    }

    fn any_assign(&mut self, term: u64, stale: u64) -> LogRecord {
        let live = self.live();
        let appends = (0..self.random.random_range(1..4))
            .map(|_| {
                let chain = self.any_chain();
                let count = self.random.random_range(1..3);
                let holders = (0..count)
                    .map(|_| match live.len() {
                        0 => 1,
                        length => live[self.random.random_range(0..length)],
                    })
                    .collect();
                ChainAppend {
                    first_epoch: self.state.next_epoch_of(&chain).unwrap_or(0) + stale,
                    chain,
                    holders,
                    supersedes: self.random.random_bool(0.2),
                }
            })
            .collect();
        LogRecord::Assign { term, appends }
    }

    fn any_resign(&mut self, author: Incarnation) -> LogRecord {
        let positions = self
            .state
            .chains
            .iter()
            .flat_map(|(key, chain)| {
                (chain.first_epoch..)
                    .zip(&chain.entries)
                    .filter(|(_, entry)| entry.holder == author)
                    .map(move |(epoch, _)| (key.clone(), epoch))
            })
            .take(self.random.random_range(1..4))
            .collect();
        LogRecord::Resign { positions }
    }

    fn any_change(&mut self, stale: u64) -> LogRecord {
        let declaration = service(SLICES, self.random.random_range(1..1000));
        let version = self
            .state
            .objects
            .get(&declaration.key())
            .map_or(0, |object| object.version);
        let id = format!("change-{}", self.random.random_range(0..200));
        change(&id, version.saturating_sub(stale), declaration)
    }
}
