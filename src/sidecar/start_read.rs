//! What a sidecar reads in the store when it starts.
//!
//! Both topics are read at once, each a single time: when a whole fleet starts, what all
//! read grows with its square. A read that takes longer than the start waits for it goes
//! on, and its result is used when it arrives.

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::follow::MEMBER_PREFIX;
use crate::base::ids::Incarnation;
use crate::peers::message::MemberRecord;
use crate::store::StateStore;
use crate::store::StoreError;
use crate::store::StorePage;
use crate::store::StoreTopic;

/// Maximum wait for the store at start; after that, the sidecar starts without
/// it.
const STORE_START_TIMEOUT: Duration = Duration::from_millis(700);

/// A read of the newest records of a topic, which is in progress or has ended.
#[derive(Debug)]
pub struct StartRead {
    task: JoinHandle<Result<StorePage, StoreError>>,
    result: Option<Result<StorePage, StoreError>>,
}

impl StartRead {
    /// Begins to read the newest records of a topic.
    pub fn begin<S: StateStore>(store: &S, topic: StoreTopic) -> Self {
        let store = store.clone();
        Self {
            task: tokio::spawn(async move { store.newest(topic).await }),
            result: None,
        }
    }

    /// Waits for the result.
    ///
    /// # Errors
    ///
    /// As for [`StateStore::newest`].
    pub async fn finish(mut self) -> Result<StorePage, StoreError> {
        match self.result.take() {
            Some(result) => result,
            None => self.join().await,
        }
    }

    /// Waits for the result for a limited time; `None` if that has passed.
    async fn wait(&mut self, limit: Duration) -> Option<&Result<StorePage, StoreError>> {
        if let Ok(result) = timeout(limit, self.join()).await {
            self.result = Some(result);
        }
        self.result.as_ref()
    }

    async fn join(&mut self) -> Result<StorePage, StoreError> {
        let joined = (&mut self.task).await;
        joined.unwrap_or_else(|error| Err(StoreError::Unknown(error.to_string().into())))
    }
}

/// The reads of both topics.
#[derive(Debug)]
pub(super) struct StartReads {
    pub(super) operator: StartRead,
    pub(super) fleet: StartRead,
}

impl StartReads {
    /// Begins to read the newest records of both topics.
    pub(super) fn begin<S: StateStore>(store: &S) -> Self {
        Self {
            operator: StartRead::begin(store, StoreTopic::Operator),
            fleet: StartRead::begin(store, StoreTopic::Fleet),
        }
    }
}

/// What the store has of the last process on this node.
#[derive(Debug, Default)]
pub(super) struct FormerProcess {
    pub(super) incarnation: Option<Incarnation>,
    /// The newest records of the fleet's topic; none if they could not be read in time.
    pub(super) page: StorePage,
}

impl FormerProcess {
    /// Waits for `read` of the fleet's topic and finds the last process on `node`.
    pub(super) async fn find(read: &mut StartRead, node: &str) -> Self {
        let page = match read.wait(STORE_START_TIMEOUT).await {
            Some(Ok(page)) => page.clone(),
            Some(Err(error)) => {
                log::warn!(error:% = error; "process: cannot read the store, starting without it");
                return Self::default();
            }
            None => {
                log::warn!("process: the store did not respond in time, starting without it");
                return Self::default();
            }
        };
        let key = format!("{MEMBER_PREFIX}{node}");
        let record = page.records.iter().find(|record| *record.key == *key);
        let member =
            record.and_then(|record| postcard::from_bytes::<MemberRecord>(&record.value).ok());
        Self {
            incarnation: member.map(|member| member.incarnation),
            page,
        }
    }
}
