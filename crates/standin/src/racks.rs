//! Many fake workers inside a test process, called without a network.

use std::collections::BTreeMap;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use resource::Size;
use wire::TaskId;
use worker::call::{
    Adopt, Adopted, Heartbeat, Hello, Moment, Report, Run, RunResult, Start, Stop, Stopped,
    Throttle, Void, Voided,
};
use worker::{Error, Refusal, WorkerApi};

use crate::timed::Timed;
use crate::{Journal, Machine, WorkerFaults};

/// Fake workers by address.
#[derive(Clone, Debug, Default)]
pub struct Racks {
    machines: Arc<Timed<BTreeMap<String, Machine>>>,
}

impl Racks {
    /// Adds a worker of this size that runs up to `slots` quick requests at once.
    pub fn add(&self, address: &str, size: Size, slots: u32) {
        self.lock()
            .insert(address.to_owned(), Machine::new(size, slots, 1));
    }

    /// Calls `change` with the worker at this address.
    ///
    /// # Panics
    /// If there is no worker at this address.
    pub fn with<T>(&self, address: &str, change: impl FnOnce(&mut Machine) -> T) -> T {
        self.change(address, |machine, _| change(machine))
    }

    /// Calls `change` with the worker at this address and the time.
    fn change<T>(&self, address: &str, change: impl FnOnce(&mut Machine, Moment) -> T) -> T {
        self.machines.change(|machines, now| {
            let Some(machine) = machines.get_mut(address) else {
                panic!("no machine at {address}");
            };
            change(machine, now)
        })
    }

    /// Replaces the faults of a worker.
    pub fn set(&self, address: &str, faults: WorkerFaults) {
        self.with(address, |machine| machine.set(faults));
    }

    /// Task attempts that are running now, on all workers.
    #[must_use]
    pub fn running_attempts(&self) -> Vec<TaskId> {
        self.machines.change(|machines, now| {
            machines.values_mut().for_each(|machine| machine.tick(now));
            machines
                .values()
                .flat_map(|machine| machine.running_attempts().cloned())
                .collect()
        })
    }

    /// Journals of all workers, by address.
    #[must_use]
    pub fn journals(&self) -> BTreeMap<String, Journal> {
        self.lock()
            .iter()
            .map(|(a, m)| (a.clone(), m.journal().clone()))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.machines.lock()
    }

    /// Calls a worker. A frozen one gives no answer until the caller's timeout.
    async fn call<T>(
        &self,
        address: &str,
        call: impl FnOnce(&mut Machine, Moment) -> Result<T, Refusal>,
    ) -> Result<T, Error> {
        let frozen = self.lock().get(address).map(|m| m.faults().frozen);
        match frozen {
            None => {
                return Err(Error::NotSent {
                    reason: "no machine there".to_owned(),
                });
            }
            Some(true) => {
                tokio::time::sleep(worker::CALL_TIMEOUT).await;
                return Err(Error::NoAnswer {
                    reason: "frozen".to_owned(),
                });
            }
            Some(false) => {}
        }
        let result = self.change(address, |machine, now| {
            machine.tick(now);
            call(machine, now)
        });
        result.map_err(|refusal| Error::Refused { refusal })
    }
}

#[async_trait]
impl WorkerApi for Racks {
    async fn hello(&self, address: &str) -> Result<Hello, Error> {
        self.call(address, |m, _| Ok(m.hello())).await
    }

    async fn adopt(&self, address: &str, adopt: Adopt) -> Result<Adopted, Error> {
        self.call(address, |m, now| m.adopt(&adopt, now)).await
    }

    async fn heartbeat(&self, address: &str, heartbeat: Heartbeat) -> Result<Report, Error> {
        self.call(address, |m, now| m.heartbeat(&heartbeat, now))
            .await
    }

    async fn run(&self, address: &str, run: Run, limit: Duration) -> Result<RunResult, Error> {
        self.call(address, |m, now| m.begin_run(&run, now, now))
            .await?;
        tokio::time::sleep(Machine::run_duration(&run)).await;
        let ran = self.change(address, |m, now| m.end_run(&run, now));
        if self.with(address, |m| m.faults().loses_answers || m.faults().frozen) {
            tokio::time::sleep(limit).await;
            return Err(Error::NoAnswer {
                reason: "the answer was lost".to_owned(),
            });
        }
        ran.ok_or_else(|| Error::NoAnswer {
            reason: "voided".to_owned(),
        })
    }

    async fn void(&self, address: &str, void: Void) -> Result<Voided, Error> {
        self.call(address, |m, now| m.void(&void, now)).await
    }

    async fn start(&self, address: &str, start: Start) -> Result<(), Error> {
        self.call(address, |m, now| m.start(&start, now)).await
    }

    async fn stop(&self, address: &str, stop: Stop) -> Result<Option<Stopped>, Error> {
        self.call(address, |m, now| m.stop(&stop, now)).await
    }

    async fn throttle(&self, address: &str, throttle: Throttle) -> Result<(), Error> {
        self.call(address, |m, _| m.throttle(&throttle)).await
    }
}
