//! A directory that all machines share, with compare-and-set on one version.

use std::sync::Arc;

use sumacdrift_ledger::GroupMap;
use sumacdrift_storage::{
    DirectoryError, DirectoryFuture, DirectoryView, GroupDirectory, Registration, Retirement, Revision,
    StoredMap,
};
use tokio::sync::watch;

#[derive(Clone)]
pub struct SharedDirectory(Arc<watch::Sender<DirectoryView>>);

impl Default for SharedDirectory {
    fn default() -> Self {
        let view = DirectoryView { is_known: true, ..DirectoryView::default() };
        Self(Arc::new(watch::Sender::new(view)))
    }
}

impl SharedDirectory {
    pub fn map(&self) -> GroupMap {
        self.0.borrow().map.as_ref().map(|stored| stored.map.clone()).unwrap_or_default()
    }

    pub fn ask_to_retire(&self, retirement: Retirement) {
        self.0.send_modify(|view| view.retirements.push(retirement));
    }

    pub fn is_retired(&self, node: &str) -> bool {
        let view = self.0.borrow();
        view.retirements.iter().any(|retirement| retirement.node == node && retirement.is_completed)
    }
}

impl GroupDirectory for SharedDirectory {
    fn view(&self) -> watch::Receiver<DirectoryView> {
        self.0.subscribe()
    }

    fn register(&self, registration: Registration) -> DirectoryFuture<'_, ()> {
        self.0.send_modify(|view| view.registered.push(registration));
        Box::pin(async { Ok(()) })
    }

    fn replace_map(&self, map: GroupMap, expected: Option<Revision>) -> DirectoryFuture<'_, ()> {
        let is_changed = self.0.send_if_modified(|view| {
            let known = view.map.as_ref().map(|stored| stored.revision);
            if known != expected {
                return false;
            }
            view.map = Some(StoredMap { map, revision: known.unwrap_or_default() + 1 });
            true
        });
        Box::pin(async move { if is_changed { Ok(()) } else { Err(DirectoryError::Conflict) } })
    }

    fn report_retirement(&self, node: String, is_completed: bool) -> DirectoryFuture<'_, ()> {
        self.0.send_if_modified(|view| {
            let mut asked = view.retirements.iter_mut().filter(|retirement| retirement.node == node);
            let news = asked.find(|retirement| retirement.is_completed != is_completed);
            news.is_some_and(|retirement| {
                (retirement.is_completed, retirement.revision) = (is_completed, retirement.revision + 1);
                true
            })
        });
        Box::pin(async { Ok(()) })
    }
}
