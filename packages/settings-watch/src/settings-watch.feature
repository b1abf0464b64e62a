Feature: Changes of a settings file are detected without a signal

  Scenario: A change is reported once, at the next poll
    Given a watched settings file with the text "a"
    When the file contains "b" and 2500 ms pass
    Then the reported settings changes are "b"

  Scenario: A requested check reports a change before the next poll
    Given a watched settings file with the text "a"
    When the file contains "b" and a check is requested
    Then the reported settings changes are "b"

  Scenario: Consecutive failed reads are reported once, and the next change is reported
    Given a watched settings file with the text "a"
    When the file cannot be read and 3500 ms pass
    And the file contains "b" and 1500 ms pass
    Then 1 read failure is reported
    And the reported settings changes are "b"

  Scenario: A change that is reverted between two polls is not reported
    Given a watched settings file with the text "a"
    When the file contains "b" and 100 ms pass
    And the file contains "a" and 2500 ms pass
    Then the reported settings changes are ""

  Scenario: No change is reported after the watch has stopped
    Given a watched settings file with the text "a"
    When the watch is stopped
    And the file contains "b" and 2500 ms pass
    Then the reported settings changes are ""
