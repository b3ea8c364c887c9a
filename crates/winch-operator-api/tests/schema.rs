//! The committed code of the operators' calls follows the schema.
//!
//! Run with `WINCH_UPDATE_GENERATED=1` to write the code anew. The test stands
//! beside the generated code and not in the workspace's test program, since
//! that one cannot be built between a change of the schema and its code.

use std::path::Path;

/// Path of the committed code.
const GENERATED: &str = "src/generated/winch.operator.v1.rs";

fn generate() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile(["operator.proto"], [root.join("../../proto")])
        .expect("the schema is valid");
    let folder = tempfile::tempdir().expect("a temporary folder");
    tonic_prost_build::configure()
        .out_dir(folder.path())
        .compile_fds(files)
        .expect("code can be generated");
    let file = folder.path().join("winch.operator.v1.rs");
    std::fs::read_to_string(file).expect("the generated file")
}

#[test]
fn committed_code_matches_the_schema() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(GENERATED);

    let generated = generate();

    if std::env::var_os("WINCH_UPDATE_GENERATED").is_some() {
        std::fs::write(&path, &generated).expect("the committed file can be written");
    }
    let committed = std::fs::read_to_string(&path).expect("the committed file");
    assert!(
        committed == generated,
        "{GENERATED} is stale; run this test with WINCH_UPDATE_GENERATED=1"
    );
}
