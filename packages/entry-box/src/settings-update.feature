Feature: A running box applies changed settings where it can and logs the rest

  Scenario: New seeds are added once
    Given a box that started with seeds "10.0.0.1:1"
    When its settings are read with seeds "10.0.0.1:1,10.0.0.2:1"
    Then the added seeds are "10.0.0.2:1"
    When its settings are read with seeds "10.0.0.2:1"
    Then the added seeds are ""

  Scenario: Other changed keys take effect at the next start
    Given a box that started with seeds "10.0.0.1:1"
    When its settings are read with "round_ms = 200" in "[peers]"
    Then the keys that take effect at the next start are "peers.round_ms"
    When its settings are read with seeds "10.0.0.1:1"
    Then the keys that take effect at the next start are ""
