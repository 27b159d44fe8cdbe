//! A directory shared by all machines, with compare-and-set on one revision.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sumacdrift_ledger::GroupMap;
use sumacdrift_storage::{
    DirectoryError, DirectoryFuture, DirectoryView, GroupDirectory, Registration, Retirement, Revision,
    StoredMap,
};
use tokio::sync::watch;

#[derive(Clone)]
pub struct SharedDirectory {
    view: Arc<watch::Sender<DirectoryView>>,
    loses_replies: Arc<AtomicBool>,
}

impl Default for SharedDirectory {
    fn default() -> Self {
        let view = DirectoryView { is_known: true, ..DirectoryView::default() };
        Self { view: Arc::new(watch::Sender::new(view)), loses_replies: Arc::default() }
    }
}

impl SharedDirectory {
    pub fn map(&self) -> GroupMap {
        self.view.borrow().map.as_ref().map(|stored| stored.map.clone()).unwrap_or_default()
    }

    /// While set, changes of the groups are applied but reported as failed.
    pub fn set_replies_lost(&self, is_lossy: bool) {
        self.loses_replies.store(is_lossy, Ordering::Relaxed);
    }

    pub fn request_retirement(&self, retirement: Retirement) {
        self.view.send_modify(|view| view.retirements.push(retirement));
    }

    pub fn is_retired(&self, node: &str) -> bool {
        let view = self.view.borrow();
        view.retirements.iter().any(|retirement| retirement.node == node && retirement.is_completed)
    }
}

impl GroupDirectory for SharedDirectory {
    fn view(&self) -> watch::Receiver<DirectoryView> {
        self.view.subscribe()
    }

    fn register(&self, registration: Registration) -> DirectoryFuture<'_, ()> {
        self.view.send_modify(|view| view.registered.push(registration));
        Box::pin(async { Ok(()) })
    }

    fn replace_map(&self, map: GroupMap, expected: Option<Revision>) -> DirectoryFuture<'_, ()> {
        let is_changed = self.view.send_if_modified(|view| {
            let known = view.map.as_ref().map(|stored| stored.revision);
            if known != expected {
                return false;
            }
            view.map = Some(StoredMap { map, revision: known.unwrap_or_default() + 1 });
            true
        });
        let outcome = match is_changed {
            true if self.loses_replies.load(Ordering::Relaxed) => {
                Err(DirectoryError::Unavailable("the answer is lost".to_owned()))
            }
            true => Ok(()),
            false => Err(DirectoryError::Conflict),
        };
        Box::pin(async { outcome })
    }

    fn report_retirement(&self, node: String, is_completed: bool) -> DirectoryFuture<'_, ()> {
        self.view.send_if_modified(|view| {
            let mut asked = view.retirements.iter_mut().filter(|retirement| retirement.node == node);
            let changed = asked.find(|retirement| retirement.is_completed != is_completed);
            changed.is_some_and(|retirement| {
                (retirement.is_completed, retirement.revision) = (is_completed, retirement.revision + 1);
                true
            })
        });
        Box::pin(async { Ok(()) })
    }
}

/// The directory as seen by a machine that learns of each change late; its own changes are made at once.
pub struct LaggingDirectory {
    pub directory: SharedDirectory,
    pub lag: Duration,
}

impl GroupDirectory for LaggingDirectory {
    fn view(&self) -> watch::Receiver<DirectoryView> {
        let mut source = self.directory.view();
        let (sender, receiver) = watch::channel(source.borrow_and_update().clone());
        let lag = self.lag;
        tokio::spawn(async move {
            while source.changed().await.is_ok() && !sender.is_closed() {
                tokio::time::sleep(lag).await;
                sender.send_replace(source.borrow_and_update().clone());
            }
        });
        receiver
    }

    fn register(&self, registration: Registration) -> DirectoryFuture<'_, ()> {
        self.directory.register(registration)
    }

    fn replace_map(&self, map: GroupMap, expected: Option<Revision>) -> DirectoryFuture<'_, ()> {
        self.directory.replace_map(map, expected)
    }

    fn report_retirement(&self, node: String, is_completed: bool) -> DirectoryFuture<'_, ()> {
        self.directory.report_retirement(node, is_completed)
    }
}
