//! Faults between one placer and everything that it calls.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use config::{Version, raw};
use placer::{PeerError, Peers};
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

/// Fault switches of one placer.
pub struct Faults {
    /// All its calls wait until it is resumed.
    paused: watch::Sender<bool>,
    /// Addresses of workers that it can't reach.
    unreachable_workers: Mutex<BTreeSet<String>>,
    /// The table is unreachable.
    no_table: watch::Sender<bool>,
    /// Its periodic sync can't read the table; reads of single rows succeed.
    no_sync: watch::Sender<bool>,
    /// Its connections to workers break right after a run has started.
    break_runs: watch::Sender<bool>,
    /// Answers to its place requests to other placers are lost.
    lose_placement_answers: watch::Sender<bool>,
    /// Other placers are unreachable.
    no_peers: watch::Sender<bool>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            paused: watch::Sender::new(false),
            unreachable_workers: Mutex::default(),
            no_table: watch::Sender::new(false),
            no_sync: watch::Sender::new(false),
            lose_placement_answers: watch::Sender::new(false),
            break_runs: watch::Sender::new(false),
            no_peers: watch::Sender::new(false),
        }
    }
}

impl Faults {
    /// Pauses it: calls that it is about to make are sent when it is resumed.
    pub fn pause(&self) {
        self.paused.send_replace(true);
    }

    /// Resumes it after a pause.
    pub fn resume(&self) {
        self.paused.send_replace(false);
    }

    /// Blocks all its calls for good.
    pub fn kill(&self) {
        self.pause();
    }

    /// Makes a worker unreachable.
    pub fn cut_worker(&self, address: &str) {
        self.unreachable_workers
            .lock()
            .unwrap()
            .insert(address.to_owned());
    }

    /// Sets whether the table is unreachable.
    pub fn cut_table(&self, cut: bool) {
        self.no_table.send_replace(cut);
    }

    /// Sets whether its periodic sync fails to read the table.
    pub fn cut_sync(&self, cut: bool) {
        self.no_sync.send_replace(cut);
    }

    /// Sets whether its connections to workers break right after a run has started.
    pub fn break_runs(&self, enabled: bool) {
        self.break_runs.send_replace(enabled);
    }

    /// Sets whether the answers to its place requests are lost.
    pub fn lose_placement_answers(&self, enabled: bool) {
        self.lose_placement_answers.send_replace(enabled);
    }

    /// Sets whether other placers are unreachable.
    pub fn cut_peers(&self, cut: bool) {
        self.no_peers.send_replace(cut);
    }

    /// Waits while it is paused.
    pub async fn wait_while_paused(&self) {
        let mut paused = self.paused.subscribe();
        drop(paused.wait_for(|paused| !paused).await);
    }

    async fn table(&self) -> Result<(), StoreError> {
        self.wait_while_paused().await;
        if *self.no_table.borrow() {
            return Err(StoreError::Down {
                reason: "cut off".to_owned(),
            });
        }
        Ok(())
    }

    async fn worker(&self, address: &str) -> Result<(), Error> {
        self.wait_while_paused().await;
        if self.unreachable_workers.lock().unwrap().contains(address) {
            tokio::time::sleep(worker::CALL_TIMEOUT).await;
            return Err(Error::NotSent {
                reason: "cut off".to_owned(),
            });
        }
        Ok(())
    }

    async fn peer(&self) -> Result<(), PeerError> {
        self.wait_while_paused().await;
        if *self.no_peers.borrow() {
            Err(PeerError::NoAnswer)
        } else {
            Ok(())
        }
    }
}

/// Connections of one placer, with its faults applied.
pub struct FaultyConnections {
    pub faults: Arc<Faults>,
    pub platform: Arc<Platform>,
    pub racks: Racks,
    pub net: Arc<Net>,
}

#[async_trait]
impl Table for FaultyConnections {
    async fn commit(&self, transaction: Transaction) -> Result<platform::Version, StoreError> {
        self.faults.table().await?;
        let result = self.platform.commit(transaction).await;
        self.faults.wait_while_paused().await;
        result
    }

    async fn scan(&self, prefixes: &[&str], since: u64) -> Result<Scan, StoreError> {
        self.faults.table().await?;
        if prefixes.len() > 1 && *self.faults.no_sync.borrow() {
            return Err(StoreError::Down {
                reason: "cut off".to_owned(),
            });
        }
        let result = self.platform.scan(prefixes, since).await;
        self.faults.wait_while_paused().await;
        result
    }
}

#[async_trait]
impl Hosts for FaultyConnections {
    async fn hosts(&self, racks: &[id::Rack]) -> Result<Vec<platform::Host>, StoreError> {
        self.faults.table().await?;
        self.platform.hosts(racks).await
    }
}

#[async_trait]
impl WorkerApi for FaultyConnections {
    async fn hello(&self, address: &str) -> Result<Hello, Error> {
        self.faults.worker(address).await?;
        self.racks.hello(address).await
    }

    async fn adopt(&self, address: &str, adopt: Adopt) -> Result<Adopted, Error> {
        self.faults.worker(address).await?;
        self.racks.adopt(address, adopt).await
    }

    async fn heartbeat(&self, address: &str, heartbeat: Heartbeat) -> Result<Report, Error> {
        self.faults.worker(address).await?;
        self.racks.heartbeat(address, heartbeat).await
    }

    async fn run(&self, address: &str, run: Run, limit: Duration) -> Result<RunResult, Error> {
        self.faults.worker(address).await?;
        if *self.faults.break_runs.borrow() {
            let (racks, address) = (self.racks.clone(), address.to_owned());
            tokio::spawn(async move { racks.run(&address, run, limit).await });
            tokio::time::sleep(Duration::from_millis(10)).await;
            return Err(Error::NoAnswer {
                reason: "the connection broke".to_owned(),
            });
        }
        let result = self.racks.run(address, run, limit).await;
        self.faults.wait_while_paused().await;
        result
    }

    async fn void(&self, address: &str, void: Void) -> Result<Voided, Error> {
        self.faults.worker(address).await?;
        if *self.faults.break_runs.borrow() {
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
impl Peers for FaultyConnections {
    async fn place(&self, address: &str, request: PlaceRequest) -> Result<PlaceReply, PeerError> {
        self.faults.peer().await?;
        let placed = self.net.reach(address).await?.place(request).await;
        if *self.faults.lose_placement_answers.borrow() {
            return Err(PeerError::NoAnswer);
        }
        placed.map_err(|_| PeerError::NoAnswer)
    }

    async fn commit(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, PeerError> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .commit(rack, from, gang)
            .await
            .map_err(|_| PeerError::NoAnswer)
    }

    async fn undo(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, PeerError> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .undo(rack, from, gang)
            .await
            .map_err(|_| PeerError::NoAnswer)
    }

    async fn stop(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        job: (id::Team, id::Job),
    ) -> Result<bool, PeerError> {
        self.faults.peer().await?;
        let server = self.net.reach(address).await?;
        server
            .stop(rack, from, job.0, job.1)
            .await
            .map_err(|_| PeerError::NoAnswer)
    }

    async fn inventory(
        &self,
        address: &str,
        from: FencingToken,
    ) -> Result<Vec<Inventory>, PeerError> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .inventory(from)
            .await
            .map_err(|_| PeerError::NoAnswer)
    }

    async fn report(
        &self,
        address: &str,
        home: id::Rack,
        events: Vec<Event>,
    ) -> Result<bool, PeerError> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .report(home, events)
            .await
            .map_err(|_| PeerError::NoAnswer)
    }

    async fn config(
        &self,
        address: &str,
        min_version: Version,
    ) -> Result<Option<(Version, raw::Cell)>, PeerError> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .config(min_version)
            .await
            .map_err(|_| PeerError::NoAnswer)
    }

    async fn digests(&self, address: &str) -> Result<Vec<Digest>, PeerError> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .digests()
            .await
            .map_err(|_| PeerError::NoAnswer)
    }

    async fn claim(
        &self,
        address: &str,
        claims: Vec<Claim>,
    ) -> Result<Vec<ClaimOutcome>, PeerError> {
        self.faults.peer().await?;
        self.net
            .reach(address)
            .await?
            .claim(claims)
            .await
            .map_err(|_| PeerError::NoAnswer)
    }
}
