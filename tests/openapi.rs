//! The committed OpenAPI document.

use comfreyhead::process::operator::openapi_document;

#[test]
fn committed_document_is_that_of_the_daemon() {
    let committed = include_str!("../docs/operators-openapi.json");

    let document = openapi_document().expect("a document");

    assert!(
        document == committed,
        "run: comfreyd --openapi > docs/operators-openapi.json"
    );
}
