Feature: Placement keeps every model available with few moves

  Scenario: Every model is loaded, with replicas in different failure domains
    Given 3 engines of 100 MB in 3 failure domains, and 6 models of 30 MB of which "m0" needs 2 replicas
    When plans are executed until no moves are left
    Then every model is resident, and the replicas of "m0" are in different failure domains

  Scenario: Steady demand causes no moves
    Given 3 engines of 100 MB in 3 failure domains, and 6 models of 30 MB of which "m0" needs 2 replicas
    When plans are executed until no moves are left
    Then 100 further plans contain no moves

  Scenario: A new version is ready before the old one is unloaded
    Given 3 engines of 100 MB in 3 failure domains, and 6 models of 30 MB of which "m0" needs 2 replicas
    When plans are executed until no moves are left
    And the version of "m1" changes to "2"
    Then "m1" has a ready replica after every move, and finally only version "2" is loaded

  Scenario: Models on a leaving engine are loaded elsewhere
    Given 3 engines of 100 MB in 3 failure domains, and 6 models of 30 MB of which "m0" needs 2 replicas
    When plans are executed until no moves are left
    And engine "e1" is leaving
    Then every model is resident on the remaining engines

  Scenario: Only redundant replicas are unloaded to free memory
    Then for random model sizes and engine losses no plan unloads the last ready replica of a model or exceeds an accelerator's memory

  Scenario: Nothing is unloaded until the fence is established on every engine
    Given 3 engines of 100 MB in 3 failure domains, and 6 models of 30 MB of which "m0" needs 2 replicas
    When plans are executed until no moves are left
    And the version of "m1" changes to "2" while unloads are not allowed
    Then no plan contains an unload

  Scenario: A saturated model gets another replica only if the benefit exceeds the cost
    Given 3 engines of 100 MB in 3 failure domains, and 6 models of 30 MB of which "m0" needs 2 replicas
    When plans are executed until no moves are left
    And the engine of "m1" is saturated with its requests
    Then the plan adds a replica of "m1" at equal weights and none when moves weigh 200 times as much
