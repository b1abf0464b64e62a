Feature: A blocked event loop is logged

  Guards against requests that wait unnoticed while the loop is blocked: "connectionsWaited" only covers
  consecutive iterations that each accept a connection.

  Scenario: A timer that fires slightly late is not logged
    Given a monitored event loop
    When a timer fires 20 ms late
    Then no delay is logged

  Scenario: The delay of a late timer is logged
    Given a monitored event loop
    When a timer fires 150 ms late
    Then a delay of 150 ms is logged

  Scenario: One blocked period is logged once, regardless of how many timers it delays
    Given a monitored event loop
    When timers due within 40 ms of each other fire together 300 ms late
    Then a delay of 300 ms is logged

  Scenario: Each further blocked period is logged
    Given a monitored event loop
    When a timer fires 150 ms late
    And a timer fires 250 ms late
    Then delays of 150 and 250 ms are logged

  Scenario: A cancelled timer is not logged
    Given a monitored event loop
    When a timer is cancelled and its due time passes by 500 ms
    Then no delay is logged
