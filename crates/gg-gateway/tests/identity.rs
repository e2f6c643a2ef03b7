//! For which account a request runs.

use gg_gateway::{IdentityError, identify, identify_again, owned_name};
use gg_route::{Account, Configuration, Credential, KeyDigest, RouteTable};

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        rank: None,
        rate: None,
    }
}

fn table(accounts: Vec<Account>) -> RouteTable {
    RouteTable::new(Configuration { accounts, ..Configuration::default() })
}

fn name(
    table: &RouteTable,
    is_public: bool,
    key: Option<&str>,
    is_current: bool,
) -> Result<Option<String>, IdentityError> {
    let credential = key.map(Credential::from_key);
    let account = identify(table, is_public, credential.as_ref(), is_current)?;
    Ok(account.map(|account| account.name.to_string()))
}

#[test]
fn keys_and_routes() {
    let table = table(vec![account("north", &["n"]), account("south", &["s"])]);
    let north = Ok(Some("north".to_owned()));
    for is_public in [false, true] {
        assert_eq!(name(&table, is_public, Some("n"), true), north);
        assert_eq!(name(&table, is_public, Some("n"), false), Err(IdentityError::Outdated));
        assert_eq!(name(&table, is_public, Some("x"), false), Err(IdentityError::Outdated));
    }
    assert_eq!(name(&table, false, Some("x"), true), Err(IdentityError::UnknownKey));
    assert_eq!(name(&table, true, Some("x"), true), Ok(None));
    for is_current in [false, true] {
        assert_eq!(name(&table, false, None, is_current), Err(IdentityError::NoKey));
        assert_eq!(name(&table, true, None, is_current), Ok(None));
    }
}

#[test]
fn no_accounts_no_keys() {
    let table = table(Vec::new());
    for key in [None, Some("x")] {
        assert_eq!(name(&table, false, key, false), Ok(None));
    }
}

#[test]
fn changes_while_waiting() {
    let north = account("north", &["n"]);
    let key = Credential::from_key("n");
    let again = |accounts, is_current| {
        identify_again(&table(accounts), false, &north, Some(&key), is_current)
    };
    let rotated = account("north", &["m", "n"]);
    assert_eq!(again(vec![rotated], true), Ok(()));
    assert_eq!(again(vec![north.clone()], false), Err(IdentityError::Outdated));
    assert_eq!(again(vec![account("north", &["m"])], true), Err(IdentityError::UnknownKey));
    let moved = vec![account("north", &["m"]), account("south", &["n"])];
    assert_eq!(again(moved, true), Err(IdentityError::Changed));
    assert_eq!(again(Vec::new(), true), Err(IdentityError::Changed));
    // It would run for nobody on a public route, and not for its account.
    let withdrawn = table(vec![account("north", &["m"])]);
    let public = identify_again(&withdrawn, true, &north, Some(&key), true);
    assert_eq!(public, Err(IdentityError::Changed));
}

/// No id that a client can send equals the name of another account's.
#[test]
fn names_do_not_collide() {
    let accounts = [None, Some("a"), Some("a§b"), Some("b"), Some("§")];
    let ids = ["t", "t:a", "t/a", "", "1"];
    let mut names = Vec::new();
    for account_name in accounts {
        let owner = account_name.map(|name| account(name, &[]));
        names.extend(ids.map(|id| owned_name(owner.as_ref(), &id.into())));
    }
    let count = names.len();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), count);
    assert_eq!(&*owned_name(None, &"t".into()), "t");
}
