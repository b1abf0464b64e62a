Feature: A settings file is watched, so that no signal is needed for a change

  Scenario: A change is taken once, at the next look
    Given a watched settings file that holds "a"
    When the file holds "b" and 2500 ms pass
    Then the texts taken are "b"

  Scenario: Somebody who says that the file has changed need not wait for the next look
    Given a watched settings file that holds "a"
    When the file holds "b" and somebody says so
    Then the texts taken are "b"

  Scenario: A file that can't be read for a while is told of once, and its next text is taken
    Given a watched settings file that holds "a"
    When the file can't be read and 3500 ms pass
    And the file holds "b" and 1500 ms pass
    Then 1 row of failed reads is told of
    And the texts taken are "b"

  Scenario: A change that is taken back between two looks is none
    Given a watched settings file that holds "a"
    When the file holds "b" and 100 ms pass
    And the file holds "a" and 2500 ms pass
    Then the texts taken are ""

  Scenario: Nothing is taken after the stop
    Given a watched settings file that holds "a"
    When the watch is stopped
    And the file holds "b" and 2500 ms pass
    Then the texts taken are ""
