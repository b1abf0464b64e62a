Feature: Settings of a box that forwards are checked, and every problem is named

  Scenario: The least file is valid
    Given the least settings of a box that forwards
    Then they are valid

  Scenario: A key that is not known is refused
    Given the least settings of a box that forwards
    And "colour = red" in "[peers]"
    Then the problem "peers.colour: no such setting" is named

  Scenario: All problems are named at once
    Given the least settings of a box that forwards
    And "round_ms = fast" in "[peers]"
    And "ratio = -1" in "[retries]"
    Then 2 problems are named

  Scenario: Every key stands on the page of settings
    Then docs/FORWARDING-SETTINGS.md has every key with its default
