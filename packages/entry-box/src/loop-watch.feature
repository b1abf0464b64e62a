Feature: An event loop that is held up is told of

  Requests waited for a second in the listen queue of a box whose turns took up to 100 ms, and no line of its log told so:
  "connectionsWaited" needs a connection in each turn, and long turns without one broke its row.

  Scenario: Timers that fire in time tell nothing
    Given a watched loop
    When a timer fires 20 ms late
    Then no hold-up is logged

  Scenario: A timer that fires late tells of the hold-up
    Given a watched loop
    When a timer fires 150 ms late
    Then a hold-up of 150 ms is logged

  Scenario: One hold-up is told of once, whatever number of timers it delays
    Given a watched loop
    When timers that are due within 40 ms fire together 300 ms late
    Then a hold-up of 300 ms is logged

  Scenario: The next hold-up is told of again
    Given a watched loop
    When a timer fires 150 ms late
    And a timer fires 250 ms late
    Then hold-ups of 150 and 250 ms are logged

  Scenario: A timer that was cancelled tells nothing
    Given a watched loop
    When a timer is cancelled and its time passes by 500 ms
    Then no hold-up is logged
