//! Where reads of a topic start, without input or output.

use buckthornwinch::base::ids::Offset;
use buckthornwinch::store::StorePage;
use buckthornwinch::store::cursor::TopicCursor;

fn page(next: Offset, end: Offset) -> StorePage {
    StorePage {
        records: Vec::new(),
        next,
        end,
    }
}

fn cursor_at(next: Offset) -> TopicCursor {
    let mut cursor = TopicCursor::default();
    cursor.advance(&page(next, next));
    cursor
}

#[test]
fn the_first_read_returns_the_newest_records_whatever_is_known() {
    let mut cursor = TopicCursor::default();

    let from = cursor.skip_to(40);

    assert_eq!((from, cursor.has_skipped()), (None, false));
}

#[test]
fn records_before_the_known_offset_are_skipped() {
    let mut cursor = cursor_at(10);

    let from = cursor.skip_to(40);

    assert_eq!((from, cursor.has_skipped()), (Some(40), true));
}

#[test]
fn a_read_does_not_go_back_to_an_older_known_offset() {
    let mut cursor = cursor_at(10);

    let from = cursor.skip_to(4);

    assert_eq!((from, cursor.has_skipped()), (Some(10), false));
}

#[test]
fn a_page_that_ends_before_its_topic_is_followed_by_the_newest_records() {
    let mut cursor = cursor_at(10);
    cursor.skip_to(10);

    cursor.advance(&page(18, 90));

    assert_eq!(cursor.skip_to(0), None);
}

#[test]
fn the_newest_records_make_up_for_what_was_skipped() {
    let mut cursor = cursor_at(10);
    cursor.skip_to(40);
    cursor.advance(&page(50, 50));
    assert!(cursor.has_skipped(), "still after a read");

    cursor.reset();
    cursor.advance(&page(60, 60));

    assert_eq!((cursor.skip_to(0), cursor.has_skipped()), (Some(60), false));
}
