Feature: Settings of a forwarding box are validated with all problems reported

  Scenario: The minimal file is valid
    Given the minimal settings of a forwarding box
    Then they are valid

  Scenario: An unknown key is rejected
    Given the minimal settings of a forwarding box
    And "colour = red" in "[peers]"
    Then the problem "peers.colour: no such setting" is reported

  Scenario: All problems are reported at once
    Given the minimal settings of a forwarding box
    And "round_ms = fast" in "[peers]"
    And "ratio = -1" in "[retries]"
    Then 2 problems are reported

  Scenario: Every key is documented
    Then docs/FORWARDING-SETTINGS.md has every key with its default
