Feature: During a graceful shutdown a box accepts only requests that can still finish

  Scenario: A stream is taken early in the grace period only
    Given a shutdown with a grace period of 8000 ms
    Then a stream with an objective of 1500 ms is taken
    When the shutdown began 2300 ms ago
    Then a stream with an objective of 1500 ms is taken
    When the shutdown began 3300 ms ago
    Then a stream with an objective of 1500 ms is not taken

  Scenario: A short request is taken as long as it can finish
    Given a shutdown with a grace period of 8000 ms
    When the shutdown began 6500 ms ago
    Then an answer with an objective of 150 ms is taken
    And an answer with an objective of 800 ms is not taken
