Feature: A request whose handling fails leaves nothing behind

  # Guards against a stop that waits for good for a request whose handling has thrown an exception.
  Scenario: A planned stop ends after a request whose handling failed
    Given an idle deployment
    When the handling of a request throws an exception
    And its box is drained for 120000 ms
    Then the box has stopped
