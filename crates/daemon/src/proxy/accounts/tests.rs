use http::{HeaderName, HeaderValue};
use proptest::prelude::*;
use rstest::rstest;
use sycamoreflow_state::config::TenantConfig;
use sycamoreflow_state::view::{Interest, Resource, ResourceKey};

use super::super::headers::set_account;
use super::*;

const KEY: &str = "irth5mgjy5rcpihhacru";

fn accounts(tenants: &[(&str, &[&str])], dialect: &Dialect) -> Accounts {
    let mut view = View::new(Interest::All);
    for (name, keys) in tenants {
        let mut tenant = TenantConfig::with_weight(1);
        tenant.keys = keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect();
        let key = ResourceKey::Tenant((*name).into());
        view.insert(key, Arc::new(Resource::Tenant(tenant)));
    }
    Accounts::new(&view, dialect)
}

fn without_tenant_header() -> Dialect {
    Dialect {
        tenant: None,
        ..Dialect::default()
    }
}

/// Guards against keys that are enforced where no tenant has one, and against a mesh that opens its
/// routes to everybody when the last key is taken away.
#[rstest]
#[case::no_tenants(&[], false, false)]
#[case::weights_only(&[("grocers", &[] as &[&str])], false, true)]
#[case::keys(&[("grocers", &[KEY] as &[&str])], true, true)]
fn accounts_enforced(
    #[case] tenants: &[(&str, &[&str])],
    #[case] by_default: bool,
    #[case] without_header: bool,
) {
    let enforced = |dialect| accounts(tenants, &dialect).are_enforced();
    assert_eq!(enforced(Dialect::default()), by_default);
    assert_eq!(enforced(without_tenant_header()), without_header);
}

/// Guards against a request that runs for an account whose key it does not present: without a key,
/// with another scheme, with a part of a key, or with two.
#[rstest]
#[case::absent(&[], None)]
#[case::own(&["Bearer irth5mgjy5rcpihhacru"], Some("grocers"))]
#[case::scheme_in_lower_case(&["bearer  irth5mgjy5rcpihhacru "], Some("grocers"))]
#[case::other(&["Bearer mx2q7tzv"], Some("caterers"))]
#[case::unknown(&["Bearer irth5mgjy5rcpihhacrv"], None)]
#[case::part(&["Bearer irth5mgjy5rcpihhacr"], None)]
#[case::other_scheme(&["Basic irth5mgjy5rcpihhacru"], None)]
#[case::no_scheme(&["irth5mgjy5rcpihhacru"], None)]
#[case::empty(&["Bearer "], None)]
#[case::two(&["Bearer irth5mgjy5rcpihhacru", "Bearer mx2q7tzv"], None)]
fn credential_of_request(#[case] values: &[&str], #[case] account: Option<&str>) {
    let dialect = Dialect::default();
    let accounts = accounts(
        &[("grocers", &[KEY, "ddedev3n"]), ("caterers", &["mx2q7tzv"])],
        &dialect,
    );
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_str(value).expect("a valid header value");
        headers.append(http::header::AUTHORIZATION, value);
    }
    let credential = accounts.credential(&headers, &dialect);
    let name = |result: Result<Option<Arc<Account>>>| {
        result.map(|account| account.map(|account| account.name.as_str().to_owned()))
    };
    let expected = account.map(str::to_owned);
    assert_eq!(
        name(authorize(credential.clone(), true, true)),
        Ok(expected.clone())
    );
    let refused = Err(Failure::not_run(Reason::Unauthenticated));
    let closed = expected.map_or(refused, |name| Ok(Some(name)));
    assert_eq!(name(authorize(credential, false, true)), closed);
}

/// Guards against a key that is honoured without a lease, and against a lapse that reaches requests
/// whose answer depends on no key.
#[rstest]
#[case::known("known", true, Some(Reason::KeysUnconfirmed))]
#[case::known_closed("known", false, Some(Reason::KeysUnconfirmed))]
#[case::unknown("unknown", true, None)]
#[case::unknown_closed("unknown", false, Some(Reason::KeysUnconfirmed))]
#[case::absent("absent", true, None)]
#[case::absent_closed("absent", false, Some(Reason::Unauthenticated))]
fn authorize_without_lease(
    #[case] presented: &str,
    #[case] is_open: bool,
    #[case] refusal: Option<Reason>,
) {
    let credential = match presented {
        "known" => Credential::Of(Arc::new(Account {
            name: "grocers".into(),
            priority: None,
        })),
        "unknown" => Credential::Unknown,
        _ => Credential::Absent,
    };
    let expected = refusal.map_or(Ok(None), |reason| Err(Failure::not_run(reason)));
    assert_eq!(authorize(credential, is_open, false), expected);
}

proptest! {
    /// Guards against a key that is passed on in any spelling of its header or as one of several,
    /// and against an account name that the caller has chosen.
    #[test]
    fn set_account_any_headers(
        values in prop::collection::vec("[ -~]{0,40}", 0..4),
        claimed in prop::collection::vec("[a-z]{1,8}", 0..3),
        is_upper in any::<bool>(),
        account in prop::option::of("[a-z]{1,8}"),
    ) {
        let dialect = Dialect::default();
        let spell = |name: &str| match is_upper {
            true => HeaderName::from_bytes(name.to_uppercase().as_bytes()),
            false => HeaderName::from_bytes(name.as_bytes()),
        };
        let mut headers = HeaderMap::new();
        for value in &values {
            let value = format!("Bearer {KEY}{value}");
            let value = HeaderValue::from_str(&value).expect("a valid header value");
            headers.append(spell("authorization").expect("a valid name"), value);
        }
        let name = dialect.account.clone().expect("a header for the account");
        for claim in &claimed {
            let value = HeaderValue::from_str(claim).expect("a valid header value");
            headers.append(spell(name.as_str()).expect("a valid name"), value);
        }
        let account = account.map(|name| TenantName::from(name.as_str()));
        set_account(&mut headers, account.as_ref(), &dialect).expect("a valid name");
        let text = format!("{headers:?}");
        prop_assert!(!text.contains(KEY), "{text}");
        let set: Vec<&[u8]> = headers.get_all(&name).iter().map(|v| v.as_bytes()).collect();
        let expected: Vec<&[u8]> = account.iter().map(|name| name.as_str().as_bytes()).collect();
        prop_assert_eq!(set, expected);
    }
}
