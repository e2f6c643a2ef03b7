//! Accounts of a configuration: whose key is whose, from version to version.

use std::sync::Arc;

use gg_route::{Account, Configuration, Credential, KeyDigest, RouteTable};

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        rank: None,
        rate: None,
    }
}

fn configuration(accounts: &[Account]) -> Configuration {
    Configuration { accounts: accounts.to_vec(), ..Configuration::default() }
}

/// Name of the account that holds a key.
fn holder(table: &RouteTable, key: &str) -> Option<String> {
    table.account(&Credential::from_key(key)).map(|account| account.name.to_string())
}

#[test]
fn keys_change_hands() {
    let first = RouteTable::new(configuration(&[
        account("north", &["n1", "n2"]),
        account("south", &["s1"]),
        account("west", &["w1"]),
    ]));
    assert!(first.has_accounts());
    assert_eq!(holder(&first, "n2").as_deref(), Some("north"));
    assert_eq!(holder(&first, "x"), None);
    assert_eq!(holder(&first, ""), None);
    // One key is withdrawn, one goes to another account, and one is added.
    let second = first.updated(configuration(&[
        account("north", &["n2"]),
        account("south", &["s1", "w1"]),
        account("east", &["e1"]),
        account("west", &[]),
    ]));
    let held = |key| holder(&second, key);
    assert_eq!(held("n1"), None);
    assert_eq!(held("n2").as_deref(), Some("north"));
    assert_eq!(held("w1").as_deref(), Some("south"));
    assert_eq!(held("e1").as_deref(), Some("east"));
    assert_eq!(second.account_count(), 4);
    // The former version stays as it was.
    assert_eq!(holder(&first, "n1").as_deref(), Some("north"));
    assert_eq!(holder(&first, "e1"), None);
    let none = second.updated(configuration(&[]));
    assert!(!none.has_accounts());
    assert_eq!(holder(&none, "n2"), None);
}

#[test]
fn shared_keys_survive() {
    let first =
        RouteTable::new(configuration(&[account("north", &["k"]), account("south", &["k"])]));
    assert_eq!(holder(&first, "k").as_deref(), Some("south"));
    let second = first.updated(configuration(&[account("north", &["k"]), account("south", &[])]));
    assert_eq!(holder(&second, "k").as_deref(), Some("north"));
}

#[test]
fn unchanged_accounts_are_shared() {
    let accounts: Vec<Account> = (0..200)
        .map(|number| account(&number.to_string(), &[&format!("a{number}"), &format!("b{number}")]))
        .collect();
    let first = RouteTable::new(configuration(&accounts));
    let mut changed = accounts.clone();
    changed[7].rank = Some(3);
    changed.remove(9);
    let second = first.updated(configuration(&changed));
    for known in &accounts {
        let find = |table: &RouteTable| table.account_named(&known.name).cloned();
        let (before, after) = (find(&first).expect("known"), find(&second));
        match &*known.name {
            "7" => assert_eq!(after.expect("changed").rank, Some(3)),
            "9" => assert_eq!(after, None),
            _ => assert!(Arc::ptr_eq(&before, &after.expect("unchanged"))),
        }
        let key = Credential::from_key(&format!("a{}", known.name));
        assert_eq!(second.account(&key), second.account_named(&known.name));
    }
}

#[test]
fn keys_stay_hidden() {
    let credential = Credential::from_key("secret-key");
    let account = account("north", &["secret-key"]);
    for text in [format!("{credential:?}"), format!("{account:?}"), credential.digest().to_string()]
    {
        assert!(!text.contains("secret"), "{text}");
        assert!(text.contains("85dbe15d"), "{text}");
    }
}
