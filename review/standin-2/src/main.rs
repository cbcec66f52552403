//! Runs a case of the second review: `review_standin_2 CASE FOLDER`, in the project's folder. Exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

#![recursion_limit = "256"]

mod deploy;
mod ends;
mod executor;
mod gang;
mod http;
mod kind;
mod outgrown;
mod record;
mod rolling;
mod store;
mod timed;

use std::path::{Path, PathBuf};
use std::process::exit;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(Vec<String>),
    NotRun(String),
}

const PROGRAM: &str = "target/release/lentilyoke-host";

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review_standin_2 CASE FOLDER");
        exit(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let (Ok(runtime), Ok(record)) = (runtime, Record::create(&folder.join("record.txt"))) else {
        eprintln!("the case couldn't be set up");
        exit(2);
    };
    let local = tokio::task::LocalSet::new();
    let program = Path::new(PROGRAM);
    let verdict = local.block_on(&runtime, async {
        match case.as_str() {
            "ends" => ends::run(record.clone(), trouble, program, &folder).await,
            "lasting" => {
                outgrown::run(
                    outgrown::Growing::Lasting,
                    record.clone(),
                    trouble,
                    program,
                    &folder,
                )
                .await
            }
            "large" => {
                outgrown::run(
                    outgrown::Growing::Large,
                    record.clone(),
                    trouble,
                    program,
                    &folder,
                )
                .await
            }
            "kind" => kind::run(record.clone(), trouble, program, &folder).await,
            "rolling" => rolling::run(record.clone(), trouble, program, &folder).await,
            "timed" => timed::run(record.clone(), trouble, program, &folder).await,
            "gang" => gang::run(record.clone(), trouble, program, &folder).await,
            other => Verdict::NotRun(format!("there is no case {other}")),
        }
    });
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken(found) => {
            for line in found.iter().take(5) {
                record.say(line);
            }
            for line in found.iter().skip(5) {
                record.line(line);
            }
            record.say(&format!("the rule was broken {} times", found.len()));
            1
        }
        Verdict::NotRun(why) => {
            record.say(&format!("not run: {why}"));
            2
        }
    };
    record.flush();
    exit(code);
}
