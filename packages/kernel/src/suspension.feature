Feature: The elapsed time includes the time for which the machine was suspended

  Scenario: A suspension is detected by the wall clock jumping ahead of the monotonic clock
    Given a monotonic clock and a wall clock that are in sync
    When both clocks advance by 1000 ms
    And the machine is suspended for 5000 ms
    And both clocks advance by 1000 ms
    Then the monotonic time is 2000 ms and the elapsed time is 7000 ms

  Scenario: Setting the wall clock back does not reduce the elapsed time
    Given a monotonic clock and a wall clock that are in sync
    When the wall clock is set back by 3000 ms
    And both clocks advance by 1000 ms
    Then the monotonic time is 1000 ms and the elapsed time is 1000 ms

  Scenario: Gradual corrections of the wall clock are ignored
    Given a monotonic clock and a wall clock that are in sync
    When the wall clock gains 5 ms each 1000 ms, 20 times
    Then the monotonic time is 20000 ms and the elapsed time is 20000 ms
