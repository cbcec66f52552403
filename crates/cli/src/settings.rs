//! Commands and flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Operates a lentilyoke cell.
#[derive(Debug, Parser)]
#[command(name = "lentilyoke", version)]
pub struct Settings {
    /// Address of the platform.
    #[arg(
        long,
        env = "LENTILYOKE_PLATFORM",
        default_value = "127.0.0.1:7000",
        global = true
    )]
    pub platform: SocketAddr,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks, compares and applies configurations.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Shows the state of the cell.
    #[command(subcommand)]
    Show(ShowCommand),
    /// Hands over all racks of a placer and stops it.
    Drain {
        /// Its name, as `show placers` gives it.
        placer: String,
    },
    /// Reports.
    #[command(subcommand)]
    Report(ReportCommand),
    /// Tells the course of a job from the log lines of any number of processes.
    Explain {
        /// The job's id.
        id: String,
        /// Files of log lines; standard input if none is named.
        files: Vec<PathBuf>,
    },
}

/// Checks, compares and applies configurations.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Checks a file.
    Check {
        /// The file; `-` reads standard input.
        file: PathBuf,
    },
    /// Prints what is in force.
    Show,
    /// Shows how a file differs from what is in force.
    Diff {
        /// The file; `-` reads standard input.
        file: PathBuf,
    },
    /// Puts a file into force.
    Apply {
        /// The file; `-` reads standard input.
        file: PathBuf,
        /// The version that the file was made from; the one in force if it is left out.
        #[arg(long)]
        base: Option<u64>,
        /// How long to wait until it is in force everywhere, in seconds.
        #[arg(long, default_value_t = 15)]
        wait_s: u64,
        /// Allows the set of racks to change, which moves the homes of some keys and teams.
        #[arg(long)]
        move_homes: bool,
    },
}

/// Shows the state of the cell.
#[derive(Debug, Subcommand)]
pub enum ShowCommand {
    /// Live placers and the configurations that they apply.
    Placers,
    /// Racks with their owners.
    Racks,
    /// Workers with what is taken on them.
    Hosts,
    /// Teams with their quotas and what they use.
    Quotas,
}

/// Reports.
#[derive(Debug, Subcommand)]
pub enum ReportCommand {
    /// How fast each service uses up its error budget.
    Burn {
        /// Addresses of entries, separated by commas.
        #[arg(long, value_delimiter = ',', required = true)]
        entries: Vec<String>,
        /// Where to draw the burn rates, as SVG.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
}
