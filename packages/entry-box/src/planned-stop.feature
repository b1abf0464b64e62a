Feature: A planned stop takes only what can still end

  Scenario: A stream is begun early in the grace and never late
    Given a stop with 8000 ms of grace
    Then a stream with an objective of 1500 ms is taken
    When the stop has begun 2300 ms ago
    Then a stream with an objective of 1500 ms is taken
    When the stop has begun 3300 ms ago
    Then a stream with an objective of 1500 ms is not taken

  Scenario: A short answer is taken as long as it can end
    Given a stop with 8000 ms of grace
    When the stop has begun 6500 ms ago
    Then an answer with an objective of 150 ms is taken
    And an answer with an objective of 800 ms is not taken
