//! A small deployment on loopback addresses: hosts and executors as processes, the store within this process.

use std::collections::{HashMap, HashSet};
use std::fs::{self, File};
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::Json;
use crate::store::Store;
use crate::unix_ms;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
pub const QUEUE: (&str, &str) = ("queue.example", "/queue-1/");
const SERVICE: &str = "svc";

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Mutex::new(File::create(path)?))))
    }

    pub fn line(&self, text: &str) {
        drop(writeln!(self.0.lock().unwrap(), "{} {text}", unix_ms()));
    }

    fn raw(&self, text: &str) {
        drop(writeln!(self.0.lock().unwrap(), "{text}"));
    }
}

/// An event that an executor has told: words of its line, with the time first.
pub type Events = Arc<Mutex<Vec<Vec<String>>>>;

struct Worker {
    address: SocketAddr,
    child: Option<Child>,
    born: i64,
    /// Number of its rows; starts anew with each life.
    seq: i64,
    /// When its process was last seen to be up.
    seen: Instant,
    listed: bool,
}

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

pub struct Cluster {
    pub record: Record,
    pub store: Store,
    pub hosts: Vec<Host>,
    pub events: Events,
    workers: Arc<Mutex<Vec<Worker>>>,
    folder: PathBuf,
    root: PathBuf,
}

/// Clients of the hosts.
#[derive(Clone)]
pub struct Clients {
    fronts: Vec<(String, SocketAddr)>,
    record: Record,
}

impl Clients {
    /// Makes a call to a host and records it.
    pub fn call(&self, host: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let (name, front) = &self.fronts[host];
        let path = format!("{}{id}", QUEUE.1);
        let headers = [("Host", QUEUE.0), ("X-Deadline-Ms", "3000")];
        let answer = call(*front, method, &path, &headers, body, Duration::from_millis(3_000));
        let answer = answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
        let told = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        self.record.line(&format!("client {method} {path} at {name}: {told}"));
        answer
    }
}

/// What has become of the tasks of a job.
#[derive(Default)]
pub struct Tasks {
    /// The executor of each task that runs.
    pub running: HashMap<String, String>,
    /// Tasks that have ended `done`.
    pub done: HashSet<String>,
    /// When one was started or ended last, in Unix milliseconds.
    last_change: i64,
}

impl Tasks {
    /// Whether tasks are left of `all`, which are due, and none has run for this long.
    pub fn have_waited(&self, all: usize, time: Duration) -> bool {
        let since = unix_ms() - self.last_change;
        self.done.len() < all && self.running.is_empty() && since > time.as_millis() as i64
    }
}

/// What a deployment is made of.
pub struct Shape {
    pub hosts: usize,
    pub executors: usize,
    /// Thousandths of a core and MB of each executor.
    pub room: (i64, i64),
    pub max_attempts: i64,
}

fn free(ip: IpAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

impl Cluster {
    /// Starts a deployment and waits until its hosts are ready.
    pub fn start(shape: &Shape, record: Record) -> Result<Self, String> {
        let fail = |error: std::io::Error| error.to_string();
        let root = std::env::current_dir().map_err(fail)?;
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(fail)?;
        let pid = std::process::id();
        let net = [(pid >> 8) as u8 % 200 + 20, pid as u8];
        let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], last));
        let store = Store::default();
        let listener = TcpListener::bind((ip(200), 0)).map_err(fail)?;
        let store_address = listener.local_addr().map_err(fail)?;
        store.serve(listener);
        store.put("op", "config", Some(&config(shape.max_attempts)));
        let mut cluster = Self {
            record,
            store,
            hosts: Vec::new(),
            events: Events::default(),
            workers: Arc::default(),
            folder,
            root,
        };
        for index in 0..shape.executors {
            let address = free(ip(100 + index as u8)).map_err(fail)?;
            cluster.workers.lock().unwrap().push(Worker {
                address,
                child: None,
                born: 0,
                seq: 0,
                seen: Instant::now(),
                listed: false,
            });
            cluster.start_executor(index)?;
        }
        cluster.beat(shape.room);
        for index in 0..shape.hosts {
            cluster.add_host(index, ip(index as u8 + 1), store_address)?;
            cluster.start_host(index)?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !cluster.hosts.iter().all(Host::is_ready) {
            if Instant::now() > until {
                return Err("the hosts are not ready after 20 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // Traffic starts 10 s after the machines do in the deployments; the executors are in use after some heartbeats.
        std::thread::sleep(Duration::from_secs(4));
        Ok(cluster)
    }

    fn add_host(&mut self, index: usize, ip: IpAddr, store: SocketAddr) -> Result<(), String> {
        let fail = |error: std::io::Error| error.to_string();
        TcpListener::bind((ip, 9_464)).map_err(|error| format!("{ip}:9464: {error}"))?;
        let (front, ready, link) = (free(ip).map_err(fail)?, free(ip).map_err(fail)?, free(ip).map_err(fail)?);
        let name = format!("front-{}", index + 1);
        let port = link.port().min(65_000);
        let settings = format!(
            r#"{{"nodeId":"{name}","role":"host","machineClass":"front","serves":["front"],"ip":"{ip}","zone":"a","region":"r","zones":{{"a":"r"}},
"listenAddrs":{{"front":"{front}","ready":"{ready}"}},"portRange":[{port},{}],"seeds":[],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"virtual_ip",
"heartbeatMs":1500,"policies":["base","drain","config","cost","recover","sched","platform","upkeep","sharing"],"faultTolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":2500,"graceS":6,"lossSlackMs":200,"configDeadlineMs":2500,"rollbackSlackMs":250,"maxStretchMs":6000,"recoveryS":12,"holdMaxMs":6000,"stopGraceMs":200,"gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"remotePenalty":2,"checkpointIntervalS":1,"restoreMs":250,"noticeMs":5500,"migrateS":1.5,"maintenanceS":2,"requireFence":true,"leaseMs":3000,"thawSlackMs":300,"paceMs":100,"harmMs":4000}},
"controlMode":"rpc","advisor":null,"platform":{{"address":"{store}","form":"table","writesPerS":800,"readsPerS":2000,"txnTimeoutMs":3.0,"partWritesS":300,"rowBytes":65536,"across":true,"retentionS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbS":80.0}},
"cloudApi":{{"address":"{store}","ratePerS":60.0,"duties":[],"dutyPerS":60.0}}}}"#,
            port + 15
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(fail)?;
        self.hosts.push(Host {
            log: self.folder.join(format!("{name}.log")),
            name,
            front,
            ready,
            settings: path,
            child: None,
        });
        Ok(())
    }

    /// Starts a host with the command of the deploy file.
    pub fn start_host(&mut self, index: usize) -> Result<(), String> {
        let host = &mut self.hosts[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&host.log)
            .map_err(|error| error.to_string())?;
        let mut command = Command::new(self.root.join("target/release/lentilyoke-host"));
        command
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env("LENTILYOKE_SETTINGS", &host.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.map_err(|error| format!("target/release/lentilyoke-host: {error}"))?;
        crate::watch(child.id());
        self.record
            .line(&format!("host {} started, process {}", host.name, child.id()));
        host.child = Some(child);
        Ok(())
    }

    /// Kills a host's process (SIGKILL).
    pub fn kill_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if let Some(mut child) = host.child.take() {
            drop(child.kill());
            drop(child.wait());
            self.record.line(&format!("host {} killed", host.name));
        }
    }

    /// Memory that a host's process uses.
    pub fn memory_mb(&self, index: usize) -> u64 {
        let process = self.hosts[index].child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok())
            .unwrap_or(0)
            / 1_024
    }

    /// The host that last acted as owner, by the row that it wrote.
    pub fn owner(&self) -> Option<usize> {
        let value = self.store.value("owner", "pool-0", "owner")?;
        let row = String::from_utf8(crate::json::decode(&value)).ok()?;
        let name = Json::parse(row.as_bytes()).get("host").text().to_owned();
        self.hosts.iter().position(|host| host.name == name)
    }

    /// Starts the process of an executor, under the id and at the address that it had.
    pub fn start_executor(&self, index: usize) -> Result<(), String> {
        let address = self.workers.lock().unwrap()[index].address;
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let born = unix_ms();
        let child = Command::new(own)
            .args(["executor", &executor_id(index), &address.to_string(), &born.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.map_err(|error| error.to_string())?;
        crate::watch(child.id());
        let output = child.stdout.take().ok_or("no output")?;
        let (record, events) = (self.record.clone(), Arc::clone(&self.events));
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.raw(&line);
                let words: Vec<String> = line.split(' ').map(str::to_owned).collect();
                events.lock().unwrap().push(words);
            }
        });
        let worker = &mut self.workers.lock().unwrap()[index];
        (worker.child, worker.born, worker.seq) = (Some(child), born, 0);
        Ok(())
    }

    /// Kills the process of an executor.
    pub fn kill_executor(&self, index: usize) {
        let child = self.workers.lock().unwrap()[index].child.take();
        if let Some(mut child) = child {
            drop(child.kill());
            drop(child.wait());
            self.record.line(&format!("executor {} killed", executor_id(index)));
        }
    }

    /// Writes the executors' rows about every heartbeat; removes those of executors that have been silent for three of them.
    fn beat(&self, (cpu, mem): (i64, i64)) {
        let (workers, store) = (Arc::clone(&self.workers), self.store.clone());
        std::thread::spawn(move || {
            loop {
                for (index, worker) in workers.lock().unwrap().iter_mut().enumerate() {
                    let id = executor_id(index);
                    let is_up = worker
                        .child
                        .as_mut()
                        .is_some_and(|child| matches!(child.try_wait(), Ok(None)));
                    if is_up {
                        worker.seen = Instant::now();
                        worker.listed = true;
                        worker.seq += 1;
                        let (seq, born) = (worker.seq, worker.born);
                        let row = format!(
                            r#"{{"id":"{id}","service":"{SERVICE}","address":"{}","zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":{seq},"born":{born},"capacity":{{"cpu":{cpu},"memMb":{mem},"gpus":0}},"labels":["a","r1-{}"]}}"#,
                            worker.address,
                            index / 2
                        );
                        store.put("servers", &id, Some(&row));
                    } else if worker.listed && worker.seen.elapsed() > 3 * HEARTBEAT {
                        worker.listed = false;
                        store.put("servers", &id, None);
                    }
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Clients of the hosts.
    pub fn clients(&self) -> Clients {
        Clients {
            fronts: self.hosts.iter().map(|host| (host.name.clone(), host.front)).collect(),
            record: self.record.clone(),
        }
    }

    /// Makes a client's call to a host and records it.
    pub fn client(&self, host: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        self.clients().call(host, method, id, body)
    }

    /// What has become of a job's tasks, by what the executors told; all jobs if the id is empty.
    pub fn tasks(&self, job: &str) -> Tasks {
        let mut tasks = Tasks::default();
        for words in self.events.lock().unwrap().iter() {
            let kind = words.get(1).map_or("", String::as_str);
            if kind == "up" {
                tasks.running.retain(|_, executor| *executor != words[2]);
            }
            let Some(task) = words.get(3).filter(|task| task.starts_with(job)) else {
                continue;
            };
            let at = words[0].parse().unwrap_or(0);
            match kind {
                "start" => drop(tasks.running.insert(task.clone(), words[2].clone())),
                "end" => {
                    tasks.running.remove(task);
                    if words.iter().any(|word| word == "how=done") {
                        tasks.done.insert(task.clone());
                    }
                }
                _ => continue,
            }
            tasks.last_change = at;
        }
        tasks
    }

    /// A client's call with tries at all hosts that are up until one is answered otherwise than by 503, 504 or not at all; it stops at `limit`.
    pub fn client_until(&self, method: &str, id: &str, body: &str, limit: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + limit;
        for attempt in 0.. {
            let up: Vec<usize> = (0..self.hosts.len())
                .filter(|index| self.hosts[*index].child.is_some())
                .collect();
            let answer = self.client(up[attempt % up.len()], method, id, body);
            match answer {
                Some((503 | 504 | 502, _)) | None if Instant::now() < until => std::thread::sleep(Duration::from_millis(200)),
                other => return other,
            }
        }
        None
    }

    /// Number of lines of this kind that match.
    pub fn count(&self, matches: impl Fn(&[String]) -> bool) -> usize {
        self.events.lock().unwrap().iter().filter(|words| matches(words)).count()
    }

    /// Number of ends that each executor has told and that no owner has taken note of.
    pub fn unread_ends(&self) -> Vec<i64> {
        let events = self.events.lock().unwrap();
        let number = |words: &[String], kind: &str, id: &str| {
            let fits = words.get(1).is_some_and(|it| it == kind) && words.get(2).is_some_and(|it| it == id);
            let last = words
                .last()
                .and_then(|word| word.trim_start_matches("number=").parse::<i64>().ok());
            fits.then_some(last).flatten()
        };
        let newest = |kind: &str, id: &str| events.iter().filter_map(|words| number(words, kind, id)).max().unwrap_or(0);
        (0..self.workers.lock().unwrap().len())
            .map(|index| newest("end", &executor_id(index)) - newest("seen", &executor_id(index)))
            .collect()
    }

    /// Copies the hosts' warnings into the record.
    pub fn record_warnings(&self) {
        for host in &self.hosts {
            let log = fs::read_to_string(&host.log).unwrap_or_default();
            let lines = log
                .lines()
                .filter(|line| line.contains("\"WARN\"") || line.contains("ownership acquired"));
            for line in lines.take(400) {
                let entry = Json::parse(line.as_bytes());
                let mut attributes = String::new();
                entry.get("attributes").write(&mut attributes);
                self.record.raw(&format!(
                    "log {} {} {} {attributes}",
                    host.name,
                    entry.get("time").text(),
                    entry.get("message").text()
                ));
            }
        }
    }
}

impl Drop for Cluster {
    /// Ends all processes that were started.
    fn drop(&mut self) {
        for index in 0..self.hosts.len() {
            self.kill_host(index);
        }
        let count = self.workers.lock().unwrap().len();
        for index in 0..count {
            self.kill_executor(index);
        }
        if std::env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

impl Host {
    fn is_ready(&self) -> bool {
        matches!(
            call(self.ready, "GET", "/ready", &[("Host", "x")], "", Duration::from_secs(1)),
            Some((200, _))
        )
    }
}

pub fn executor_id(index: usize) -> String {
    format!("i-{:04x}", 0xa000 + index)
}

fn config(max_attempts: i64) -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"work","host":"{}","prefix":"{}","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":500,"priority":0,"service":"{SERVICE}","maxAttempts":{max_attempts},"stretch":1.5}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"admissionCheck":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        QUEUE.0, QUEUE.1
    )
}
