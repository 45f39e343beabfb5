//! Organisations and the keys of their callers.

use currantcove::core::features::{Feature, Features};
use currantcove::core::ids::OrganisationId;
use currantcove::core::organisations::{
    KeyDigest, Organisation, OrganisationSpec, Organisations, Quota, QuotaUnit,
};

fn spec(name: &str, keys: &[&str]) -> OrganisationSpec {
    OrganisationSpec {
        organisation: Organisation {
            id: OrganisationId::new(name),
            priority: None,
            quota: None,
        },
        keys: keys
            .iter()
            .map(|key| (!key.is_empty()).then(|| KeyDigest::of(key)))
            .collect(),
    }
}

fn with_rate(spec: OrganisationSpec, per_s: f64) -> OrganisationSpec {
    let quota = Quota {
        unit: QuotaUnit::Tokens,
        per_s,
        burst: 10.0,
        plain_tokens: 200,
    };
    OrganisationSpec {
        organisation: Organisation {
            quota: Some(quota),
            ..spec.organisation
        },
        ..spec
    }
}

fn owner<'a>(organisations: &'a Organisations, key: &str) -> Option<&'a str> {
    let organisation = organisations.by_key(&KeyDigest::of(key));
    organisation.map(|o| o.id.as_str())
}

#[test]
fn each_key_belongs_to_its_organisation() {
    let specs = vec![spec("north", &["n1", "n2"]), spec("south", &["s1"])];

    let (organisations, findings) = Organisations::new(specs);

    assert_eq!(findings, []);
    assert_eq!(owner(&organisations, "n2"), Some("north"));
    assert_eq!(owner(&organisations, "s1"), Some("south"));
    assert_eq!(owner(&organisations, "n3"), None);
}

/// Guards against a request that is counted and run for the wrong organisation.
#[test]
fn key_of_two_organisations_belongs_to_neither() {
    let specs = vec![
        spec("north", &["shared", "n1"]),
        spec("south", &["shared"]),
        spec("west", &["shared"]),
    ];

    let (organisations, findings) = Organisations::new(specs);

    assert_eq!(owner(&organisations, "shared"), None);
    assert_eq!(owner(&organisations, "n1"), Some("north"));
    assert_eq!(findings.len(), 2);
}

#[test]
fn key_that_is_listed_twice_in_one_organisation_is_valid() {
    let (organisations, findings) = Organisations::new(vec![spec("north", &["n1", "n1"])]);

    assert_eq!(findings, []);
    assert_eq!(owner(&organisations, "n1"), Some("north"));
}

/// Guards against an absurd rate that would be taken for no limit.
#[test]
fn faults_are_reported_together_and_grant_nothing() {
    let specs = vec![
        spec("north", &["", "n1"]),
        with_rate(spec("south", &["s1"]), -1.0),
        with_rate(spec("west", &["w1"]), f64::NAN),
        with_rate(spec("east", &["e1"]), 1e300),
        spec("not printable\n", &["p1"]),
        spec("north", &["n2"]),
    ];

    let (organisations, findings) = Organisations::new(specs);

    let paths: Vec<&str> = findings.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "organisations/0/keys",
            "organisations/1/quota",
            "organisations/2/quota",
            "organisations/3/quota",
            "organisations/4/name",
            "organisations/5/name"
        ]
    );
    for key in ["", "s1", "w1", "e1", "p1", "n2"] {
        assert_eq!(owner(&organisations, key), None, "{key}");
    }
    assert_eq!(owner(&organisations, "n1"), Some("north"));
}

#[test]
fn ten_thousand_keys_are_loaded() {
    let keys: Vec<String> = (0..10_000).map(|n| format!("key-{n}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();

    let (organisations, findings) = Organisations::new(vec![spec("north", &keys)]);

    assert_eq!(findings, []);
    assert_eq!(owner(&organisations, "key-9999"), Some("north"));
}

#[test]
fn only_bearer_credentials_have_a_digest() {
    let key = KeyDigest::of("abc");

    assert_eq!(KeyDigest::of_bearer("Bearer abc"), Some(key));
    assert_eq!(KeyDigest::of_bearer("bearer  abc "), Some(key));
    for header in ["", "Bearer", "Bearer ", "Basic abc", "abc"] {
        assert_eq!(KeyDigest::of_bearer(header), None, "{header}");
    }
}

/// Guards against keys in logs and panics.
#[test]
fn debug_output_contains_no_digest() {
    let text = format!("{:?}", spec("north", &["n1"]));

    assert!(text.contains("KeyDigest(..)"), "{text}");
}

#[test]
fn request_counts_as_its_stated_tokens_or_the_default() {
    let organisation = with_rate(spec("north", &[]), 5.0).organisation;
    let tokens = organisation.quota.expect("quota");
    let requests = Quota {
        unit: QuotaUnit::Requests,
        ..tokens
    };

    assert_eq!(tokens.cost(Some(1_540)), 1_540);
    assert_eq!(tokens.cost(None), 200);
    assert_eq!(requests.cost(Some(1_540)), 1);
}

/// Guards against a host of a later release that an upgrade leaves unreadable.
#[test]
fn unknown_features_are_ignored() {
    let stated = r#"["quotas","of_a_later_release"]"#;

    let features: Features = serde_json::from_str(stated).expect("features");

    assert!(features.has(Feature::Quotas));
    assert!(!features.has(Feature::Organisations));
}
