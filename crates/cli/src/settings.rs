//! Commands and options of the command line.

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
    /// The command.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
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
        /// Name of the placer, as printed by `show placers`.
        placer: String,
    },
    /// Reports.
    #[command(subcommand)]
    Report(ReportCommand),
    /// Shows the history of a job from the log lines of any number of processes.
    Explain {
        /// The job's id.
        id: String,
        /// Log files; standard input if none is given.
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
    /// Prints the configuration in force.
    Show,
    /// Shows how a file differs from the configuration in force.
    Diff {
        /// The file; `-` reads standard input.
        file: PathBuf,
    },
    /// Writes a file as the new configuration and waits until it is in force.
    Apply {
        /// The file; `-` reads standard input.
        file: PathBuf,
        /// Version that the file was edited from; default: the version in force.
        #[arg(long)]
        base: Option<u64>,
        /// Maximum time to wait until it is in force everywhere, in seconds.
        #[arg(long, default_value_t = 15)]
        wait_s: u64,
        /// Allows the set of racks to change, which moves the home racks of some keys and teams.
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
    /// Workers with their allocated resources.
    Hosts,
    /// Teams with their quotas and usage.
    Quotas,
}

/// Reports.
#[derive(Debug, Subcommand)]
pub enum ReportCommand {
    /// Shows how fast each service uses up its error budget.
    Burn {
        /// Addresses of entries, separated by commas.
        #[arg(long, value_delimiter = ',', required = true)]
        entries: Vec<String>,
        /// Writes an SVG chart of the burn rates to this file.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
}
