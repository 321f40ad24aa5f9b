//! Checks that the committed OpenAPI document matches the one that the daemon renders.

use comfreyhead::process::operator::openapi_document;

#[test]
fn committed_document_matches_the_daemon() {
    let committed = include_str!("../docs/operators-openapi.json");

    let document = openapi_document().expect("a document");

    assert!(
        document == committed,
        "run: comfreyd --openapi > docs/operators-openapi.json"
    );
}
