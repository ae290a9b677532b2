//! Orders of backend servers.

use crate::site::Site;

/// Orders servers while this host holds the duties.
pub async fn run(_site: &Site) {}
