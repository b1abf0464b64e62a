Feature: During a graceful shutdown a box accepts only requests that can still finish

  Scenario: A stream is taken early in the grace period only
    Given a shutdown with a grace period of 8000 ms
    Then a request with an objective of 1500 ms and a time limit of 15000 ms is taken
    When the shutdown began 2300 ms ago
    Then a request with an objective of 1500 ms and a time limit of 15000 ms is taken
    When the shutdown began 3300 ms ago
    Then a request with an objective of 1500 ms and a time limit of 15000 ms is not taken

  # Guards against requests that are taken since most of their kind are short, and cut since they are not.
  Scenario: Late in the grace period a request is taken only if its time limit is within it
    Given a shutdown with a grace period of 8000 ms
    When the shutdown began 6500 ms ago
    Then a request with an objective of 150 ms and a time limit of 1000 ms is taken
    And a request with an objective of 150 ms and a time limit of 1001 ms is not taken
    And a request with an objective of 800 ms and a time limit of 1600 ms is not taken

  Scenario: A request that cannot meet its objective is not taken early in a short grace period
    Given a shutdown with a grace period of 2000 ms
    When the shutdown began 500 ms ago
    Then a request with an objective of 400 ms and a time limit of 5000 ms is taken
    And a request with an objective of 500 ms and a time limit of 5000 ms is not taken
