Feature: Messages without an answer fail alone

  # Guards against an unanswered message that costs the stream its connection, and with it the heartbeats.
  Scenario: A message without an answer fails alone, and the connection stays
    Given a box of an earlier version, which replies to "heartbeat" only
    When "dispatch" and "heartbeat" are sent
    Then "dispatch" has failed at once, and "heartbeat" has an answer
    And the connection is still open after 5000 ms

  # Guards against a late box whose every late answer costs the connection, all other messages on it and the time to connect again.
  Scenario: A message whose answer is late fails alone while its connection brings other answers
    Given a box that replies to "slow" after 600 ms and to others after 300 ms
    When "slow" and "quick" are sent
    And "later" is sent 350 ms later
    Then after 800 ms "slow" has failed, and "quick" and "later" have answers
    And the connection is still open after 5000 ms

  Scenario: A connection that brings nothing any more is closed when a message times out
    Given a box that replies to "unanswered" after 60000 ms and to others after 300 ms
    When "quick" and "unanswered" are sent
    And "unanswered" is sent 350 ms later
    Then the connection is closed after 800 ms
