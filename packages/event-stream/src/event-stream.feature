Feature: An event stream is split into events regardless of chunk boundaries

  Scenario: Chunk boundaries do not affect the events
    Given a stream of 5 events with ids and a comment line
    Then any division into chunks gives the same events without losing bytes

  Scenario: An incomplete event is buffered
    Given a stream of 2 events with ids and a comment line
    When its last 3 bytes are missing
    Then 1 event is returned and the remaining bytes are buffered
