//! Tests of declarations: a set is accepted as a whole or rejected with every
//! fault.

use std::path::PathBuf;

use buckthornwinch::base::document::DocumentFault;
use buckthornwinch::declarations::Declaration;
use buckthornwinch::declarations::document::read_declaration;
use buckthornwinch::declarations::document::write_declaration;
use buckthornwinch::declarations::set::DeclarationSet;
use buckthornwinch::settings::NodeSettings;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::proptest;

fn example(user: &str, file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(user)
        .join(file)
}

fn faults_of(texts: &[(&str, &str)]) -> String {
    let faults = match DeclarationSet::parse(texts) {
        Ok(set) => {
            return format!(
                "{:#}",
                set.check_complete().expect_err("the set has faults")
            );
        }
        Err(faults) => faults,
    };
    let lines: Vec<String> = faults.iter().map(DocumentFault::to_string).collect();
    lines.join("\n")
}

#[test]
fn examples_of_both_users_are_valid() {
    for user in ["hanmaru", "reykjanes"] {
        let set = DeclarationSet::load(&[example(user, "declarations")]).expect("valid documents");
        let settings = NodeSettings::load(&example(user, "winchd.yaml")).expect("valid settings");

        set.check_complete().expect("a valid configuration");
        assert_eq!(set.declarations.len(), 8, "{user}");
        assert_eq!(settings.peers.len(), 2, "{user}");
    }
}

#[test]
fn every_fault_of_every_document_is_listed_at_once() {
    let services = "
kind: Service
name: Catalogue
spec:
  division: hash
  slices: 1000
  colour: red
---
kind: Service
name: orders
spec:
  division: load
  slices: many
---
kind: Server
name: orders
---
- a list
";
    let classes = "
kind: PriorityClass
name: checks
spec:
  rank: 256
  share_percent: 101
---
kind: OwnershipRule
spec:
  service: catalogue
  failure_domains: [daegu-a, Daegu B]
";

    let faults = faults_of(&[("services.yaml", services), ("classes.yaml", classes)]);

    insta::assert_snapshot!(faults);
}

#[test]
fn declarations_that_do_not_fit_each_other_are_refused() {
    let text = "
kind: Service
name: catalogue
spec: { division: key, slices: 16384 }
---
kind: Service
name: orders
spec: { division: load, slices: 2 }
---
kind: PriorityClass
name: lookups
spec: { rank: 0, target_ms: 50, deadline_ms: 20, idempotent: true, share_percent: 60 }
---
kind: PriorityClass
name: reports
spec: { rank: 1, target_ms: 50, idempotent: true, share_percent: 60, queue: 0 }
---
kind: OwnershipRule
name: reports
spec: { service: reports }
";

    let faults = faults_of(&[("all.yaml", text)]);

    insta::assert_snapshot!(faults);
}

#[test]
fn an_object_that_is_declared_twice_is_refused() {
    let text = "{ kind: Service, name: orders, spec: { division: load } }";

    let faults = faults_of(&[("a.yaml", text), ("b.yaml", text)]);

    insta::assert_snapshot!(faults);
}

fn any_document() -> impl Strategy<Value = String> {
    let service =
        (0_u32..15, "[a-z][a-z0-9-]{0,20}", 1_u32..1_000_000).prop_map(|(power, name, body)| {
            let slices = 1 << power;
            format!(
                "{{ kind: Service, name: \"{name}\", \
                 spec: {{ division: key, slices: {slices}, max_body_bytes: {body} }} }}"
            )
        });
    let class = (0..=255_u8, 1..10_000_u32, 0..=100_u8, proptest::bool::ANY).prop_map(
        |(rank, target, share, idempotent)| {
            format!(
                "{{ kind: PriorityClass, name: c, spec: {{ rank: {rank}, target_ms: {target}, \
                 share_percent: {share}, idempotent: {idempotent} }} }}"
            )
        },
    );
    proptest::prop_oneof![service, class]
}

proptest! {
    #[test]
    fn a_written_declaration_round_trips(text in any_document()) {
        let set = DeclarationSet::parse(&[("text", &text)]).expect("a valid document");
        let declaration: &Declaration = &set.declarations[0].declaration;

        let mut faults = Vec::new();
        let again = read_declaration("text", write_declaration(declaration), &mut faults);

        prop_assert_eq!(again.as_ref(), Some(declaration), "{:?}", faults);
    }
}
