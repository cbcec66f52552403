//! The process that owns racks and decides.
//!
//! * [`Options`]: what a placer is told at its start.
//! * [`Node`]: one placer; [`Node::spawn`] starts all that it does.
//! * [`Peers`]: how it reaches other placers; [`Rpc`] does so over JSON-RPC.
//! * [`Server`]: what it offers to others.
//! * [`Session`]: its row in the platform's table.

mod claims;
mod node;
mod options;
mod peers;
mod request_cache;
mod rpc;
mod server;
mod session;
mod settings;
mod shard;
mod table_view;

pub use claims::Claims;
pub use node::Node;
pub use options::Options;
pub use peers::{PeerError, Peers};
pub use rpc::Rpc;
pub use server::Server;
pub use session::Session;
pub use settings::Settings;
pub use shard::Shard;
