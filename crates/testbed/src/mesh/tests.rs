use super::*;

/// Guards against another test program that takes the ports of daemons that are down, so that the
/// daemons of two meshes talk to each other.
#[test]
fn free_addresses_claimed() -> eyre::Result<()> {
    let addresses = free_addresses(usize::from(BLOCK_PORTS))?;
    for address in addresses {
        let block = (address.port() - FIRST_PORT) / BLOCK_PORTS;
        let claim = FIRST_PORT + block * BLOCK_PORTS;
        assert!(TcpListener::bind(("127.0.0.1", claim)).is_err());
    }
    Ok(())
}
