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
    Then a request with an objective of 150 ms and a time limit of 800 ms is taken
    And a request with an objective of 150 ms and a time limit of 801 ms is not taken
    And a request with an objective of 800 ms and a time limit of 1600 ms is not taken

  Scenario: A request that cannot meet its objective is not taken early in a short grace period
    Given a shutdown with a grace period of 2000 ms
    When the shutdown began 500 ms ago
    Then a request with an objective of 399 ms and a time limit of 5000 ms is taken
    And a request with an objective of 400 ms and a time limit of 5000 ms is not taken

  # Guards against requests that come after the last look at what is open, and are cut when the box has told others.
  Scenario: A request that comes while the box hands over is waited for
    Given a shutdown with a grace period of 8000 ms
    And handing over takes 500 ms
    When the box finishes, and a request that takes 700 ms comes 200 ms after the hand-over has begun
    Then the box may exit once that request has ended, and none was cut

  Scenario: A hand-over that nobody takes ends with the grace period
    Given a shutdown with a grace period of 8000 ms
    And handing over takes 60000 ms
    When the box finishes
    Then the box may exit after at most 7500 ms, and none was cut

  # Guards against a process that is killed while its callers wait, as some requests never end.
  Scenario: Requests that do not end are cut before the process has to exit
    Given a shutdown with a grace period of 8000 ms
    And handing over takes 0 ms
    When the box finishes, and a request that takes 60000 ms comes 0 ms after its begin
    Then that request was cut between 7300 and 7400 ms, and the box may exit after at most 7600 ms
