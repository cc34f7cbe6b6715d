use rstest::rstest;

use super::*;

fn endpoint() -> Endpoint {
    Endpoint {
        daemon: "sfax-a-1".into(),
        service: "orders".into(),
        version: "v1".into(),
        data_centre: "sfax-a".into(),
        address: ([127, 0, 0, 1], 7000).into(),
        slots: 9,
        draining: false,
        drained_by_operator: false,
    }
}

/// Guards against entries that no caller can use or whose names harm their readers.
#[rstest]
#[case::valid(|_: &mut Endpoint| {}, Ok(()))]
#[case::empty_name(|e: &mut Endpoint| e.service = "".into(), Err(InvalidEntry::Name("service")))]
#[case::control_characters(|e: &mut Endpoint| e.service = "or\u{1b}[2Jders".into(), Err(InvalidEntry::Name("service")))]
#[case::huge_name(|e: &mut Endpoint| e.version = "v".repeat(2_000_000).into(), Err(InvalidEntry::Name("version")))]
#[case::longest_name(|e: &mut Endpoint| e.daemon = "d".repeat(256).into(), Ok(()))]
#[case::long_data_centre(|e: &mut Endpoint| e.data_centre = "d".repeat(257).into(), Err(InvalidEntry::Name("data-centre")))]
#[case::no_slots(|e: &mut Endpoint| e.slots = 0, Err(InvalidEntry::Slots))]
#[case::many_slots(|e: &mut Endpoint| e.slots = u32::MAX, Err(InvalidEntry::Slots))]
#[case::port_zero(|e: &mut Endpoint| e.address.set_port(0), Err(InvalidEntry::Address))]
#[case::any_address(|e: &mut Endpoint| e.address = ([0, 0, 0, 0], 7000).into(), Err(InvalidEntry::Address))]
#[case::multicast(|e: &mut Endpoint| e.address = ([224, 0, 0, 1], 7000).into(), Err(InvalidEntry::Address))]
fn check_endpoint(#[case] change: fn(&mut Endpoint), #[case] expected: Result<()>) {
    let mut endpoint = endpoint();
    change(&mut endpoint);
    assert_eq!(endpoint.check(), expected);
}
