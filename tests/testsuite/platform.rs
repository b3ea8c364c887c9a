//! Translation between the formats of the platform and the types of this project.

use std::collections::BTreeMap;
use std::time::Duration;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::base::error::RequestOutcome;
use buckthornwinch::delivery::message::RequestFailure;
use buckthornwinch::ranges::grants::heartbeat::GrantSet;
use buckthornwinch::ranges::grants::heartbeat::GrantedKeys;
use buckthornwinch::ranges::grants::heartbeat::MAX_GRANTED_RANGES;
use buckthornwinch::sidecar::dispatch::EntryFailure;
use buckthornwinch::sidecar::follow::ConfigurationDecoder;
use buckthornwinch::sidecar::upstream::LocalUpstreamRegistry;
use buckthornwinch::store::StateStore;
use buckthornwinch::store::StoreError;
use buckthornwinch::store::StoreTopic;
use bytes::Bytes;
use proptest::prelude::*;
use winch_platform::announcements::AnnouncementHandler;
use winch_platform::announcements::MAX_ANSWER_BYTES;
use winch_platform::announcements::encode_grants;
use winch_platform::configuration::RecordDecoder;
use winch_platform::requests::failure_status;
use winch_platform::requests::forwarded_headers;
use winch_platform::settings::EXAMPLE_SETTINGS;
use winch_platform::settings::parse_settings;
use winch_platform::store::StoreClient;
use winch_platform::store::decode_read;
use winch_platform::store::encode_record;
use winch_platform::upstream::decode_health;
use winch_platform::wire::format_duration;
use winch_platform::wire::parse_duration;
use winch_standin::store_standin::StoreFaults;
use winch_standin::store_standin::StoreStandin;

const SETTINGS: &str = r#"{
    "node": "sidecar-a-1", "ip": "10.1.0.41", "zone": "a", "service": "orders", "heartbeat": "870ms",
    "listen": {"inbound": "10.1.0.41:8624", "outbound": "10.1.0.41:8629", "readiness": "10.1.0.41:8625", "control": "10.1.0.41:8620"},
    "portRange": [7600, 7615], "app": "10.1.0.41:8628", "unknown": {"ignored": true},
    "bounds": {"drain": "2000ms", "grace": "6s", "holdMax": "10000ms", "retryBudgetRatio": 0.2, "budgetWindow": "10s", "budgetSlack": 62},
    "platform": {"address": "10.200.1.7:8627"}
}"#;

#[test]
fn the_example_settings_are_valid() {
    let settings = parse_settings(EXAMPLE_SETTINGS).expect("valid settings");

    assert_eq!(&*settings.sidecar.node, "sidecar-1");
    assert_eq!(settings.addresses.store.port(), 7200);
}

const CONFIGURATION: &str = r#"{
    "version": 7,
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000, "headerTimeout": "3000ms", "idleTimeout": "15s"},
    "listeners": [{"host": "shop.example", "rules": [
        {"name": "r-1", "routeType": "non_idempotent", "targetLatency": "500ms", "priority": 1,
         "match": {"pathPrefix": "/orders/"}, "action": {"service": "orders", "timeout": "1500ms", "maxAttempts": 2}},
        {"name": "r-2", "routeType": "idempotent", "targetLatency": "400ms", "priority": 0,
         "match": {"pathPrefix": "/prices/"},
         "action": {"weightedClusters": [{"service": "prices", "weight": 90}, {"service": "orders", "weight": 10}], "timeout": "1.2s", "maxAttempts": 2}}
    ]}],
    "clusters": [{"name": "prices", "healthCheckPath": "/health", "maxConnections": 130, "sharding": true, "warmup": "2s", "coldStart": "3s", "coldPerS": 18.0},
                 {"name": "orders", "healthCheckPath": "/health", "maxConnections": 130, "coldStart": "3s", "coldPerS": 0.0}]
}"#;

#[test]
fn settings_are_read_and_unknown_fields_ignored() {
    let settings = parse_settings(SETTINGS).expect("valid settings");

    assert_eq!(
        settings.sidecar.announce_interval,
        Duration::from_millis(870)
    );
    assert_eq!(settings.sidecar.peers.port(), 7600);
    assert_eq!(settings.addresses.callers.port(), 8629);
    assert_eq!(settings.addresses.announcements.port(), 8620);
}

#[test]
fn the_rate_of_the_store_is_read_in_megabytes_a_second() {
    let stated = SETTINGS.replace("10.200.1.7:8627\"", "10.200.1.7:8627\", \"readMbS\": 80.0");

    let settings = parse_settings(&stated).expect("valid settings");

    assert!((settings.sidecar.store_read_rate - 80e6).abs() < 1.0);
}

#[test]
fn an_error_names_the_invalid_setting() {
    let faults = [
        ("\"870ms\"", "870", "heartbeat"),
        ("\"6s\"", "\"6 hours\"", "bounds.grace"),
        ("10.200.1.7:8627", "store.example", "platform.address"),
        ("[7600, 7615]", "[7615, 7600]", "portRange"),
        (
            "10.200.1.7:8627\"",
            "10.200.1.7:8627\", \"readMbS\": 0",
            "platform.readMbS",
        ),
    ];
    for (from, to, field) in faults {
        let error = parse_settings(&SETTINGS.replace(from, to)).expect_err("a fault");

        assert!(error.to_string().contains(field), "{error}");
    }
}

#[test]
fn a_configuration_is_decoded() {
    let configuration = RecordDecoder
        .decode(CONFIGURATION.as_bytes())
        .expect("valid");

    insta::assert_debug_snapshot!(configuration);
}

#[test]
fn an_error_names_the_field_of_a_truncated_or_mistyped_configuration() {
    let cut = RecordDecoder.decode(&CONFIGURATION.as_bytes()[..200]);
    let error = cut.expect_err("cut short");
    assert!(error.to_string().contains("field"), "{error}");
    let typed = CONFIGURATION.replace("\"maxAttempts\": 2}}\n", "\"maxAttempts\": -1}}\n");
    let error = RecordDecoder.decode(typed.as_bytes()).expect_err("a fault");
    assert!(error.to_string().contains("max"), "{error}");
}

#[test]
fn only_requests_that_did_not_run_get_status_429_or_503() {
    for kind in ErrorKind::ALL {
        let status = failure_status(&EntryFailure::Failed(RequestFailure::new(kind, "")));

        let says_not_run = matches!(status, 429 | 503);
        assert_eq!(
            says_not_run,
            kind.response().outcome == RequestOutcome::NotRun,
            "{kind:?}"
        );
    }
}

#[test]
fn a_process_without_configuration_never_answers_404() {
    assert_eq!(failure_status(&EntryFailure::NotConfigured), 503);
    assert_eq!(failure_status(&EntryFailure::NoRoute), 404);
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("cookie", "a=b"),
        ("caller-service", "forged"),
    ] {
        headers.insert(name, value.parse().expect("a value"));
    }

    let passed = forwarded_headers(&headers, &["caller-service"]);

    let names: Vec<&str> = passed.iter().map(|(name, _value)| &**name).collect();
    assert_eq!(names, ["cookie"]);
}

fn handler() -> (AnnouncementHandler, LocalUpstreamRegistry) {
    let registry = LocalUpstreamRegistry::new(Duration::from_secs(1));
    let upstream = "10.1.0.41:8628".parse().expect("an address");
    (
        AnnouncementHandler::new(registry.clone(), upstream),
        registry,
    )
}

#[tokio::test]
async fn malformed_or_foreign_heartbeats_are_rejected() {
    let (handler, registry) = handler();
    let bodies = [
        "{}",
        "not json",
        r#"{"service":"orders","address":"10.9.9.9:1","slots":18,"state":"ready","seq":1}"#,
        r#"{"service":"orders","address":"10.1.0.41:8628","slots":18,"state":"asleep","seq":1}"#,
        r#"{"service":"orders","address":"10.1.0.41:8628","slots":"many","state":"ready","seq":1}"#,
        r#"{"service":"orders","address":"10.1.0.41:8628","slots":0,"state":"ready","seq":1}"#,
    ];

    for body in bodies {
        assert!(
            handler.accept_heartbeat("i-1", body.as_bytes()).is_err(),
            "{body}"
        );
    }

    assert_eq!(registry.current(), None);
}

#[tokio::test]
async fn a_valid_heartbeat_is_recorded() {
    let (handler, registry) = handler();
    let body = r#"{"service":"orders","address":"10.1.0.41:8628","zone":"a","version":"v1","slots":18,"state":"ready","seq":4,"coldRemaining":"0ms","born":1791362202000}"#;

    handler
        .accept_heartbeat("i-1", body.as_bytes())
        .expect("taken");

    let known = registry.current().expect("an upstream");
    assert_eq!(
        (&*known.announced.instance, known.announced.slots),
        ("i-1", 18)
    );
}

/// Heartbeats may come from other writers, with fields of another type.
#[tokio::test]
async fn a_cold_time_that_is_not_a_duration_counts_as_absent() {
    let (handler, registry) = handler();
    let times = [
        ("\"900ms\"", Some(Duration::from_millis(900))),
        ("\"0ms\"", Some(Duration::ZERO)),
        ("\"-3s\"", None),
        ("\"soon\"", None),
        ("null", None),
        ("[7]", None),
    ];

    for (sequence, (text, expected)) in times.into_iter().enumerate() {
        let body = format!(
            r#"{{"service":"orders","address":"10.1.0.41:8628","slots":18,"state":"ready","seq":{},"coldRemaining":{text}}}"#,
            sequence + 1
        );
        let accepted = handler.accept_heartbeat("i-1", body.as_bytes());

        assert!(accepted.is_ok(), "{text}");
        let known = registry.current().expect("an upstream");
        assert_eq!(known.announced.cold_remaining, expected, "{text}");
    }
}

#[test]
fn a_health_answer_names_the_upstream_and_its_cold_time() {
    let answer = |cold: &str| {
        let mut headers = hyper::HeaderMap::new();
        headers.insert("instance-id", "i-1".parse().expect("a value"));
        headers.insert("cold-start-ms", cold.parse().expect("a value"));
        decode_health(&headers).and_then(|answer| answer.cold_remaining)
    };

    assert_eq!(answer("1250"), Some(Duration::from_millis(1_250)));
    assert_eq!(answer("0"), Some(Duration::ZERO));
    assert_eq!([answer("-1"), answer("cold"), answer("NaN")], [None; 3]);
    assert_eq!(decode_health(&hyper::HeaderMap::new()), None);
}

/// Compares what the client reads from the stand-in with a map of the values that
/// were appended.
#[tokio::test]
async fn the_store_client_reads_the_newest_value_of_each_key() {
    let store = StoreStandin::start().await.expect("a store");
    let client = StoreClient::new(store.address());
    let mut naive = BTreeMap::new();

    for (end, step) in (0..).zip(0..40_u8) {
        let key = format!("key-{}", step % 7);
        let value = if step % 5 == 0 {
            vec![]
        } else {
            vec![step, 0, 255]
        };
        let at = (step % 2 == 0).then_some(end);
        let offset = client
            .append(StoreTopic::Fleet, &key, value.clone().into(), at)
            .await
            .expect("appended");
        assert_eq!(offset, end);
        if value.is_empty() {
            naive.remove(&key);
        } else {
            naive.insert(key, value);
        }
    }

    let newest = client.newest(StoreTopic::Fleet).await.expect("read");
    let read: BTreeMap<String, Vec<u8>> = newest
        .records
        .iter()
        .map(|record| (record.key.to_string(), record.value.to_vec()))
        .collect();
    assert_eq!(read, naive);
    assert_eq!(newest.end, 40);
    let page = client
        .read(StoreTopic::Fleet, 38, Duration::ZERO)
        .await
        .expect("read");
    assert_eq!((page.records.len(), page.next), (2, 40));
}

#[tokio::test]
async fn a_store_error_tells_whether_an_append_may_have_taken_effect() {
    let store = StoreStandin::start().await.expect("a store");
    let client = StoreClient::new(store.address());
    let append = |at| client.append(StoreTopic::Fleet, "key", Bytes::from_static(b"v"), at);
    append(Some(0)).await.expect("appended");

    assert_eq!(append(Some(0)).await, Err(StoreError::Conflict));
    store.truncate_history("keyed.winch");
    let expired = client.read(StoreTopic::Fleet, 0, Duration::ZERO).await;
    assert_eq!(expired, Err(StoreError::Expired));
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    assert!(matches!(append(None).await, Err(StoreError::Refused(_))));
    store.set_faults(StoreFaults {
        lose_response: 1.0,
        ..StoreFaults::default()
    });
    assert!(matches!(append(None).await, Err(StoreError::Unknown(_))));
    store.set_faults(StoreFaults::default());
    assert_eq!(
        append(Some(1)).await,
        Err(StoreError::Conflict),
        "it took effect"
    );
}

/// Guards against answers that upstreams reject: fences grow by ten digits with the
/// era of the store.
#[test]
fn an_answer_with_the_most_ranges_and_the_largest_fences_is_accepted_by_upstreams() {
    let range = GrantedKeys {
        first: 65_535,
        last: 65_535,
        fence: u64::MAX,
        handover: None,
    };
    let grants = GrantSet {
        hold: Duration::from_secs(10),
        ranges: vec![range; MAX_GRANTED_RANGES],
    };

    let encoded = encode_grants(&grants);

    assert!(encoded.len() <= MAX_ANSWER_BYTES, "{} bytes", encoded.len());
}

/// Guards against an append whose expected end a restored store has by chance.
#[tokio::test]
async fn offsets_of_before_a_restore_are_outdated_even_where_the_topic_ends_there_again() {
    let store = StoreStandin::start().await.expect("a store");
    let client = StoreClient::new(store.address());
    let append = |at| client.append(StoreTopic::Fleet, "key", Bytes::from_static(b"v"), at);
    append(Some(0)).await.expect("appended");
    let copy = store.copy();
    append(Some(1)).await.expect("appended");
    store.restore(copy);
    store.put("keyed.winch", "key", b"other");

    let appended = append(Some(2)).await;
    let read = client.read(StoreTopic::Fleet, 2, Duration::ZERO).await;

    assert_eq!(appended, Err(StoreError::Conflict));
    assert_eq!(read, Err(StoreError::Expired));
    let newest = client.newest(StoreTopic::Fleet).await.expect("read");
    assert!(newest.end > 2, "offsets rise across eras: {}", newest.end);
    assert_eq!(append(Some(newest.end)).await, Ok(newest.end));
}

#[tokio::test]
async fn a_long_poll_returns_as_soon_as_a_record_is_appended() {
    let store = StoreStandin::start().await.expect("a store");
    let client = StoreClient::new(store.address());
    let reader = client.clone();
    let reading = tokio::spawn(async move {
        reader
            .read(StoreTopic::Operator, 0, Duration::from_secs(20))
            .await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;

    store.put("keyed.op", "config", b"new");

    let page = reading.await.expect("no panic").expect("read");
    assert_eq!(&*page.records[0].value, b"new");
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_as_a_read_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        drop(decode_read(bytes.into(), 5));
    }

    #[test]
    fn encoded_records_decode_to_themselves(records in prop::collection::vec(("[a-z/]{1,20}", prop::collection::vec(any::<u8>(), 0..50)), 0..10)) {
        let mut body = vec![0; 16];
        for (key, value) in &records {
            body.extend(encode_record(key, value).expect("short keys"));
        }
        let page = decode_read(body.into(), 3).expect("whole");
        let read: Vec<_> = page.records.iter().map(|record| (record.key.to_string(), record.value.to_vec())).collect();
        prop_assert_eq!(read, records);
    }

    #[test]
    fn parsing_arbitrary_text_as_a_duration_does_not_panic(text in ".{0,12}") {
        drop(parse_duration(&text));
    }

    #[test]
    fn formatted_durations_parse_to_themselves(milliseconds in 0_u64..10_000_000) {
        let time = Duration::from_millis(milliseconds);
        prop_assert_eq!(parse_duration(&format_duration(time)).expect("a time"), time);
    }

    #[test]
    fn decoding_arbitrary_bytes_as_a_configuration_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        drop(RecordDecoder.decode(&bytes));
    }
}
