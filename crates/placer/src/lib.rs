//! The placer: owns racks and schedules quick requests, tasks and jobs on them.
//!
//! * [`Options`]: start-up options of a placer.
//! * [`Node`]: one placer; [`Node::spawn`] starts its background tasks.
//! * [`Peers`]: calls to other placers; [`Rpc`] makes them over JSON-RPC.
//! * [`Server`]: the API of a placer; [`serve()`] offers it over JSON-RPC.
//! * [`Session`]: its row in the platform's table.

mod claims;
mod node;
mod options;
mod peers;
mod request_cache;
mod rpc;
mod serve;
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
pub use serve::serve;
pub use server::Server;
pub use session::Session;
pub use settings::Settings;
pub use shard::Shard;
