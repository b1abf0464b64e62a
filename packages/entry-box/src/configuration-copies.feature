Feature: Heartbeats bring the configuration to boxes that have an older one

  Guards against boxes that act on an older version for seconds, as their calls for a newer one time out while they are late.

  Scenario: A heartbeat to a box with an older configuration brings the newer one
    Given a box with configuration 5
    Then a heartbeat to "b2" with configuration 4 brings configuration 5

  Scenario: A box with the same configuration, or a newer one, gets no copy
    Given a box with configuration 5
    Then a heartbeat to "b2" with configuration 5 brings none
    And a heartbeat to "b3" with configuration 6 brings none

  Scenario: A copy is not sent again before its recipient has had time to apply it
    Given a box with configuration 5
    Then a heartbeat to "b2" with configuration 4 brings configuration 5
    And a heartbeat to "b2" with configuration 4 brings none after 500 ms
    And a heartbeat to "b2" with configuration 4 brings configuration 5 after 600 ms

  Scenario: A newer configuration is sent at once
    Given a box with configuration 5
    Then a heartbeat to "b2" with configuration 4 brings configuration 5
    When the box has configuration 6
    Then a heartbeat to "b2" with configuration 4 brings configuration 6
