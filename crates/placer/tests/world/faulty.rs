//! What goes wrong between one placer and everything else.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use config::{Version, raw};
use placer::{Peers, Unreached};
use platform::{Error as StoreError, Hosts, Scan, Table, Transaction};
use resource::id;
use standin::{Platform, Racks};
use tokio::sync::watch;
use wire::rpc::PlacerServer as _;
use wire::{
    Claim, ClaimOutcome, Digest, Event, FencingToken, Gang, Inventory, PlaceReply, PlaceRequest,
};
use worker::call::{
    Adopt, Adopted, Heartbeat, Hello, Report, Run, RunResult, Start, Stop, Stopped, Throttle, Void,
    Voided,
};
use worker::{Error, WorkerApi};

use super::Net;

/// Switches of one placer.
pub struct Faults {
    /// Everything it says waits until it goes on.
    paused: watch::Sender<bool>,
    /// Workers that it can't reach.
    unreached: Mutex<BTreeSet<String>>,
    /// It can't reach the table.
    no_table: watch::Sender<bool>,
    /// Its beats can't read the table; single rows can be read.
    no_beats: watch::Sender<bool>,
    /// Its connections to workers break right after a run has begun.
    breaking: watch::Sender<bool>,
    /// Answers to its orders are lost.
    losing: watch::Sender<bool>,
    /// It can't reach other placers.
    no_peers: watch::Sender<bool>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            paused: watch::Sender::new(false),
            unreached: Mutex::default(),
            no_table: watch::Sender::new(false),
            no_beats: watch::Sender::new(false),
            losing: watch::Sender::new(false),
            breaking: watch::Sender::new(false),
            no_peers: watch::Sender::new(false),
        }
    }
}

impl Faults {
    /// Pauses it: what it has decided to say is said when it goes on.
    pub fn pause(&self) {
        self.paused.send_replace(true);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.paused.send_replace(false);
    }

    /// Nothing of it reaches anybody any more.
    pub fn kill(&self) {
        self.pause();
    }

    /// Cuts it off from a worker.
    pub fn cut_worker(&self, address: &str) {
        self.unreached.lock().unwrap().insert(address.to_owned());
    }

    /// Cuts it off from the table, or not.
    pub fn cut_table(&self, cut: bool) {
        self.no_table.send_replace(cut);
    }

    /// Keeps its beats from reading the table, or not.
    pub fn cut_beats(&self, cut: bool) {
        self.no_beats.send_replace(cut);
    }

    /// Breaks its connections to workers right after a run has begun, or not.
    pub fn break_runs(&self, breaks: bool) {
        self.breaking.send_replace(breaks);
    }

    /// Loses the answers to its orders, or not.
    pub fn lose_orders(&self, loses: bool) {
        self.losing.send_replace(loses);
    }

    /// Cuts it off from other placers, or not.
    pub fn cut_peers(&self, cut: bool) {
        self.no_peers.send_replace(cut);
    }

    /// Waits until it goes on.
    pub async fn pass(&self) {
        let mut paused = self.paused.subscribe();
        drop(paused.wait_for(|paused| !paused).await);
    }

    async fn table(&self) -> Result<(), StoreError> {
        self.pass().await;
        if *self.no_table.borrow() {
            return Err(StoreError::Down {
                reason: "cut off".to_owned(),
            });
        }
        Ok(())
    }

    async fn worker(&self, address: &str) -> Result<(), Error> {
        self.pass().await;
        if self.unreached.lock().unwrap().contains(address) {
            tokio::time::sleep(worker::CALL_TIMEOUT).await;
            return Err(Error::NotSent {
                reason: "cut off".to_owned(),
            });
        }
        Ok(())
    }

    async fn peer(&self) -> Result<(), Unreached> {
        self.pass().await;
        if *self.no_peers.borrow() {
            Err(Unreached::NoAnswer)
        } else {
            Ok(())
        }
    }
}

/// Everything that one placer talks to.
pub struct Faulty {
    pub faults: Arc<Faults>,
    pub platform: Arc<Platform>,
    pub racks: Racks,
    pub net: Arc<Net>,
}

#[async_trait]
impl Table for Faulty {
    async fn commit(&self, transaction: Transaction) -> Result<platform::Version, StoreError> {
        self.faults.table().await?;
        let result = self.platform.commit(transaction).await;
        self.faults.pass().await;
        result
    }

    async fn scan(&self, prefixes: &[&str], since: u64) -> Result<Scan, StoreError> {
        self.faults.table().await?;
        if prefixes.len() > 1 && *self.faults.no_beats.borrow() {
            return Err(StoreError::Down {
                reason: "cut off".to_owned(),
            });
        }
        let result = self.platform.scan(prefixes, since).await;
        self.faults.pass().await;
        result
    }
}

#[async_trait]
impl Hosts for Faulty {
    async fn hosts(&self, racks: &[id::Rack]) -> Result<Vec<platform::Host>, StoreError> {
        self.faults.table().await?;
        self.platform.hosts(racks).await
    }
}

#[async_trait]
impl WorkerApi for Faulty {
    async fn hello(&self, address: &str) -> Result<Hello, Error> {
        self.faults.worker(address).await?;
        self.racks.hello(address).await
    }

    async fn adopt(&self, address: &str, adopt: Adopt) -> Result<Adopted, Error> {
        self.faults.worker(address).await?;
        self.racks.adopt(address, adopt).await
    }

    async fn heartbeat(&self, address: &str, pulse: Heartbeat) -> Result<Report, Error> {
        self.faults.worker(address).await?;
        self.racks.heartbeat(address, pulse).await
    }

    async fn run(&self, address: &str, run: Run, limit: Duration) -> Result<RunResult, Error> {
        self.faults.worker(address).await?;
        if *self.faults.breaking.borrow() {
            let (racks, address) = (self.racks.clone(), address.to_owned());
            tokio::spawn(async move { racks.run(&address, run, limit).await });
            tokio::time::sleep(Duration::from_millis(10)).await;
            return Err(Error::NoAnswer {
                reason: "the connection broke".to_owned(),
            });
        }
        let result = self.racks.run(address, run, limit).await;
        self.faults.pass().await;
        result
    }

    async fn void(&self, address: &str, void: Void) -> Result<Voided, Error> {
        self.faults.worker(address).await?;
        if *self.faults.breaking.borrow() {
            return Err(Error::NoAnswer {
                reason: "the connection broke".to_owned(),
            });
        }
        self.racks.void(address, void).await
    }

    async fn start(&self, address: &str, start: Start) -> Result<(), Error> {
        self.faults.worker(address).await?;
        self.racks.start(address, start).await
    }

    async fn stop(&self, address: &str, stop: Stop) -> Result<Option<Stopped>, Error> {
        self.faults.worker(address).await?;
        self.racks.stop(address, stop).await
    }

    async fn throttle(&self, address: &str, throttle: Throttle) -> Result<(), Error> {
        self.faults.worker(address).await?;
        self.racks.throttle(address, throttle).await
    }
}

#[async_trait]
impl Peers for Faulty {
    async fn place(&self, address: &str, order: PlaceRequest) -> Result<PlaceReply, Unreached> {
        self.faults.peer().await?;
        let placed = self.net.reach(address).await?.place(order).await;
        if *self.faults.losing.borrow() {
            return Err(Unreached::NoAnswer);
        }
        placed.map_err(|_| Unreached::NoAnswer)
    }

    async fn commit(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, Unreached> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .commit(rack, from, gang)
            .await
            .map_err(|_| Unreached::NoAnswer)
    }

    async fn undo(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, Unreached> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .undo(rack, from, gang)
            .await
            .map_err(|_| Unreached::NoAnswer)
    }

    async fn stop(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        job: (id::Team, id::Job),
    ) -> Result<bool, Unreached> {
        self.faults.peer().await?;
        let server = self.net.reach(address).await?;
        server
            .stop(rack, from, job.0, job.1)
            .await
            .map_err(|_| Unreached::NoAnswer)
    }

    async fn inventory(
        &self,
        address: &str,
        from: FencingToken,
    ) -> Result<Vec<Inventory>, Unreached> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .inventory(from)
            .await
            .map_err(|_| Unreached::NoAnswer)
    }

    async fn report(
        &self,
        address: &str,
        home: id::Rack,
        events: Vec<Event>,
    ) -> Result<bool, Unreached> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .report(home, events)
            .await
            .map_err(|_| Unreached::NoAnswer)
    }

    async fn config(
        &self,
        address: &str,
        than: Version,
    ) -> Result<Option<(Version, raw::Cell)>, Unreached> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .config(than)
            .await
            .map_err(|_| Unreached::NoAnswer)
    }

    async fn digests(&self, address: &str) -> Result<Vec<Digest>, Unreached> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .digests()
            .await
            .map_err(|_| Unreached::NoAnswer)
    }

    async fn claim(
        &self,
        address: &str,
        claims: Vec<Claim>,
    ) -> Result<Vec<ClaimOutcome>, Unreached> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .claim(claims)
            .await
            .map_err(|_| Unreached::NoAnswer)
    }
}
