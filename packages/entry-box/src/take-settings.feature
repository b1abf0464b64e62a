Feature: A running box takes of changed settings what it can, and names the rest

  Scenario: New seeds are taken, and a further reading does not take them again
    Given a box that started with seeds "10.0.0.1:1"
    When its settings are read with seeds "10.0.0.1:1,10.0.0.2:1"
    Then the seeds taken are "10.0.0.2:1"
    When its settings are read with seeds "10.0.0.2:1"
    Then the seeds taken are ""

  Scenario: Other keys wait for the next start, as long as they differ from what the box runs with
    Given a box that started with seeds "10.0.0.1:1"
    When its settings are read with "round_ms = 200" in "[peers]"
    Then "peers.round_ms" waits for the next start
    When its settings are read with seeds "10.0.0.1:1"
    Then "" waits for the next start
