Feature: Placement keeps every model reachable and moves little

  Scenario: Every model gets a place, copies in different domains
    Given 3 engines of 100 MB in 3 domains, and 6 models of 30 MB of which "m0" wants 2 copies
    When plans are carried out until nothing is left to do
    Then every model is resident, and the copies of "m0" are in different domains

  Scenario: At rest there is nothing to move
    Given 3 engines of 100 MB in 3 domains, and 6 models of 30 MB of which "m0" wants 2 copies
    When plans are carried out until nothing is left to do
    Then 100 further plans hold no move

  Scenario: A new version serves before the old one goes
    Given 3 engines of 100 MB in 3 domains, and 6 models of 30 MB of which "m0" wants 2 copies
    When plans are carried out until nothing is left to do
    And the version of "m1" changes to "2"
    Then at no step of the way is "m1" without a ready copy, and at the end only version "2" is there

  Scenario: What is on a leaving engine is loaded elsewhere
    Given 3 engines of 100 MB in 3 domains, and 6 models of 30 MB of which "m0" wants 2 copies
    When plans are carried out until nothing is left to do
    And engine "e1" is leaving
    Then every model is resident on the engines that stay

  Scenario: Spare copies make room, last copies never
    Then for any sizes and any losses, no plan takes the last ready copy of a model or exceeds an accelerator

  Scenario: Nothing is unloaded before the fence stands everywhere
    Given 3 engines of 100 MB in 3 domains, and 6 models of 30 MB of which "m0" wants 2 copies
    When plans are carried out until nothing is left to do
    And the version of "m1" changes to "2" while unloads are not allowed
    Then no plan holds an unload

  Scenario: A busy model gets a replica only where that pays
    Given 3 engines of 100 MB in 3 domains, and 6 models of 30 MB of which "m0" wants 2 copies
    When plans are carried out until nothing is left to do
    And the engine of "m1" is busy with it
    Then the plan adds a copy of "m1" at equal weights and none when moves weigh 200 times as much
